#ifndef PERIDOTMILL_GATEWAY_PEERS_STAGE_MESSAGE_H_
#define PERIDOTMILL_GATEWAY_PEERS_STAGE_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_gateway/limits/permit_buckets.h"
#include "peridotmill_gateway/quarantine/crash_news.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

// Identifies a task among those that one node has submitted to other nodes.
using RemoteTaskId = uint64_t;

struct SubmitTaskMessage {
  RemoteTaskId id = 0;
  // `due` and `deadline` are times on the clock of this node; they are
  // converted when the message is encoded and decoded.
  StageTask task;
};

struct CancelTaskMessage {
  RemoteTaskId id = 0;
};

struct TaskAcceptedMessage {
  RemoteTaskId id = 0;
  // Failure domains that no longer respond to the coordinator.
  std::vector<FailureDomainId> suspected_domains;
};

struct TaskEndedMessage {
  RemoteTaskId id = 0;
  StageTaskResult result;
};

using StageMessage = std::variant<SubmitTaskMessage,
                                  CancelTaskMessage,
                                  TaskAcceptedMessage,
                                  TaskEndedMessage,
                                  CrashNews,
                                  PermitRequest,
                                  PermitGrant>;

// Encodes times relative to `now`, because the clocks of hosts differ.
std::string EncodeStageMessage(const StageMessage& message, TimePoint now);

// Errors: kMalformed.
Result<StageMessage> DecodeStageMessage(std::string_view bytes, TimePoint now);

// The value that a node registers about itself in the store.
struct NodeRecord {
  std::string peer_address;
  FailureDomainId failure_domain;
  // Fraction of a processor core that the node may use.
  double processor_share = 0;
  // "ip:port" at which other nodes can subscribe to this node's copy of the
  // store; empty if the node does not offer one.
  std::string replica_address;
};

std::string EncodeNodeRecord(const NodeRecord& record);

// Errors: kMalformed.
Result<NodeRecord> DecodeNodeRecord(std::string_view bytes);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_STAGE_MESSAGE_H_
