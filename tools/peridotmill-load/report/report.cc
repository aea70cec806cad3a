#include "tools/peridotmill-load/report/report.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace peridotmill::load {
namespace {

using nlohmann::json;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void AddAnswer(const RequestClass& one, const Outcome& outcome, Tally& tally) {
  const AnswerCheck& check = outcome.check;
  if (check.is_foreign) {
    ++tally.misdelivered;
  } else if (check.is_broken || !check.is_own) {
    ++tally.incomplete;
  } else if (outcome.total <= one.deadline) {
    ++tally.on_time;
  } else {
    ++tally.late;
  }
  tally.total_ms.push_back(Milliseconds(outcome.total));
}

void AddOutcome(const RequestClass& one, const Outcome& outcome, Tally& tally) {
  ++tally.offered;
  switch (outcome.ending) {
    case Ending::kAnswered:
      AddAnswer(one, outcome, tally);
      break;
    case Ending::kRefused:
      ++tally.refused;
      ++tally.refusals_by_reason[outcome.code];
      if (outcome.execution == "not_run") {
        ++tally.not_run;
        tally.not_run_ms.push_back(Milliseconds(outcome.total));
      }
      break;
    case Ending::kBroken:
      ++tally.broken;
      break;
    case Ending::kNotConnected:
      ++tally.not_connected;
      break;
    case Ending::kUnanswered:
      ++tally.incomplete;
      break;
  }
  // Fragments of a refused or broken stream may still show a wrong owner.
  if (outcome.ending != Ending::kAnswered && outcome.check.is_foreign) {
    ++tally.misdelivered;
  }
  if (outcome.first_token > Duration::zero()) {
    tally.first_token_ms.push_back(Milliseconds(outcome.first_token));
  }
  for (const Duration gap : outcome.token_gaps) {
    tally.token_gap_ms.push_back(Milliseconds(gap));
  }
}

int64_t CountKeyMismatches(const std::vector<Planned>& schedule,
                           const std::vector<Outcome>& outcomes) {
  std::map<std::string, std::set<std::string>> executions;
  for (size_t i = 0; i < schedule.size(); ++i) {
    if (!schedule[i].key.empty() && outcomes[i].ending == Ending::kAnswered) {
      executions[schedule[i].key].insert(outcomes[i].check.executions);
    }
  }
  return std::count_if(executions.begin(), executions.end(),
                       [](const auto& one) { return one.second.size() > 1; });
}

}  // namespace

Report MakeReport(const Mix& mix,
                  const std::vector<Planned>& schedule,
                  const std::vector<Outcome>& outcomes) {
  Report report;
  for (size_t i = 0; i < schedule.size(); ++i) {
    const RequestClass& one = mix.classes[schedule[i].request_class];
    AddOutcome(one, outcomes[i], report.total);
    AddOutcome(one, outcomes[i], report.by_class[one.name]);
    report.schedule_lag_ms_max = std::max(report.schedule_lag_ms_max,
                                          Milliseconds(outcomes[i].sent_late));
  }
  report.key_mismatches = CountKeyMismatches(schedule, outcomes);
  return report;
}

void AddRuns(const std::vector<Planned>& schedule,
             const std::vector<Outcome>& outcomes,
             const StandInRuns& runs,
             Report& report) {
  std::set<std::string> refused;
  std::set<std::string> perhaps_run;
  std::set<std::string> keys;
  for (size_t i = 0; i < schedule.size(); ++i) {
    const bool is_not_run = outcomes[i].ending == Ending::kRefused &&
                            outcomes[i].execution == "not_run";
    (is_not_run ? refused : perhaps_run).insert(schedule[i].marker);
    keys.insert(schedule[i].key);
  }
  report.false_not_run =
      std::count_if(refused.begin(), refused.end(), [&](const auto& marker) {
        return !perhaps_run.contains(marker) && runs.by_marker.contains(marker);
      });
  // Names are "pool path key"; keys of other runs are not this run's concern.
  report.duplicates = std::count_if(
      runs.by_key.begin(), runs.by_key.end(), [&](const auto& run) {
        const std::string key = run.first.substr(run.first.rfind(' ') + 1);
        return run.second > 1 && keys.contains(key);
      });
}

bool AddRunsJson(const std::string& runs_json,
                 const std::string& markers_json,
                 StandInRuns& runs) {
  try {
    const json by_key = json::parse(runs_json).at("runs");
    const json by_marker = json::parse(markers_json).at("markers");
    for (const auto& [name, count] : by_key.items()) {
      runs.by_key[name] += count.get<int64_t>();
    }
    for (const auto& [name, count] : by_marker.items()) {
      runs.by_marker[name] += count.get<int64_t>();
    }
  } catch (const json::exception&) {
    return false;
  }
  return true;
}

double Percentile(std::vector<double> samples, double q) {
  if (samples.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(samples.size() - 1);
  const auto at = static_cast<std::ptrdiff_t>(std::ceil(q * last));
  std::nth_element(samples.begin(), samples.begin() + at, samples.end());
  return samples[static_cast<size_t>(at)];
}

}  // namespace peridotmill::load
