#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include "peridotmill_net/settings/settings_page.h"
#include "tools/peridotmill-load/client/load_run.h"
#include "tools/peridotmill-load/mix/mix.h"
#include "tools/peridotmill-load/mix/schedule.h"
#include "tools/peridotmill-load/report/report.h"

DEFINE_string(mix, "", "YAML file with the request classes");
DEFINE_string(entries,
              "",
              "entry nodes, separated by commas: URL or domain=URL");
DEFINE_string(placement, "round_robin", "round_robin or sticky");
DEFINE_string(direct,
              "",
              "URL of one engine that gets the mix's chats without a node");
DEFINE_string(stand_ins,
              "",
              "URLs of stand-ins to read after the run, separated by commas");
DEFINE_string(json, "", "file for the report as JSON");
DEFINE_double(rate, 0, "requests per second; 0 takes the mix's rate");
DEFINE_int64(duration_ms, 0, "0 takes the mix's duration");
DEFINE_int64(seed, -1, "-1 takes the mix's seed");
DEFINE_int64(drain_ms, 10000, "time for the last answers");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(print_settings_page,
            false,
            "print the table of settings as Markdown and exit");

namespace peridotmill::load {
namespace {

constexpr int kBadSettings = 2;

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::vector<Entry> ReadEntries() {
  std::vector<Entry> entries;
  if (!FLAGS_direct.empty()) {
    entries.push_back({"", FLAGS_direct});
    return entries;
  }
  for (const std::string& part : Split(FLAGS_entries)) {
    const size_t equals = part.find('=');
    if (equals == std::string::npos) {
      entries.push_back({"", part});
    } else {
      entries.push_back({part.substr(0, equals), part.substr(equals + 1)});
    }
  }
  return entries;
}

Mix ReadSettings(Findings& findings) {
  const InputLocation mix_flag{"", 0, "--mix", ""};
  std::ifstream file(FLAGS_mix);
  if (!file) {
    findings.push_back({mix_flag, "cannot read `" + FLAGS_mix + "`"});
    return {};
  }
  Mix mix = ReadMix(std::string(std::istreambuf_iterator<char>(file), {}),
                    FLAGS_mix, findings);
  if (FLAGS_rate > 0) {
    mix.rate_per_second = FLAGS_rate;
  }
  if (FLAGS_duration_ms > 0) {
    mix.duration = std::chrono::milliseconds(FLAGS_duration_ms);
  }
  if (FLAGS_seed >= 0) {
    mix.seed = FLAGS_seed;
  }
  if (!FLAGS_direct.empty()) {
    std::erase_if(mix.classes, [](const RequestClass& one) {
      return one.form != RequestForm::kChat;
    });
    if (mix.classes.empty()) {
      findings.push_back({mix_flag, "has no chats for --direct"});
    }
  }
  return mix;
}

void PrintStandIns(const std::vector<Planned>& schedule,
                   const std::vector<Outcome>& outcomes,
                   Report& report) {
  const std::vector<std::string> urls = Split(FLAGS_stand_ins);
  if (urls.empty()) {
    return;
  }
  const StandInRuns runs = ReadStandIns(urls);
  for (const std::string& url : runs.unreadable) {
    std::printf("stand-in %s could not be read; its runs are missing\n",
                url.c_str());
  }
  AddRuns(schedule, outcomes, runs, report);
}

int Run() {
  if (FLAGS_print_settings_page) {
    std::fputs(RenderSettingsPage("peridotmill-load").c_str(), stdout);
    return 0;
  }
  Findings findings;
  const Mix mix = ReadSettings(findings);
  const std::vector<Entry> entries = ReadEntries();
  if (entries.empty() && !FLAGS_check) {
    findings.push_back({{"", 0, "--entries", ""}, "no entry node was given"});
  }
  if (FLAGS_placement != "round_robin" && FLAGS_placement != "sticky") {
    findings.push_back(
        {{"", 0, "--placement", ""}, "must be round_robin or sticky"});
  }
  if (!findings.empty()) {
    std::fputs(ToString(findings).c_str(), stderr);
    return kBadSettings;
  }
  if (FLAGS_check) {
    std::printf("%zu classes, no findings\n", mix.classes.size());
    return 0;
  }
  const std::vector<Planned> schedule =
      MakeSchedule(mix, entries,
                   FLAGS_placement == "sticky" ? Placement::kSticky
                                               : Placement::kRoundRobin);
  const std::vector<Outcome> outcomes = RunSchedule(
      mix, entries, schedule, std::chrono::milliseconds(FLAGS_drain_ms));
  Report report = MakeReport(mix, schedule, outcomes);
  PrintStandIns(schedule, outcomes, report);
  std::printf("%s%s\n", TableText(report).c_str(), LineText(report).c_str());
  if (!FLAGS_json.empty()) {
    std::ofstream(FLAGS_json) << JsonText(report);
  }
  return 0;
}

}  // namespace
}  // namespace peridotmill::load

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return peridotmill::load::Run();
}
