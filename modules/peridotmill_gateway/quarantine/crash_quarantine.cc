#include "peridotmill_gateway/quarantine/crash_quarantine.h"

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

CrashQuarantine::CrashQuarantine(const Clock& clock,
                                 TimerQueue& timers,
                                 EventSink& events,
                                 QuarantineStore* store)
    : clock_(clock), timers_(timers), events_(events), store_(store) {}

CrashQuarantine::~CrashQuarantine() = default;

void CrashQuarantine::RecordCrash(const RequestId& request,
                                  const CrashedProcess& incarnation,
                                  TimePoint attempt_started_at,
                                  SuspectId id,
                                  const std::vector<SuspectId>& parts) {
  const TimePoint now = clock_.Now();
  SuspectedCrash crash{.incarnation = incarnation, .suspects = {}};
  crash.suspects.push_back({.id = id,
                            .at = now,
                            .position = kRequestPosition,
                            .attempt_started_at = attempt_started_at,
                            .is_observed = true});
  std::string part_names;
  for (size_t i = 0; i < parts.size(); ++i) {
    crash.suspects.push_back(
        {.id = parts[i],
         .at = now,
         .successes = FindSuccess(evidence_, parts[i]).count,
         .position = static_cast<uint32_t>(i),
         .attempt_started_at = attempt_started_at,
         .is_observed = true});
    part_names += (i == 0 ? "" : ",") + ToString(parts[i]);
  }
  ++counters_.suspected_crashes;
  events_.Write("crash_suspected", {{"request", request.value()},
                                    {"endpoint", incarnation.endpoint.value()},
                                    {"suspect", ToString(id)},
                                    {"parts", part_names}});
  AddSuspects(crash, NewsSource::kOwn);
  BlameCulprits();
}

void CrashQuarantine::RecordSuccess(const std::vector<SuspectId>& suspects) {
  const TimePoint now = clock_.Now();
  for (const SuspectId id : suspects) {
    Clear(id, now, NewsSource::kOwn);
  }
}

void CrashQuarantine::Apply(const CrashNews& news, NewsSource source) {
  for (const SuspectedCrash& crash : news.crashes) {
    AddSuspects(crash, source);
  }
  for (const QuarantineEntry& reported : news.quarantines) {
    const TimePoint success = FindSuccess(evidence_, reported.id).last_at;
    if (success > reported.since) {
      observed_.cleared.push_back({reported.id, success});
      ScheduleFlush();
    } else if (MergeQuarantine(quarantines_, reported, clock_.Now())) {
      Outgoing(source).quarantines.push_back(reported);
      newly_quarantined_.push_back(reported.id);
      ScheduleFlush();
    }
  }
  for (const ClearedSuspect& cleared : news.cleared) {
    Clear(cleared.id, cleared.at, source);
  }
  BlameCulprits();
}

CrashNews CrashQuarantine::Snapshot() const {
  CrashNews news;
  news.crashes.assign(evidence_.crashes.begin(), evidence_.crashes.end());
  news.quarantines = quarantines_;
  return news;
}

bool CrashQuarantine::MayConcern(RequestFingerprint fingerprint) const {
  return IsSuspected(evidence_, fingerprint) ||
         std::any_of(quarantines_.begin(), quarantines_.end(),
                     [fingerprint](const QuarantineEntry& entry) {
                       return FingerprintOf(entry.id) == fingerprint;
                     });
}

std::optional<Duration> CrashQuarantine::QuarantineLeft(
    const std::vector<SuspectId>& suspects) const {
  const TimePoint now = clock_.Now();
  Duration left = Duration::zero();
  for (const SuspectId id : suspects) {
    if (const auto* const found = FindQuarantine(quarantines_, id)) {
      left = std::max(left, found->until - now);
    }
  }
  return left > Duration::zero() ? std::optional(std::max(left, kMinRetryAfter))
                                 : std::nullopt;
}

bool CrashQuarantine::IsAnyQuarantined(
    const std::vector<SuspectId>& suspects) const {
  return std::any_of(suspects.begin(), suspects.end(),
                     [this](SuspectId id) { return IsQuarantined(id); });
}

QuarantineVerdict CrashQuarantine::TryRun(
    const RequestId& request,
    const std::vector<SuspectId>& suspects) {
  if (quarantines_.empty()) {
    return {};
  }
  const TimePoint now = clock_.Now();
  ExpireQuarantines(quarantines_, now);
  Duration left = Duration::zero();
  bool is_waiting = false;
  std::vector<QuarantineEntry*> unprobed;
  for (const SuspectId id : suspects) {
    QuarantineEntry* const found = FindQuarantine(quarantines_, id);
    if (found == nullptr) {
      continue;
    }
    const bool is_over = now >= found->until;
    if (is_over && found->probe == request) {
      continue;
    }
    if (found->applicant == request) {
      is_waiting = true;
    } else if (is_over && found->is_probe_unused && now < found->probe_until) {
      found->probe = request;
      found->is_probe_unused = false;
    } else if (const Duration wait = TimeUntilProbe(*found, now);
               wait > Duration::zero() || !found->applicant.empty()) {
      left = std::max({left, wait, kMinRetryAfter});
    } else {
      unprobed.push_back(found);
    }
  }
  if (left > Duration::zero()) {
    return {QuarantineVerdict::Kind::kRefuse, left};
  }
  for (QuarantineEntry* const quarantine : unprobed) {
    ApplyForProbe(*quarantine, request);
    is_waiting |= !quarantine->applicant.empty();
  }
  return {is_waiting ? QuarantineVerdict::Kind::kAwaitProbe
                     : QuarantineVerdict::Kind::kRun};
}

void CrashQuarantine::ApplyForProbe(QuarantineEntry& quarantine,
                                    const RequestId& request) {
  if (store_ == nullptr) {
    ++quarantine.probes;
    BeginProbe(quarantine, request);
    return;
  }
  quarantine.applicant = request;
  quarantine.is_probe_unused = false;
  store_->TakeProbe(quarantine.id, quarantine.probes,
                    [this, id = quarantine.id, request](ProbeGrant grant) {
                      OnProbeDecided(id, request, grant);
                    });
}

void CrashQuarantine::OnProbeDecided(SuspectId id,
                                     const RequestId& request,
                                     ProbeGrant grant) {
  QuarantineEntry* const quarantine = FindQuarantine(quarantines_, id);
  if (quarantine == nullptr) {
    return;
  }
  quarantine->applicant = RequestId();
  const bool has_new_probe = grant.probes > quarantine->probes;
  quarantine->probes = std::max(quarantine->probes, grant.probes);
  if (grant.is_granted) {
    const bool has_ended = quarantine->is_probe_unused;
    BeginProbe(*quarantine, request);
    if (has_ended) {
      ReturnProbes(request);
    }
    return;
  }
  // News of another node's probe may have come meanwhile.
  quarantine->probe_until =
      std::max(quarantine->probe_until,
               clock_.Now() + (has_new_probe ? kProbeLimit : kMinRetryAfter));
  events_.Write("probe_denied", {{"request", request.value()},
                                 {"suspect", ToString(id)},
                                 {"probes", std::to_string(grant.probes)}});
}

void CrashQuarantine::BeginProbe(QuarantineEntry& quarantine,
                                 const RequestId& request) {
  quarantine.probe = request;
  quarantine.probe_until = clock_.Now() + kProbeLimit;
  quarantine.is_probe_unused = false;
  ++counters_.probes;
  events_.Write("suspect_probed",
                {{"request", request.value()},
                 {"suspect", ToString(quarantine.id)},
                 {"probes", std::to_string(quarantine.probes)}});
  observed_.quarantines.push_back(quarantine);
  ScheduleFlush();
}

void CrashQuarantine::ReturnProbes(const RequestId& request) {
  for (QuarantineEntry& quarantine : quarantines_) {
    if (quarantine.probe == request) {
      quarantine.probe = RequestId();
      quarantine.is_probe_unused = true;
    } else if (quarantine.applicant == request) {
      quarantine.is_probe_unused = true;
    }
  }
}

void CrashQuarantine::Restore(SuspectId id, int probes) {
  const TimePoint now = clock_.Now();
  if (IsQuarantined(id) || FindSuccess(evidence_, id).last_at != TimePoint()) {
    return;
  }
  Quarantine(quarantines_, id, now);
  QuarantineEntry& quarantine = *FindQuarantine(quarantines_, id);
  quarantine.probes = probes;
  // How long ago its last crash was is not known.
  quarantine.until = now + QuarantineTime(probes);
  events_.Write("quarantine_restored", {{"suspect", ToString(id)},
                                        {"probes", std::to_string(probes)}});
  newly_quarantined_.push_back(id);
  ScheduleFlush();
}

bool CrashQuarantine::IsRepeatedSuspect(
    const std::vector<SuspectId>& suspects) const {
  const auto explains = [this](SuspectId id) { return IsQuarantined(id); };
  return std::any_of(suspects.begin(), suspects.end(), [&](SuspectId id) {
    const bool is_established =
        FindSuccess(evidence_, id).count >= kEstablishedSuccesses;
    return IsQuarantined(id) ||
           (!is_established && CountIncidents(evidence_, id, explains) > 1);
  });
}

void CrashQuarantine::AddSuspects(const SuspectedCrash& crash,
                                  NewsSource source) {
  const std::vector<Suspect> added = AddCrash(evidence_, crash);
  if (!added.empty()) {
    Outgoing(source).crashes.push_back({crash.incarnation, added});
    ScheduleFlush();
  }
  for (const Suspect& suspect : added) {
    if (IsQuarantined(suspect.id)) {
      BeginQuarantine(suspect.id, suspect.at);
    }
  }
  if (source == NewsSource::kOwn) {
    return;
  }
  // The reporting node may not know of successes that this one has seen.
  for (const Suspect& suspect : crash.suspects) {
    const TimePoint success = FindSuccess(evidence_, suspect.id).last_at;
    if (success >= suspect.at) {
      observed_.cleared.push_back({suspect.id, success});
      ScheduleFlush();
    }
  }
}

void CrashQuarantine::Clear(SuspectId id, TimePoint at, NewsSource source) {
  bool is_changed = AddSuccess(evidence_, id, at);
  const QuarantineEntry* const found = FindQuarantine(quarantines_, id);
  if (found != nullptr && found->since < at) {
    std::erase_if(quarantines_, [id](const QuarantineEntry& entry) {
      return entry.id == id;
    });
    is_changed = true;
    if (source == NewsSource::kOwn && store_ != nullptr) {
      store_->Remove(id);
    }
    ++counters_.cleared;
    events_.Write("suspect_cleared", {{"suspect", ToString(id)}});
  }
  if (is_changed) {
    Outgoing(source).cleared.push_back({id, at});
    ScheduleFlush();
  }
}

void CrashQuarantine::BlameCulprits() {
  const TimePoint now = clock_.Now();
  ExpireEvidence(evidence_, now);
  ExpireQuarantines(quarantines_, now);
  const auto explains = [this](SuspectId id) { return IsQuarantined(id); };
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

void CrashQuarantine::BeginQuarantine(SuspectId id, TimePoint crashed_at) {
  Quarantine(quarantines_, id, crashed_at);
  const QuarantineEntry& quarantine = *FindQuarantine(quarantines_, id);
  ++counters_.quarantined;
  events_.Write("suspect_quarantined",
                {{"suspect", ToString(id)},
                 {"probes", std::to_string(quarantine.probes)},
                 {"left_ms", std::to_string(static_cast<int64_t>(ToMilliseconds(
                                 quarantine.until - clock_.Now())))}});
  newly_quarantined_.push_back(id);
  ScheduleFlush();
  if (store_ != nullptr && HasObservedCrash(id)) {
    store_->Write(id, quarantine.probes);
  }
}

bool CrashQuarantine::HasObservedCrash(SuspectId id) const {
  return std::any_of(evidence_.crashes.begin(), evidence_.crashes.end(),
                     [id](const SuspectedCrash& crash) {
                       return std::any_of(
                           crash.suspects.begin(), crash.suspects.end(),
                           [id](const Suspect& suspect) {
                             return suspect.id == id && suspect.is_observed;
                           });
                     });
}

bool CrashQuarantine::IsQuarantined(SuspectId id) const {
  return FindQuarantine(quarantines_, id) != nullptr;
}

void CrashQuarantine::ScheduleFlush() {
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

void CrashQuarantine::Flush() {
  flush_timer_.reset();
  flushed_at_ = clock_.Now();
  CrashNews observed = std::exchange(observed_, {});
  CrashNews all = std::exchange(received_, {});
  const auto quarantined = std::exchange(newly_quarantined_, {});
  if (on_observed_ && !observed.empty()) {
    on_observed_(observed);
  }
  Append(all.crashes, observed.crashes);
  Append(all.quarantines, observed.quarantines);
  Append(all.cleared, observed.cleared);
  if (on_news_ && !all.empty()) {
    on_news_(all);
  }
  if (on_quarantined_ && !quarantined.empty()) {
    on_quarantined_(quarantined);
  }
}

}  // namespace peridotmill
