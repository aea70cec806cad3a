#include <gflags/gflags.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "peridotmill_net/settings/program_flags.h"
#include "peridotmill_net/settings/settings_checker.h"
#include "peridotmill_net/settings/settings_page.h"

DEFINE_string(test_address, "127.0.0.1:80", "Address | for the test.");
DEFINE_string(test_secret, "", "Secret for the test.");
DEFINE_int32(test_count, 3, "Count for the test.");
DEFINE_bool(test_switch, false, "Switch for the test.");

namespace peridotmill {
namespace {

// Restores flags and environment after each test.
class SettingsTest : public testing::Test {
 protected:
  ~SettingsTest() override {
    unsetenv("FLAGS_test_count");
    unsetenv("FLAGS_test_secret");
  }

  Findings Read(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "program");
    std::vector<char*> argv;
    argv.reserve(arguments.size());
    for (std::string& argument : arguments) {
      argv.push_back(argument.data());
    }
    int argc = static_cast<int>(argv.size());
    char** pointer = argv.data();
    Findings findings = ReadProgramFlags(&argc, &pointer);
    rest_.assign(pointer + 1, pointer + argc);
    return findings;
  }

  gflags::FlagSaver saver_;
  std::vector<std::string> rest_;
};

TEST_F(SettingsTest, CommandLineWinsOverEnvironment) {
  setenv("FLAGS_test_count", "5", 1);
  EXPECT_TRUE(Read({}).empty());
  EXPECT_EQ(FLAGS_test_count, 5);
  EXPECT_TRUE(Read({"--test_count", "6", "publish", "-test_switch", "dir",
                    "--notest_switch"})
                  .empty());
  EXPECT_EQ(FLAGS_test_count, 6);
  EXPECT_FALSE(FLAGS_test_switch);
  EXPECT_EQ(rest_, (std::vector<std::string>{"publish", "dir"}));
}

// Guards against one fault at a time, and against gflags' exit code 1.
TEST_F(SettingsTest, ReportsAllFaultsTogether) {
  setenv("FLAGS_test_count", "many", 1);
  const Findings findings = Read(
      {"--test_cuont=3", "--test_count=x", "--test_switch=7", "--test_secret"});
  EXPECT_EQ(ToString(findings),
            "FLAGS_test_count: is not a value of type int32\n"
            "--test_cuont: unknown flag\n"
            "--test_count: is not a value of type int32\n"
            "--test_switch: is not a value of type bool\n"
            "--test_secret: needs a value\n");
  EXPECT_EQ(ReportFindings(findings), 2);
  EXPECT_EQ(ReportFindings({}), 0);
}

// Guards against a secret in a list of flags or in a finding.
TEST_F(SettingsTest, SecretsAreNotShown) {
  setenv("FLAGS_test_secret", "hidden-key", 1);
  EXPECT_TRUE(Read({}).empty());
  EXPECT_EQ(TakeSecretFlag("test_secret"), "hidden-key");
  EXPECT_EQ(gflags::CommandlineFlagsIntoString().find("hidden-key"),
            std::string::npos);
  SettingsChecker checker;
  checker.Secret("test_secret", "hidden-key");
  EXPECT_EQ(ToString(checker.findings()),
            "--test_secret: must be set to at least 16 bytes\n");
}

TEST_F(SettingsTest, PageListsOwnFlags) {
  const std::string page = RenderSettingsPage("program");
  EXPECT_NE(page.find("| `--test_address` | `FLAGS_test_address` | "
                      "`127.0.0.1:80` | Address \\| for the test. |\n"),
            std::string::npos);
  EXPECT_NE(page.find("| `--test_secret` | `FLAGS_test_secret` | (none) |"),
            std::string::npos);
  EXPECT_EQ(page.find("flagfile"), std::string::npos);
}

TEST(SettingsCheckerTest, Addresses) {
  struct Case {
    const char* text;
    bool is_address;
  };
  const std::vector<Case> cases = {
      {"127.0.0.1:80", true},   {"store.example:2379", true},
      {"[::1]:80", true},       {"", false},
      {":80", false},           {"host", false},
      {"host:", false},         {"host:0", false},
      {"host:65536", false},    {"host:8x", false},
      {"host:-1", false},       {"ho st:80", false},
      {"::1:80", false},        {"[x]:80", false},
      {"http://host:80", false}};
  for (const Case& test : cases) {
    EXPECT_EQ(IsNetworkAddress(test.text), test.is_address) << test.text;
  }
  EXPECT_TRUE(IsNetworkAddress("0.0.0.0:0", /*allows_port_0=*/true));
  EXPECT_EQ(SplitList(",a:1,,b:2,"), (std::vector<std::string>{"a:1", "b:2"}));
}

TEST(SettingsCheckerTest, CollectsFindings) {
  SettingsChecker checker;
  checker.Address("a", "nowhere");
  checker.Addresses("b", "h:1,bad");
  checker.Addresses("c", "");
  checker.OptionalAddresses("d", "");
  checker.Positive("e", 0);
  checker.Positive("f", 0.5);
  checker.Id("g", "a b");
  checker.Id("h", "node-1.x");
  checker.ListenAddress("i", "127.0.0.1:0");
  std::vector<std::string> flags;
  for (const Finding& finding : checker.findings()) {
    flags.push_back(finding.place.object);
  }
  EXPECT_EQ(flags,
            (std::vector<std::string>{"--a", "--b", "--c", "--e", "--g"}));
}

}  // namespace
}  // namespace peridotmill
