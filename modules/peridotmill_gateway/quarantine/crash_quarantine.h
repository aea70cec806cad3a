#ifndef PERIDOTMILL_GATEWAY_QUARANTINE_CRASH_QUARANTINE_H_
#define PERIDOTMILL_GATEWAY_QUARANTINE_CRASH_QUARANTINE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/quarantine/crash_news.h"
#include "peridotmill_gateway/quarantine/quarantine_store.h"
#include "peridotmill_gateway/quarantine/quarantine_verdict.h"

namespace peridotmill {

// Numbers since the process started, for the metrics page.
struct CrashQuarantineCounters {
  // Requests of this node that may have crashed their endpoint.
  uint64_t suspected_crashes = 0;
  uint64_t quarantined = 0;
  uint64_t cleared = 0;
  uint64_t probes = 0;
};

// Finds requests, and parts of prompts, that crash the endpoints which process
// them, and stops them. Nodes exchange what they observe through their
// coordinators, so that all of them come to the same conclusion.
class CrashQuarantine {
 public:
  using NewsCallback = std::function<void(const CrashNews& news)>;
  using SuspectsCallback =
      std::function<void(const std::vector<SuspectId>& suspects)>;

  // Without `store`, which may be null, each node counts its own probes and
  // forgets its quarantines when its process ends.
  CrashQuarantine(const Clock& clock,
                  TimerQueue& timers,
                  EventSink& events,
                  QuarantineStore* store = nullptr);
  ~CrashQuarantine();
  CrashQuarantine(const CrashQuarantine&) = delete;
  CrashQuarantine& operator=(const CrashQuarantine&) = delete;

  // `callback` gets what this node has observed, or has been told by the nodes
  // which it coordinates, for its own coordinators.
  void set_on_observed(NewsCallback callback) {
    on_observed_ = std::move(callback);
  }
  // `callback` gets all that is new, also from other nodes, for the nodes which
  // this one coordinates.
  void set_on_news(NewsCallback callback) { on_news_ = std::move(callback); }
  // `callback` gets the suspects whose quarantine has begun. Never called
  // within another function of this class.
  void set_on_quarantined(SuspectsCallback callback) {
    on_quarantined_ = std::move(callback);
  }

  // Records that an endpoint seems to have crashed under an attempt of a
  // request. `id` identifies the whole request, and `parts` the shared parts of
  // its prompt.
  void RecordCrash(const RequestId& request,
                   const CrashedProcess& incarnation,
                   TimePoint attempt_started_at,
                   SuspectId id,
                   const std::vector<SuspectId>& parts);
  // Records that an endpoint has answered a request with these suspects.
  void RecordSuccess(const std::vector<SuspectId>& suspects);
  // Takes over what another node has reported.
  void Apply(const CrashNews& news, NewsSource source);
  // Returns all that this node knows.
  CrashNews Snapshot() const;

  // Returns whether a request with this fingerprint is suspected or
  // quarantined, so that it has to be identified.
  bool MayConcern(RequestFingerprint fingerprint) const;
  // Returns the time after which a request may be tried again, or nullopt if
  // none of its suspects is quarantined or a probe may be due.
  std::optional<Duration> QuarantineLeft(
      const std::vector<SuspectId>& suspects) const;
  // Returns whether any of these suspects is quarantined, or may be probed.
  bool IsAnyQuarantined(const std::vector<SuspectId>& suspects) const;
  // Returns whether `request` may run now. If a quarantine is over, it applies
  // for a probe, and may run once the store has counted that.
  QuarantineVerdict TryRun(const RequestId& request,
                           const std::vector<SuspectId>& suspects);
  // Lets another request of this node take the probes that `request` has or has
  // applied for, since it ended before it was sent to an endpoint.
  void ReturnProbes(const RequestId& request);
  // Takes over a quarantine that was recorded before this process started.
  void Restore(SuspectId id, int probes);
  // Returns whether a suspect has coincided with more than one crash, so that a
  // request which may have crashed an endpoint should not be sent to another.
  bool IsRepeatedSuspect(const std::vector<SuspectId>& suspects) const;

  const CrashQuarantineCounters& counters() const { return counters_; }

 private:
  // Adds the suspects that are new.
  void AddSuspects(const SuspectedCrash& crash, NewsSource source);
  void Clear(SuspectId id, TimePoint at, NewsSource source);
  // Returns what is to be passed on of news from `source`.
  CrashNews& Outgoing(NewsSource source) {
    return source == NewsSource::kCoordinator ? received_ : observed_;
  }
  // Quarantines the suspects that are to blame for the crashes that all nodes
  // have had the time to report, and schedules itself for later ones.
  void BlameCulprits();
  void BeginQuarantine(SuspectId id, TimePoint crashed_at);
  bool IsQuarantined(SuspectId id) const;
  // Returns whether this node has observed a crash of which `id` is suspected.
  bool HasObservedCrash(SuspectId id) const;
  void ApplyForProbe(QuarantineEntry& quarantine, const RequestId& request);
  void OnProbeDecided(SuspectId id, const RequestId& request, ProbeGrant grant);
  void BeginProbe(QuarantineEntry& quarantine, const RequestId& request);
  // Passes the collected news on, after a delay that limits the number of
  // messages.
  void ScheduleFlush();
  void Flush();

  const Clock& clock_;
  TimerQueue& timers_;
  EventSink& events_;
  QuarantineStore* store_;
  NewsCallback on_observed_;
  NewsCallback on_news_;
  SuspectsCallback on_quarantined_;
  CrashEvidence evidence_;
  QuarantineEntries quarantines_;
  // What has not been passed on yet.
  CrashNews observed_;
  CrashNews received_;
  std::vector<SuspectId> newly_quarantined_;
  std::unique_ptr<Timer> flush_timer_;
  TimePoint flushed_at_;
  std::unique_ptr<Timer> blame_timer_;
  CrashQuarantineCounters counters_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_CRASH_QUARANTINE_H_
