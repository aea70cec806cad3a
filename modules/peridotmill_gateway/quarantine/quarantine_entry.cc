#include "peridotmill_gateway/quarantine/quarantine_entry.h"

#include <algorithm>

namespace peridotmill {
namespace {

// A quarantine lasts this many times longer after each failed probe.
constexpr int kGrowth = 4;

auto HasSuspect(SuspectId id) {
  return [id](const QuarantineEntry& entry) { return entry.id == id; };
}

void Insert(QuarantineEntries& quarantines, const QuarantineEntry& quarantine) {
  if (quarantines.size() >= kMaxQuarantines) {
    // The one that ends first is the most likely one to be over.
    quarantines.erase(std::min_element(
        quarantines.begin(), quarantines.end(),
        [](const QuarantineEntry& a, const QuarantineEntry& b) {
          return a.until < b.until;
        }));
  }
  quarantines.push_back(quarantine);
}

}  // namespace

QuarantineEntry* FindQuarantine(QuarantineEntries& quarantines, SuspectId id) {
  const auto found =
      std::find_if(quarantines.begin(), quarantines.end(), HasSuspect(id));
  return found == quarantines.end() ? nullptr : &*found;
}

const QuarantineEntry* FindQuarantine(const QuarantineEntries& quarantines,
                                      SuspectId id) {
  const auto found =
      std::find_if(quarantines.begin(), quarantines.end(), HasSuspect(id));
  return found == quarantines.end() ? nullptr : &*found;
}

Duration QuarantineTime(int failed_probes) {
  Duration time = kFirstQuarantine;
  for (int i = 0; i < failed_probes && time < kMaxQuarantine; ++i) {
    time *= kGrowth;
  }
  return std::min(time, kMaxQuarantine);
}

void Quarantine(QuarantineEntries& quarantines,
                SuspectId id,
                TimePoint crashed_at) {
  QuarantineEntry* const found = FindQuarantine(quarantines, id);
  if (found == nullptr) {
    Insert(quarantines, {.id = id,
                         .since = crashed_at,
                         .until = crashed_at + QuarantineTime(0)});
    return;
  }
  if (crashed_at <= found->since) {
    return;
  }
  if (crashed_at > found->until) {
    ++found->failed_probes;
    found->probe = RequestId();
    found->probe_until = TimePoint();
  }
  found->since = crashed_at;
  found->until =
      std::max(found->until, crashed_at + QuarantineTime(found->failed_probes));
}

bool MergeQuarantine(QuarantineEntries& quarantines,
                     const QuarantineEntry& reported) {
  // Reported times vary by the time that messages take.
  constexpr Duration kTolerance = std::chrono::seconds(1);
  QuarantineEntry* const found = FindQuarantine(quarantines, reported.id);
  if (found == nullptr) {
    Insert(quarantines, reported);
    return true;
  }
  const bool is_later = reported.until > found->until + kTolerance ||
                        reported.failed_probes > found->failed_probes;
  if (is_later) {
    found->since = std::max(found->since, reported.since);
    found->until = std::max(found->until, reported.until);
    found->failed_probes =
        std::max(found->failed_probes, reported.failed_probes);
  }
  return is_later;
}

void ExpireQuarantines(QuarantineEntries& quarantines, TimePoint now) {
  std::erase_if(quarantines, [now](const QuarantineEntry& entry) {
    return now - entry.until > kMaxQuarantine;
  });
}

Duration TimeUntilProbe(const QuarantineEntry& quarantine,
                        const RequestId& request,
                        TimePoint now) {
  if (now < quarantine.until) {
    return quarantine.until - now;
  }
  if (now < quarantine.probe_until && quarantine.probe != request) {
    return quarantine.probe_until - now;
  }
  return Duration::zero();
}

}  // namespace peridotmill
