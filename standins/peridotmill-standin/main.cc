#include <gflags/gflags.h>
#include <glib-unix.h>
#include <glib.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>

#include "peridotmill_net/logging/event_log.h"
#include "standins/peridotmill-standin/scenario/scenario.h"
#include "standins/peridotmill-standin/servers/admin_server.h"
#include "standins/peridotmill-standin/servers/engine_server.h"
#include "standins/peridotmill-standin/servers/hosts_server.h"
#include "standins/peridotmill-standin/servers/service_server.h"
#include "standins/peridotmill-standin/servers/store_server.h"
#include "standins/peridotmill-standin/servers/weights_server.h"

DEFINE_string(scenario, "", "YAML file that lists the stand-ins");
DEFINE_string(log_level, "info", "debug, info, warn or error");
DEFINE_bool(check, false, "check the scenario and exit");

namespace peridotmill::standin {
namespace {

constexpr int kBadSettings = 2;

std::unique_ptr<StandInServer> MakeServer(const StandIn& stand_in,
                                          const Scenario& scenario,
                                          const AdminServer::Servers& servers,
                                          uint64_t seed) {
  switch (stand_in.kind) {
    case StandInKind::kStore:
      return std::make_unique<StoreServer>(stand_in, seed);
    case StandInKind::kHosts:
      return std::make_unique<HostsServer>(stand_in, scenario, seed);
    case StandInKind::kWeights:
      return std::make_unique<WeightsServer>(stand_in, seed);
    case StandInKind::kEngine:
      return std::make_unique<EngineServer>(stand_in, seed);
    case StandInKind::kService:
      return std::make_unique<ServiceServer>(stand_in, seed);
    case StandInKind::kAdmin:
      return std::make_unique<AdminServer>(stand_in, servers);
  }
  return nullptr;
}

gboolean OnSignal(gpointer loop) {
  g_main_loop_quit(static_cast<GMainLoop*>(loop));
  return G_SOURCE_REMOVE;
}

int Serve(const Scenario& scenario) {
  std::signal(SIGPIPE, SIG_IGN);
  AdminServer::Servers servers;
  bool has_failed = false;
  auto seed = static_cast<uint64_t>(scenario.seed);
  for (const StandIn& stand_in : scenario.stand_ins) {
    seed += 1000;
    servers.push_back(MakeServer(stand_in, scenario, servers, seed));
    if (const std::string error = servers.back()->Start(); !error.empty()) {
      LogError("listen_failed", {{"stand_in", stand_in.id},
                                 {"address", stand_in.address},
                                 {"error", error}});
      has_failed = true;
    }
  }
  if (has_failed) {
    return 1;
  }
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(SIGTERM, OnSignal, loop);
  g_unix_signal_add(SIGINT, OnSignal, loop);
  LogInfo("serving", {{"stand_ins", std::to_string(servers.size())}});
  g_main_loop_run(loop);
  for (const auto& server : servers) {
    server->Stop();
  }
  LogInfo("exit", {{"code", "0"}});
  g_main_loop_unref(loop);
  return 0;
}

int Run() {
  if (!OpenEventLog(FLAGS_log_level)) {
    std::fprintf(stderr, "--log_level: unknown level\n");
    return kBadSettings;
  }
  std::ifstream file(FLAGS_scenario);
  if (!file) {
    std::fprintf(stderr, "--scenario: cannot read `%s`\n",
                 FLAGS_scenario.c_str());
    return kBadSettings;
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  Findings findings;
  const Scenario scenario = ReadScenario(text, FLAGS_scenario, findings);
  if (!findings.empty()) {
    std::fputs(ToString(findings).c_str(), stderr);
    return kBadSettings;
  }
  if (FLAGS_check) {
    std::printf("%zu stand-ins, no findings\n", scenario.stand_ins.size());
    return 0;
  }
  return Serve(scenario);
}

}  // namespace
}  // namespace peridotmill::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return peridotmill::standin::Run();
}
