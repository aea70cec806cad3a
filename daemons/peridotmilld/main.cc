// peridotmilld: one entry node as a process.

#include <gflags/gflags.h>
#include <glib-unix.h>

#include <csignal>
#include <cstdio>
#include <random>
#include <string>
#include <utility>

#include "peridotmill_net/logging/event_log.h"
#include "peridotmill_net/running/node_runner.h"
#include "peridotmill_net/settings/program_flags.h"
#include "peridotmill_net/settings/settings_checker.h"
#include "peridotmill_net/settings/settings_page.h"
#include "peridotmill_node/peridotmill_node.h"

DEFINE_string(node_id, "", "name of this node, unique in the fleet");
DEFINE_string(failure_domain, "", "failure domain of this host");
DEFINE_string(caller_address,
              "127.0.0.1:8080",
              "ip:port on which callers and operators are served");
DEFINE_string(peer_address,
              "127.0.0.1:8081",
              "ip:port on which other nodes reach this node");
DEFINE_string(peer_key,
              "",
              "key shared by all nodes, at least 16 bytes; better given by "
              "environment variable");
DEFINE_string(store,
              "",
              "ip:port of the platform's key-value service; several are "
              "separated by commas");
DEFINE_string(hosts, "", "ip:port of the platform's host list");
DEFINE_string(weights,
              "",
              "ip:port of the platform's weight store; empty when model loads "
              "need no permission");
DEFINE_int32(hosts_interval_ms, 1000, "time between reads of the host list");
DEFINE_int32(max_body_bytes, 4 << 20, "largest request body accepted");
DEFINE_int32(body_timeout_ms,
             10'000,
             "time in which a caller must have sent the whole request");
DEFINE_int32(max_requests, 10'000, "open requests beyond this are refused");
DEFINE_string(log_level, "info", "debug, info, warn or error");
DEFINE_uint64(seed, 0, "seed of random choices; 0 takes a random one");
DEFINE_bool(print_settings_page,
            false,
            "print the table of settings as Markdown and exit");

namespace peridotmill {
namespace {

Findings CheckSettings(const std::string& peer_key, bool is_level_known) {
  SettingsChecker checker;
  checker.Id("node_id", FLAGS_node_id);
  checker.Id("failure_domain", FLAGS_failure_domain);
  checker.ListenAddress("caller_address", FLAGS_caller_address);
  checker.Address("peer_address", FLAGS_peer_address);
  checker.Secret("peer_key", peer_key);
  checker.Addresses("store", FLAGS_store);
  checker.Address("hosts", FLAGS_hosts);
  checker.OptionalAddresses("weights", FLAGS_weights);
  checker.Positive("hosts_interval_ms", FLAGS_hosts_interval_ms);
  checker.Positive("max_body_bytes", FLAGS_max_body_bytes);
  checker.Positive("body_timeout_ms", FLAGS_body_timeout_ms);
  checker.Positive("max_requests", FLAGS_max_requests);
  if (!is_level_known) {
    checker.Add("log_level", "must be debug, info, warn or error");
  }
  return checker.findings();
}

// Later starts of a host get a higher number, also when its clock was set back
// by less than the time between the starts; the low bits tell apart processes
// that start in the same microsecond.
Incarnation NewIncarnation(const Clock& clock, Random& random) {
  constexpr int kRandomBits = 8;
  const int64_t microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(
          clock.WallNow().time_since_epoch())
          .count();
  return Incarnation(
      (microseconds << kRandomBits) |
      static_cast<int64_t>(random.Below(uint64_t{1} << kRandomBits)));
}

NodeSettings MakeSettings(const Clock& clock) {
  std::random_device device;
  Random random((uint64_t{device()} << 32) | device());
  NodeSettings settings;
  settings.id = NodeId(FLAGS_node_id);
  settings.failure_domain = FailureDomainId(FLAGS_failure_domain);
  settings.peer_address = FLAGS_peer_address;
  settings.incarnation = NewIncarnation(clock, random);
  settings.seed = FLAGS_seed != 0 ? FLAGS_seed : random.Next();
  settings.started_at = clock.Now();
  settings.wall_started_at = clock.WallNow();
  settings.max_requests = static_cast<size_t>(FLAGS_max_requests);
  return settings;
}

gboolean OnSignal(gpointer runner) {
  static_cast<NodeRunner*>(runner)->RequestShutdown();
  return G_SOURCE_CONTINUE;
}

int Main(int argc, char** argv) {
  Findings findings = ReadProgramFlags(&argc, &argv);
  if (FLAGS_print_settings_page) {
    std::fputs(RenderSettingsPage("peridotmilld").c_str(), stdout);
    return 0;
  }
  const std::string peer_key = TakeSecretFlag("peer_key");
  const bool is_level_known = OpenEventLog(FLAGS_log_level);
  for (Finding& finding : CheckSettings(peer_key, is_level_known)) {
    findings.push_back(std::move(finding));
  }
  if (!findings.empty()) {
    return ReportFindings(findings);
  }
  std::signal(SIGPIPE, SIG_IGN);

  const SystemClock clock;
  auto node = MakeNode(MakeSettings(clock));
  if (!node) {
    return ReportFindings(node.error());
  }
  RunnerSettings settings;
  settings.caller_address = FLAGS_caller_address;
  settings.peer_address = FLAGS_peer_address;
  settings.peer_key = peer_key;
  settings.hosts_url = "http://" + FLAGS_hosts;
  if (!FLAGS_weights.empty()) {
    settings.weights_url = "http://" + FLAGS_weights;
  }
  settings.store_addresses = SplitList(FLAGS_store);
  settings.hosts_interval_ms = static_cast<guint>(FLAGS_hosts_interval_ms);
  settings.limits.max_body_bytes = static_cast<size_t>(FLAGS_max_body_bytes);
  settings.limits.body_timeout_ms = static_cast<guint>(FLAGS_body_timeout_ms);
  auto runner = NodeRunner::Create(*std::move(node), settings, clock);
  if (!runner) {
    LogError("start_failed", {{"error", runner.error().message()}});
    return 1;
  }
  g_unix_signal_add(SIGTERM, OnSignal, runner->get());
  g_unix_signal_add(SIGINT, OnSignal, runner->get());
  LogInfo("started", {{"node", FLAGS_node_id},
                      {"failure_domain", FLAGS_failure_domain},
                      {"caller_address", FLAGS_caller_address}});
  const int code = (*runner)->Run();
  LogInfo("exit", {{"code", std::to_string(code)}});
  return code;
}

}  // namespace
}  // namespace peridotmill

int main(int argc, char** argv) {
  return peridotmill::Main(argc, argv);
}
