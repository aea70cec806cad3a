#ifndef PERIDOTMILL_CONFIG_DISTRIBUTION_CONFIG_DISTRIBUTION_H_
#define PERIDOTMILL_CONFIG_DISTRIBUTION_CONFIG_DISTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_config/parts/head.h"
#include "peridotmill_core/errors/finding.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/store/store_call.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

inline constexpr size_t kWatchersPerDomain = 2;
inline constexpr Duration kWatcherReadInterval = std::chrono::seconds(1);
inline constexpr Duration kReadInterval = std::chrono::seconds(30);
// A node that starts serves the highest revision of those that answered by now.
inline constexpr Duration kStartWindow = std::chrono::milliseconds(500);
// A node that cannot fetch that revision serves an older one after this: peers
// may have named a revision and then become unreachable.
inline constexpr Duration kStartGiveUp = std::chrono::seconds(5);
// A pending head whose parts cannot be fetched gives way to any newer than the
// applied one after this, so that a false head does not block the true one.
inline constexpr Duration kPendingGiveUp = std::chrono::seconds(10);
inline constexpr Duration kStoreCallTimeout = std::chrono::seconds(2);
inline constexpr Duration kPartFetchTimeout = std::chrono::milliseconds(500);
inline constexpr Duration kHeadRepeatInterval = std::chrono::seconds(2);
// Sustained part fetches a second, which bounds the load of a recovery.
inline constexpr double kPartFetchesPerSecond = 20;
// Time between two looks at missing parts; the pace frees one fetch in it.
inline constexpr Duration kFetchInterval = std::chrono::milliseconds(50);
// A node that starts needs all parts (71) within its start time of 1 s. Peers
// have no rate limit to protect, so they may be asked for all at once.
inline constexpr double kPeerFetchBurst = 80;
inline constexpr double kStoreFetchBurst = 20;
// Names of a head's parts; 71 today.
inline constexpr size_t kMaxParts = 256;
inline constexpr size_t kMaxRejected = 16;
inline constexpr size_t kMaxAnnouncers = 8;
inline constexpr size_t kMaxTrackedPeers = 1024;

// The members as the distribution needs them.
struct DistributionPeers {
  FailureDomainId failure_domain;
  // Usable members of the domain, with this node.
  std::vector<NodeId> domain_members;
  // Connected peers of the domain.
  std::vector<NodeId> domain_peers;
  // Connected relays of other domains; empty unless this node is a relay.
  std::vector<NodeId> remote_relays;
};

// A head newer than the applied one, while its parts are fetched.
struct PendingConfig {
  ConfigHead head;
  std::string text;
  // Peer that announced it; empty for the store.
  NodeId from;
  // Peers that announced it, `from` first; they hold its parts.
  std::vector<NodeId> announcers;
  TimePoint since;
  struct Fetch {
    // When the last request is given up.
    std::optional<TimePoint> timeout;
    int tries = 0;
  };
  // By digest; parts that are neither held nor fetched yet.
  std::map<std::string, Fetch> missing;
  std::map<std::string, std::string> fetched;
};

struct FetchTokens {
  double tokens = 0;
  TimePoint refilled;
};

struct DistributionCounters {
  uint64_t applied = 0;
  uint64_t rejected = 0;
  uint64_t malformed_heads = 0;
  uint64_t old_heads = 0;
  uint64_t digest_mismatches = 0;
  uint64_t peer_fetches = 0;
  uint64_t store_fetches = 0;
  uint64_t head_reads = 0;
};

struct PeerProgress {
  Revision revision;
  TimePoint head_sent;
};

// A node's configuration and how it learns of newer ones.
struct ConfigDistribution {
  NodeId self;
  // In force; none until the first configuration was applied.
  std::optional<ConfigHead> head;
  std::string head_text;
  std::shared_ptr<const ObjectSet> objects;
  // Contents of the applied parts by digest, to serve peers.
  std::map<std::string, std::string> parts;
  NodeId applied_from;
  TimePoint applied_at;

  std::optional<PendingConfig> pending;
  // Text of the store's head as last read; equal text is not parsed again.
  std::string store_text;
  // Publications that failed validation, not fetched again.
  std::deque<Nonce> rejected;
  std::map<NodeId, PeerProgress> peers;
  DistributionPeers view;

  TimePoint started;
  bool has_answer = false;
  bool is_serving = false;
  Revision start_revision;
  // When a node that does not serve yet decides again. Kept until a tick has
  // handled it: a time left out once it is due would never be due.
  TimePoint next_serving_check;

  TimePoint next_read;
  std::optional<TimePoint> read_timeout;
  bool is_watching = false;
  TimePoint next_watch;
  // Store revision after which the watch reports.
  int64_t watch_after = 0;
  FetchTokens peer_tokens;
  FetchTokens store_tokens;
  // When missing parts are looked at again; only with `pending`.
  TimePoint next_fetch;
  Random random{0};
  DistributionCounters counters;
};

// Names a store call of the distribution; its answer carries it back.
struct ConfigCall {
  enum class Kind : uint8_t { kReadHead, kWatchHead, kReadPart };
  Kind kind = Kind::kReadHead;
  // For kReadPart.
  std::string digest;

  friend bool operator==(const ConfigCall&, const ConfigCall&) = default;
};

struct CallConfigStore {
  ConfigCall call;
  StoreRequest request;
};
// This node is no watcher any more; the waiting watch is to be ended.
struct StopConfigWatch {};
struct SendConfigHead {
  NodeId peer;
  std::string text;
};
struct RequestConfigPart {
  NodeId peer;
  std::string digest;
};
struct SendConfigPart {
  NodeId peer;
  std::string digest;
  std::string content;
  bool found = false;
};
struct ConfigApplied {
  Revision revision;
  NodeId from;
  std::shared_ptr<const ObjectSet> objects;
};
// A configuration that was not put in force; the previous one stays.
struct ConfigRejected {
  Revision revision;
  NodeId from;
  Findings findings;
};

using DistributionCommand = std::variant<CallConfigStore,
                                         StopConfigWatch,
                                         SendConfigHead,
                                         RequestConfigPart,
                                         SendConfigPart,
                                         ConfigApplied,
                                         ConfigRejected>;
using DistributionCommands = std::vector<DistributionCommand>;

ConfigDistribution MakeDistribution(const NodeId& self,
                                    uint64_t seed,
                                    TimePoint now);

// Starts reads, watches and part fetches that are due. `peers` replaces the
// view of the members.
DistributionCommands TickDistribution(ConfigDistribution& state,
                                      const DistributionPeers& peers,
                                      TimePoint now);

DistributionCommands ApplyConfigAnswer(ConfigDistribution& state,
                                       const ConfigCall& call,
                                       const StoreAnswer& answer,
                                       TimePoint now);

// A peer was connected: it is told the applied head.
DistributionCommands ConfigPeerUp(ConfigDistribution& state,
                                  const NodeId& peer,
                                  TimePoint now);

// A peer's heartbeat: one that is behind is told the applied head again.
DistributionCommands ApplyPeerRevision(ConfigDistribution& state,
                                       const NodeId& from,
                                       Revision revision,
                                       TimePoint now);

DistributionCommands ApplyPeerHead(ConfigDistribution& state,
                                   const NodeId& from,
                                   const std::string& text,
                                   TimePoint now);

DistributionCommands ApplyPartRequest(const ConfigDistribution& state,
                                      const NodeId& from,
                                      const std::string& digest);

DistributionCommands ApplyPart(ConfigDistribution& state,
                               const NodeId& from,
                               const std::string& digest,
                               const std::string& content,
                               bool found,
                               TimePoint now);

TimePoint NextDistributionWakeup(const ConfigDistribution& state,
                                 TimePoint now);

// Whether `self` is one of the two nodes of the domain that watch the head.
bool IsWatcher(const NodeId& self, const DistributionPeers& peers);

struct DistributionStatus {
  Revision revision;
  // Empty for the store.
  NodeId from;
  TimePoint since;
  bool is_serving = false;
  bool is_watcher = false;
  // Being fetched; 0 for none.
  Revision pending;
  uint64_t rejected = 0;
};
DistributionStatus StatusOf(const ConfigDistribution& state);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_DISTRIBUTION_CONFIG_DISTRIBUTION_H_
