#include "peridotctl/node_commands.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "peridotctl/object_diff.h"
#include "peridotctl/object_files.h"

namespace peridotmill {
namespace {

TEST(NodeCommandsTest, StatusShowsEachNode) {
  std::ostringstream out;
  std::ostringstream err;
  const std::vector<std::string> addresses = {"h1:1", "h2:1", "h3:1", "h4:1"};
  const std::vector<HttpReply> replies = {
      {200, R"({"node":"n1","failure_domain":"north","revision":7,
                "revision_from":"store","uptime_s":12,"endpoints":[1,2],
                "state":"ready"})"},
      {0, ""},
      {401, "{}"},
      {200, "[]"}};
  EXPECT_EQ(Status(addresses, replies, {out, err}), kExitFailure);
  EXPECT_EQ(
      out.str(),
      "node  failure domain  revision  from   uptime s  endpoints  state\n"
      "n1    north           7         store  12        2          ready\n"
      "h2:1  -               -         -      -         -          "
      "no answer\n"
      "h3:1  -               -         -      -         -          "
      "HTTP 401\n"
      "h4:1  -               -         -      -         -          "
      "malformed answer\n");
  EXPECT_EQ(Status({"h1:1"}, {replies[0]}, {out, err}), kExitOk);
}

TEST(NodeCommandsTest, ExplainNeedsOneNode) {
  std::ostringstream out;
  std::ostringstream err;
  EXPECT_EQ(
      Explain({"h1:1", "h2:1"}, {{404, "{}"}, {200, R"({"a":1})"}}, {out, err}),
      kExitOk);
  EXPECT_EQ(out.str(), "h2:1:\n{\n  \"a\": 1\n}\n");
  EXPECT_EQ(Explain({"h1:1", "h2:1"}, {{404, "{}"}, {0, ""}}, {out, err}),
            kExitFailure);
  EXPECT_EQ(ExplainPath("a/b?c"), "/admin/explain/a%2Fb%3Fc");
}

TEST(NodeCommandsTest, HostListGivesAddresses) {
  const auto addresses = NodeAddressesOf(
      R"({"nodes":[{"id":"a","peer_address":"10.0.0.1:7000"},
          {"id":"b","peer_address":"10.0.0.2:7000","address":"10.0.0.2:81"}]})",
      8080);
  ASSERT_TRUE(addresses);
  EXPECT_EQ(*addresses,
            (std::vector<std::string>{"10.0.0.1:8080", "10.0.0.2:81"}));
  for (const char* list :
       {"", "[]", "{}", R"({"nodes":1})", R"({"nodes":[{}]})",
        R"({"nodes":[{"peer_address":1}]})"}) {
    EXPECT_FALSE(NodeAddressesOf(list, 8080)) << list;
  }
}

// Guards against an unreachable node that stops the others' answers.
TEST(NodeCommandsTest, UnreachableNodeHasNoStatus) {
  const auto replies = GetFromAll({"127.0.0.1:1", "not an address"}, "/", "",
                                  std::chrono::seconds(30));
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(replies[0].status, 0);
  EXPECT_EQ(replies[1].status, 0);
}

// Guards against token hashes in terminals and tickets.
TEST(ObjectDiffTest, HidesTokenHashes) {
  ObjectSet from;
  Team team;
  team.name = TeamId("guides");
  team.token_sha256 = "old-hash";
  from.teams[team.name] = team;
  ObjectSet to = from;
  to.teams[team.name].token_sha256 = "new-hash";
  to.teams[team.name].share = 2.5;
  to.deployment.attainment_weight = 0.75;
  EXPECT_EQ(DiffObjects(from, to),
            (std::vector<std::string>{
                "~ Deployment/default: attainment_weight: 0.5 -> 0.75",
                "~ Team/guides: share: 1.0 -> 2.5, token_sha256 changed"}));
  EXPECT_TRUE(DiffObjects(to, to).empty());
}

// Guards against files that are passed over without a finding.
TEST(ObjectFilesTest, CollectsFindingsOfAllFiles) {
  const std::string folder = testing::TempDir() + "peridotctl_object_files";
  const std::string nested = folder + "/nested";
  std::filesystem::create_directories(nested);
  std::ofstream(folder + "/a.yaml") << "kind: Pol\nname: x\n";
  std::ofstream(nested + "/b.yml") << "kind: Pool\nname: p\nsize: 3\n";
  std::ofstream(nested + "/c.yaml") << "kind: Operator\nname: o\n";
  std::ofstream(folder + "/notes.txt") << "kind: Nonsense\n";
  const LoadedObjects loaded = LoadObjects({folder, folder + "/missing.yaml"});
  EXPECT_EQ(ToString(loaded.findings),
            folder + "/a.yaml:1: Pol/x: kind: unknown kind `Pol`\n" + nested +
                "/b.yml:3: Pool/p: size: unknown field\n" + folder +
                "/missing.yaml: cannot be read\n" + nested +
                "/c.yaml:1: Operator/o: token_sha256: must be 64 lower-case "
                "hexadecimal digits\n");
}

}  // namespace
}  // namespace peridotmill
