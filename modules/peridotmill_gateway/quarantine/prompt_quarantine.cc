#include "peridotmill_gateway/quarantine/prompt_quarantine.h"

#include <algorithm>
#include <string>
#include <utility>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Collects the suspects of one crash into one message.
constexpr Duration kFlushDelay = std::chrono::milliseconds(2);
constexpr Duration kMinFlushInterval = std::chrono::milliseconds(50);

// Retry-After values below this only cause requests that are refused again.
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

template <typename T>
void Append(std::vector<T>& to, const std::vector<T>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

PromptQuarantine::PromptQuarantine(const Clock& clock,
                                   TimerQueue& timers,
                                   EventSink& events)
    : clock_(clock), timers_(timers), events_(events) {}

PromptQuarantine::~PromptQuarantine() = default;

void PromptQuarantine::RecordCrash(const RequestId& request,
                                   const CrashedProcess& incarnation,
                                   const std::vector<PromptPartHash>& parts) {
  if (parts.empty()) {
    return;
  }
  const TimePoint now = clock_.Now();
  SuspectedCrash crash{.incarnation = incarnation, .parts = {}};
  std::string names;
  for (size_t i = 0; i < parts.size(); ++i) {
    crash.parts.push_back({.part = parts[i],
                           .at = now,
                           .successes = FindSuccess(evidence_, parts[i]).count,
                           .position = static_cast<uint32_t>(i)});
    names += (i == 0 ? "" : ",") + ToString(parts[i]);
  }
  ++counters_.suspected_crashes;
  events_.Write("prompt_crash_suspected",
                {{"request", request.value()},
                 {"endpoint", incarnation.endpoint.value()},
                 {"parts", names}});
  AddSuspects(crash, true);
  BlameCulprits();
}

void PromptQuarantine::RecordSuccess(const std::vector<PromptPartHash>& parts) {
  const TimePoint now = clock_.Now();
  for (const PromptPartHash part : parts) {
    Clear(part, now, true);
  }
}

void PromptQuarantine::Apply(const PromptNews& news) {
  for (const SuspectedCrash& crash : news.crashes) {
    AddSuspects(crash, false);
  }
  for (const PartQuarantine& reported : news.quarantines) {
    const TimePoint success = FindSuccess(evidence_, reported.part).last_at;
    if (success > reported.since) {
      observed_.cleared.push_back({reported.part, success});
      ScheduleFlush();
    } else if (MergeQuarantine(quarantines_, reported)) {
      received_.quarantines.push_back(reported);
      newly_quarantined_.push_back(reported.part);
      ScheduleFlush();
    }
  }
  for (const ClearedPart& cleared : news.cleared) {
    Clear(cleared.part, cleared.at, false);
  }
  BlameCulprits();
}

PromptNews PromptQuarantine::Snapshot() const {
  PromptNews news;
  news.crashes.assign(evidence_.crashes.begin(), evidence_.crashes.end());
  news.quarantines = quarantines_;
  return news;
}

std::optional<Duration> PromptQuarantine::QuarantineLeft(
    const std::vector<PromptPartHash>& parts) const {
  const TimePoint now = clock_.Now();
  Duration left = Duration::zero();
  for (const PromptPartHash part : parts) {
    if (const auto* const found = FindQuarantine(quarantines_, part)) {
      left = std::max(left, found->until - now);
    }
  }
  return left > Duration::zero() ? std::optional(std::max(left, kMinRetryAfter))
                                 : std::nullopt;
}

std::optional<Duration> PromptQuarantine::TryRun(
    const RequestId& request,
    const std::vector<PromptPartHash>& parts) {
  if (quarantines_.empty()) {
    return std::nullopt;
  }
  const TimePoint now = clock_.Now();
  ExpireQuarantines(quarantines_, now);
  Duration left = Duration::zero();
  std::vector<PartQuarantine*> probed;
  for (const PromptPartHash part : parts) {
    if (PartQuarantine* const found = FindQuarantine(quarantines_, part)) {
      left = std::max(left, TimeUntilProbe(*found, request, now));
      probed.push_back(found);
    }
  }
  if (left > Duration::zero()) {
    return std::max(left, kMinRetryAfter);
  }
  for (PartQuarantine* const quarantine : probed) {
    if (quarantine->probe == request) {
      continue;
    }
    quarantine->probe = request;
    quarantine->probe_until = now + kProbeLimit;
    ++counters_.probes;
    events_.Write("prompt_part_probed", {{"request", request.value()},
                                         {"part", ToString(quarantine->part)}});
  }
  return std::nullopt;
}

bool PromptQuarantine::IsRepeatedSuspect(
    const std::vector<PromptPartHash>& parts) const {
  const auto explains = [this](PromptPartHash part) {
    return IsQuarantined(part);
  };
  return std::any_of(parts.begin(), parts.end(), [&](PromptPartHash part) {
    const bool is_established =
        FindSuccess(evidence_, part).count >= kEstablishedSuccesses;
    return IsQuarantined(part) ||
           (!is_established && CountIncidents(evidence_, part, explains) > 1);
  });
}

void PromptQuarantine::AddSuspects(const SuspectedCrash& crash,
                                   bool is_observed) {
  const std::vector<SuspectPart> added = AddCrash(evidence_, crash);
  if (!added.empty()) {
    (is_observed ? observed_ : received_)
        .crashes.push_back({crash.incarnation, added});
    ScheduleFlush();
  }
  for (const SuspectPart& suspect : added) {
    if (IsQuarantined(suspect.part)) {
      BeginQuarantine(suspect.part, suspect.at);
    }
  }
  if (is_observed) {
    return;
  }
  // The reporting node may not know of successes that this one has seen.
  for (const SuspectPart& suspect : crash.parts) {
    const TimePoint success = FindSuccess(evidence_, suspect.part).last_at;
    if (success >= suspect.at) {
      observed_.cleared.push_back({suspect.part, success});
      ScheduleFlush();
    }
  }
}

void PromptQuarantine::Clear(PromptPartHash part,
                             TimePoint at,
                             bool is_observed) {
  bool is_changed = AddSuccess(evidence_, part, at);
  const PartQuarantine* const found = FindQuarantine(quarantines_, part);
  if (found != nullptr && found->since < at) {
    std::erase_if(quarantines_, [part](const PartQuarantine& entry) {
      return entry.part == part;
    });
    is_changed = true;
    ++counters_.cleared_parts;
    events_.Write("prompt_part_cleared", {{"part", ToString(part)}});
  }
  if (is_changed) {
    (is_observed ? observed_ : received_).cleared.push_back({part, at});
    ScheduleFlush();
  }
}

void PromptQuarantine::BlameCulprits() {
  const TimePoint now = clock_.Now();
  ExpireEvidence(evidence_, now);
  ExpireQuarantines(quarantines_, now);
  const auto explains = [this](PromptPartHash part) {
    return IsQuarantined(part);
  };
  const TimePoint reported_until = now - kReportTime;
  for (auto culprit = FindCulprit(evidence_, reported_until, explains); culprit;
       culprit = FindCulprit(evidence_, reported_until, explains)) {
    BeginQuarantine(*culprit, LastCrashAt(evidence_, *culprit));
  }
  blame_timer_.reset();
  if (const auto next = FirstCrashAfter(evidence_, reported_until)) {
    blame_timer_ =
        timers_.After(*next - reported_until, [this] { BlameCulprits(); });
  }
}

void PromptQuarantine::BeginQuarantine(PromptPartHash part,
                                       TimePoint crashed_at) {
  Quarantine(quarantines_, part, crashed_at);
  const PartQuarantine& quarantine = *FindQuarantine(quarantines_, part);
  ++counters_.quarantined_parts;
  events_.Write("prompt_part_quarantined",
                {{"part", ToString(part)},
                 {"failed_probes", std::to_string(quarantine.failed_probes)},
                 {"left_ms", std::to_string(static_cast<int64_t>(ToMilliseconds(
                                 quarantine.until - clock_.Now())))}});
  newly_quarantined_.push_back(part);
  ScheduleFlush();
}

bool PromptQuarantine::IsQuarantined(PromptPartHash part) const {
  return FindQuarantine(quarantines_, part) != nullptr;
}

void PromptQuarantine::ScheduleFlush() {
  if (flush_timer_ != nullptr) {
    return;
  }
  const Duration since_last = clock_.Now() - flushed_at_;
  const Duration delay =
      flushed_at_ == TimePoint()
          ? kFlushDelay
          : std::max(kFlushDelay, kMinFlushInterval - since_last);
  flush_timer_ = timers_.After(delay, [this] { Flush(); });
}

void PromptQuarantine::Flush() {
  flush_timer_.reset();
  flushed_at_ = clock_.Now();
  PromptNews observed = std::exchange(observed_, {});
  PromptNews all = std::exchange(received_, {});
  const auto quarantined = std::exchange(newly_quarantined_, {});
  if (on_observed_ && !observed.empty()) {
    on_observed_(observed);
  }
  Append(all.crashes, observed.crashes);
  Append(all.cleared, observed.cleared);
  if (on_news_ && !all.empty()) {
    on_news_(all);
  }
  if (on_quarantined_ && !quarantined.empty()) {
    on_quarantined_(quarantined);
  }
}

}  // namespace peridotmill
