// peridotctl: publishes configurations and asks nodes about their state.

#include <gflags/gflags.h>
#include <glib.h>

#include <charconv>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <random>

#include "peridotctl/node_commands.h"
#include "peridotctl/object_files.h"
#include "peridotctl/publish_command.h"
#include "peridotctl/read_commands.h"
#include "peridotmill_core/maths/random.h"
#include "peridotmill_net/settings/program_flags.h"
#include "peridotmill_net/settings/settings_checker.h"
#include "peridotmill_net/settings/settings_page.h"

DEFINE_string(store,
              "127.0.0.1:2379",
              "Addresses of the platform's key-value service, by commas.");
DEFINE_string(hosts, "", "Address of the host list, to find the nodes.");
DEFINE_string(nodes,
              "",
              "HTTP addresses of nodes, by commas; wins over --hosts.");
DEFINE_int32(http_port,
             8080,
             "HTTP port of nodes for which the host list has no address.");
DEFINE_string(operator_token,
              "",
              "Operator's bearer token for status and explain. Better given by "
              "environment variable, because command lines are visible.");
DEFINE_string(author, "", "Author of a publication; the user's name if empty.");
DEFINE_string(comment, "", "Comment of a publication.");
DEFINE_int64(base_revision,
             -1,
             "Revision that the published objects were made from; -1 for the "
             "one in force.");
DEFINE_int64(revision, -1, "Revision for get; -1 for the one in force.");
DEFINE_int64(count, 20, "Number of publications for history.");
DEFINE_int32(timeout_ms, 5000, "Time for each call, in milliseconds.");
DEFINE_bool(print_settings_page,
            false,
            "Print the table of settings as Markdown and exit.");

namespace peridotmill {
namespace {

constexpr char kUsage[] =
    "peridotctl [flags] validate FILE...|DIR | plan DIR | publish DIR | get | "
    "history | rollback REVISION | status | explain REQUEST";

using Arguments = std::vector<std::string>;

std::optional<Revision> OptionalRevision(int64_t value) {
  return value < 0 ? std::nullopt : std::optional(Revision(value));
}

std::optional<Revision> ParseRevision(const std::string& text) {
  int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && last == end && value > 0
             ? std::optional(Revision(value))
             : std::nullopt;
}

Duration Timeout() {
  return std::chrono::milliseconds(FLAGS_timeout_ms);
}

Nonce NewNonce() {
  std::random_device source;
  return Nonce(
      Random(static_cast<uint64_t>(source()) << 32 | source()).HexToken());
}

PublishOptions OptionsFromFlags() {
  PublishOptions options;
  options.author = FLAGS_author.empty() ? g_get_user_name() : FLAGS_author;
  options.comment = FLAGS_comment;
  options.base_revision = OptionalRevision(FLAGS_base_revision);
  options.nonce = NewNonce();
  options.published_at = g_get_real_time() / G_USEC_PER_SEC;
  return options;
}

int WithStore(const std::function<int(const StoreCaller&)>& command) {
  auto client = StoreClient::Create(SplitList(FLAGS_store));
  if (!client) {
    std::cerr << "--store: " << client.error().message() << "\n";
    return kExitFindings;
  }
  return command(MakeStoreCaller(**client, Timeout()));
}

// Loads and checks the objects before the store is asked.
int WithObjects(
    const Arguments& paths,
    const std::function<int(const StoreCaller&, const ObjectSet&)>& command) {
  const LoadedObjects loaded = LoadObjects(paths);
  if (!loaded.findings.empty()) {
    return ReportFindings(loaded.findings);
  }
  return WithStore(
      [&](const StoreCaller& store) { return command(store, loaded.objects); });
}

Result<std::vector<std::string>> FindNodes() {
  if (!FLAGS_nodes.empty()) {
    return SplitList(FLAGS_nodes);
  }
  constexpr int kHttpOk = 200;
  const auto replies = GetFromAll({FLAGS_hosts}, "/v1/hosts", "", Timeout());
  if (replies.front().status != kHttpOk) {
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  return NodeAddressesOf(replies.front().body, FLAGS_http_port);
}

using NodeCommandFunction = int (*)(const std::vector<std::string>&,
                                    const std::vector<HttpReply>&,
                                    const Console&);

int AskNodes(const std::string& path,
             NodeCommandFunction command,
             const Console& console) {
  const std::string token = TakeSecretFlag("operator_token");
  const auto nodes = FindNodes();
  if (!nodes) {
    console.err << "--hosts: " << nodes.error().message() << "\n";
    return kExitFailure;
  }
  return command(*nodes, GetFromAll(*nodes, path, token, Timeout()), console);
}

int RunRollback(const std::string& text, const Console& console) {
  const auto revision = ParseRevision(text);
  if (!revision) {
    console.err << "rollback: `" << text << "` is not a revision\n";
    return kExitFindings;
  }
  return WithStore([&](const StoreCaller& store) {
    return Rollback(store, *revision, OptionsFromFlags(), console);
  });
}

struct Command {
  size_t min_arguments;
  size_t max_arguments;
  bool needs_store;
  bool needs_nodes;
  std::function<int(const Arguments&, const Console&)> run;
};

std::map<std::string, Command> Commands() {
  constexpr size_t kMany = 10'000;
  return {
      {"validate",
       {1, kMany, false, false,
        [](const Arguments& paths, const Console& console) {
          return Validate(paths, console);
        }}},
      {"plan",
       {1, kMany, true, false,
        [](const Arguments& paths, const Console& console) {
          return WithObjects(paths,
                             [&](const auto& store, const auto& objects) {
                               return Plan(store, objects, console);
                             });
        }}},
      {"publish",
       {1, kMany, true, false,
        [](const Arguments& paths, const Console& console) {
          return WithObjects(
              paths, [&](const auto& store, const auto& objects) {
                return Publish(store, objects, OptionsFromFlags(), console);
              });
        }}},
      {"get",
       {0, 0, true, false,
        [](const Arguments&, const Console& console) {
          return WithStore([&](const StoreCaller& store) {
            return Get(store, OptionalRevision(FLAGS_revision), console);
          });
        }}},
      {"history",
       {0, 0, true, false,
        [](const Arguments&, const Console& console) {
          return WithStore([&](const StoreCaller& store) {
            return History(store, FLAGS_count, console);
          });
        }}},
      {"rollback",
       {1, 1, true, false,
        [](const Arguments& arguments, const Console& console) {
          return RunRollback(arguments[0], console);
        }}},
      {"status",
       {0, 0, false, true,
        [](const Arguments&, const Console& console) {
          return AskNodes("/admin/status", Status, console);
        }}},
      {"explain",
       {1, 1, false, true,
        [](const Arguments& arguments, const Console& console) {
          return AskNodes(ExplainPath(arguments[0]), Explain, console);
        }}},
  };
}

Findings CheckFlags(const Command& command) {
  SettingsChecker checker;
  checker.Positive("timeout_ms", FLAGS_timeout_ms);
  checker.Positive("count", static_cast<double>(FLAGS_count));
  if (command.needs_store) {
    checker.Addresses("store", FLAGS_store);
  }
  if (command.needs_nodes) {
    checker.OptionalAddresses("nodes", FLAGS_nodes);
    if (FLAGS_nodes.empty()) {
      checker.Address("hosts", FLAGS_hosts);
    }
    checker.NotEmpty("operator_token", FLAGS_operator_token);
    checker.Positive("http_port", FLAGS_http_port);
  }
  return checker.findings();
}

int Run(int argc, char** argv) {
  gflags::SetUsageMessage(kUsage);
  Findings findings = ReadProgramFlags(&argc, &argv);
  if (FLAGS_print_settings_page) {
    std::cout << RenderSettingsPage("peridotctl");
    return kExitOk;
  }
  Arguments arguments(argv + 1, argv + argc);
  const auto commands = Commands();
  const auto command =
      commands.find(arguments.empty() ? std::string() : arguments.front());
  if (command == commands.end() ||
      arguments.size() - 1 < command->second.min_arguments ||
      arguments.size() - 1 > command->second.max_arguments) {
    findings.push_back({{}, std::string("usage: ") + kUsage});
    return ReportFindings(findings);
  }
  for (Finding& finding : CheckFlags(command->second)) {
    findings.push_back(std::move(finding));
  }
  if (!findings.empty()) {
    return ReportFindings(findings);
  }
  arguments.erase(arguments.begin());
  return command->second.run(arguments, {std::cout, std::cerr});
}

}  // namespace
}  // namespace peridotmill

int main(int argc, char** argv) {
  return peridotmill::Run(argc, argv);
}
