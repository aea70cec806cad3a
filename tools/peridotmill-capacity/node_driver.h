#ifndef TOOLS_PERIDOTMILL_CAPACITY_NODE_DRIVER_H_
#define TOOLS_PERIDOTMILL_CAPACITY_NODE_DRIVER_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet_input.h"
#include "memory_store.h"
#include "peridotmill_node/peridotmill_node.h"

namespace peridotmill::capacity {

struct DriverSettings {
  FleetSize size;
  bool is_relay = false;
  double requests_per_second = 5;
  int tokens_per_stream = 336;
  // Share of the domain's endpoints and of the remote pools whose load changes
  // in a second.
  double busy = 1;
};

// Work of one kind of event.
struct EventWork {
  uint64_t count = 0;
  int64_t nanoseconds = 0;
};

// One node on logical time, with its peers, endpoints, callers and the store
// played by this class at the rates of a fleet of the given size.
class NodeDriver {
 public:
  NodeDriver(const DriverSettings& settings, MemoryStore& store);

  void RunSeconds(int seconds);
  void ResetWork();

  const NodeState& state() const { return *state_; }
  // By the name of the event kind.
  std::map<std::string, EventWork> WorkByEvent() const;
  int64_t nanoseconds() const { return nanoseconds_; }
  uint64_t bytes_sent() const { return bytes_sent_; }
  uint64_t bytes_received() const { return bytes_received_; }
  uint64_t frames_sent() const { return frames_sent_; }
  uint64_t frames_received() const { return frames_received_; }
  uint64_t answered() const { return answered_; }
  uint64_t refused() const { return refused_; }
  uint64_t tokens() const { return tokens_; }
  bool is_relay() const;

 private:
  void Create();
  void Feed(const NodeEvent& event);
  void Handle(NodeCommand& command);
  void AnswerFrame(const SendPeerFrame& frame);
  void AnswerAttempt(const StartAttempt& start);
  void SendPeerFrames();
  void SendFrame(const NodeId& peer, const std::vector<PeerMessage>& messages);
  void SendRequest();
  void RunUntil(TimePoint end);

  DriverSettings settings_;
  MemoryStore& store_;
  HostList hosts_;
  std::unique_ptr<NodeState> state_;
  Random random_{7};
  TimePoint now_{std::chrono::hours(1)};
  // Events that the outside sends later.
  std::multimap<TimePoint, NodeEvent> later_;
  std::set<NodeId> connected_;
  uint32_t second_ = 0;
  uint64_t requests_ = 0;
  std::array<EventWork, std::variant_size_v<NodeEvent>> work_;
  int64_t nanoseconds_ = 0;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
  uint64_t frames_sent_ = 0;
  uint64_t frames_received_ = 0;
  uint64_t answered_ = 0;
  uint64_t refused_ = 0;
  uint64_t tokens_ = 0;
};

}  // namespace peridotmill::capacity

#endif  // TOOLS_PERIDOTMILL_CAPACITY_NODE_DRIVER_H_
