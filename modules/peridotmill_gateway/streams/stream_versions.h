#ifndef PERIDOTMILL_GATEWAY_STREAMS_STREAM_VERSIONS_H_
#define PERIDOTMILL_GATEWAY_STREAMS_STREAM_VERSIONS_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/configuration/active_configuration.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"
#include "peridotmill_gateway/store/store_channel.h"
#include "peridotmill_gateway/streams/stream_record.h"

namespace peridotmill {

// Prefix of the store keys of stream records; the process follows.
inline constexpr char kStreamKeyPrefix[] = "peridotmill/streams/";

// Longer than callers take up a stream after it began.
inline constexpr Duration kStreamLifetime = std::chrono::minutes(1);

// Whether it is known which version began a stream.
struct StreamVersionVerdict {
  enum class Kind : uint8_t {
    kKnown,
    kUnknown,
    // Ask again in a few milliseconds: the records of other nodes are read.
    kWait,
  };
  Kind kind = Kind::kUnknown;
  std::string version;
};

// Knows by which software version of its pool's endpoints a stream was begun.
// While a pool has several versions, all nodes record the streams that they
// begin in the store, so that another node, or the next process, can go on with
// them. With one version nothing is written.
class StreamVersions {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerQueue& timers;
    StoreChannel& store;
    const EndpointRegistry& endpoints;
    EventSink& events;
    // Differs from that of all other processes, earlier ones of the same node
    // included.
    std::string process;
    // Whether the registrations are those that the store has now.
    std::function<bool()> are_registrations_current;
    std::function<size_t()> count_nodes;
  };

  explicit StreamVersions(const Dependencies& dependencies);
  ~StreamVersions();
  StreamVersions(const StreamVersions&) = delete;
  StreamVersions& operator=(const StreamVersions&) = delete;

  // Observes the pools of the resumable routes from now on.
  void SetConfiguration(const ActiveConfiguration& configuration);

  // Notes that a stream goes on only at `version`.
  void Bind(const PoolId& pool,
            const TeamId& team,
            const RequestId& request,
            const std::string& version);

  // Returns the version of the stream that `request` began, for a caller that
  // has asked for it since `asked_at`.
  StreamVersionVerdict Find(const PoolId& pool,
                            const TeamId& team,
                            const RequestId& request,
                            TimePoint asked_at);

 private:
  // A stream of this process; `version` is empty if there were several.
  struct KnownStream {
    std::optional<std::string> version;
    TimePoint bound_at;
  };
  // The records of all processes at one time.
  struct RecordedState {
    TimePoint read_at;
    std::set<PoolId> pools;
    std::map<StreamKey, std::optional<std::string>> streams;
  };

  // Notes which versions serve now, and whether that is all that may have
  // served since the last time.
  void Observe();
  void ObserveLater();
  // Returns the only version that has served the pool, as far as this process
  // has seen; nullopt if there were several or none.
  std::optional<std::string> OnlyVersion(const PoolId& pool) const;
  bool HasSeveralVersions(const PoolId& pool) const;
  // Returns whether this process knows all versions of the last
  // kStreamLifetime.
  bool KnowsPast() const;
  // Time between two writes of this process.
  Duration WriteInterval() const;
  void WriteIfDue();
  void WriteRecord();
  void EndWrite(bool is_written);
  StreamRecord MakeRecord() const;
  void ReadRecords();
  void ReadPage(const std::string& after_key);
  void ForgetOldStreams();

  Dependencies dependencies_;
  std::set<PoolId> pools_;
  // When each version was last seen in a pool.
  std::map<PoolId, std::map<std::string, TimePoint>> last_seen_;
  std::optional<TimePoint> current_since_;
  std::map<StreamKey, KnownStream> streams_;
  // The keys of `streams_`, oldest first.
  std::deque<StreamKey> order_;
  std::unique_ptr<Timer> observe_timer_;
  // Writing.
  bool has_unwritten_streams_ = false;
  std::set<PoolId> written_pools_;
  std::unique_ptr<StoreCallHandle> write_;
  std::unique_ptr<Timer> write_timer_;
  TimePoint next_write_at_;
  int64_t lease_ = 0;
  TimePoint lease_granted_at_;
  // Reading.
  std::unique_ptr<StoreCallHandle> read_;
  RecordedState reading_;
  std::optional<RecordedState> recorded_;
  std::optional<TimePoint> failed_read_at_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STREAMS_STREAM_VERSIONS_H_
