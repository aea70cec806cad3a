// peridotmill-experiment: sums up the runs of scripts/experiment.

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "tools/peridotmill-experiment/summing/load_summary.h"
#include "tools/peridotmill-experiment/summing/metrics_text.h"
#include "tools/peridotmill-experiment/summing/policy_result.h"

DEFINE_string(name, "", "name of the experiment");
DEFINE_string(profile, "", "example deployment that was run");
DEFINE_string(policy, "", "routing policy that was in force");
DEFINE_int64(seed, 0, "seed of the load");
DEFINE_string(load, "", "JSON report of peridotmill-load");
DEFINE_string(metrics, "", "folder with one /metrics page per node");

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

int Run(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "policy") {
    return SumPolicy();
  }
  std::fputs("usage: peridotmill-experiment [flags] policy\n", stderr);
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
