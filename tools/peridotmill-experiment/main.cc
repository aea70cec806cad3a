// peridotmill-experiment: sums up the runs of scripts/experiment.

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "tools/peridotmill-experiment/summing/fleet_result.h"
#include "tools/peridotmill-experiment/summing/load_summary.h"
#include "tools/peridotmill-experiment/summing/metrics_text.h"
#include "tools/peridotmill-experiment/summing/policy_result.h"
#include "tools/peridotmill-experiment/watching/watchers.h"

DEFINE_string(name, "", "name of the experiment");
DEFINE_string(profile, "", "example deployment that was run");
DEFINE_string(policy, "", "routing policy that was in force");
DEFINE_int64(seed, 0, "seed of the load");
DEFINE_string(load, "", "JSON report of peridotmill-load");
DEFINE_string(metrics, "", "folder with one /metrics page per node");
DEFINE_string(watched,
              "",
              "folder with the logs nodes/ID, endpoint and publications");
DEFINE_string(counts_before, "", "stand-ins' counts before the load");
DEFINE_string(counts_after, "", "stand-ins' counts after the load");
DEFINE_int64(elapsed_ms, 0, "time between the two counts");
DEFINE_string(address, "", "node or endpoint to watch");
DEFINE_int64(interval_ms, 20, "time between two samples");

namespace peridotmill::experiment {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

MetricsText ReadMetrics() {
  MetricsText metrics;
  for (const auto& page : std::filesystem::directory_iterator(FLAGS_metrics)) {
    metrics.Add(ReadFile(page.path()));
  }
  return metrics;
}

int SumPolicy() {
  const RunName run{FLAGS_name, FLAGS_profile, FLAGS_policy, FLAGS_seed};
  const LoadSummary load = ReadLoadSummary(ReadFile(FLAGS_load));
  const MetricsText metrics = ReadMetrics();
  std::printf("%s%s\n", PolicyTable(run, load, metrics).c_str(),
              PolicyLine(run, load, metrics).c_str());
  return 0;
}

int SumFleet() {
  const std::filesystem::path watched = FLAGS_watched;
  FleetRun run;
  run.name = FLAGS_name;
  run.seed = FLAGS_seed;
  run.load = ReadLoadSummary(ReadFile(FLAGS_load));
  for (const auto& log :
       std::filesystem::directory_iterator(watched / "nodes")) {
    run.nodes[log.path().filename()] = ReadNodeLog(ReadFile(log.path()));
  }
  run.publications = ReadPublications(ReadFile(watched / "publications"));
  run.endpoint = ReadEndpointLog(ReadFile(watched / "endpoint"));
  run.store_calls = CountStoreCalls(ReadFile(FLAGS_counts_after)) -
                    CountStoreCalls(ReadFile(FLAGS_counts_before));
  run.elapsed_ms = FLAGS_elapsed_ms;
  std::printf("%s%s\n", FleetTable(run).c_str(), FleetLine(run).c_str());
  return 0;
}

int Run(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "policy") {
    return SumPolicy();
  }
  if (command == "fleet") {
    return SumFleet();
  }
  const auto interval = std::chrono::milliseconds(FLAGS_interval_ms);
  if (command == "watch-node") {
    WatchNode(FLAGS_address, interval);
    return 0;
  }
  if (command == "watch-endpoint") {
    WatchEndpoint(FLAGS_address, interval);
    return 0;
  }
  std::fputs(
      "usage: peridotmill-experiment [flags] "
      "policy|fleet|watch-node|watch-endpoint\n",
      stderr);
  return 2;
}

}  // namespace
}  // namespace peridotmill::experiment

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  try {
    return peridotmill::experiment::Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "peridotmill-experiment: %s\n", error.what());
    return 1;
  }
}
