#ifndef PERIDOTMILL_GATEWAY_PEERS_STAGE_MESSAGE_H_
#define PERIDOTMILL_GATEWAY_PEERS_STAGE_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

// Identifies a task among those of one node.
using RemoteTaskId = uint64_t;

struct SubmitTaskMessage {
  RemoteTaskId id = 0;
  // Its due time and deadline are on the clock of the node that holds it.
  StageTask task;
};

struct CancelTaskMessage {
  RemoteTaskId id = 0;
};

struct TaskAcceptedMessage {
  RemoteTaskId id = 0;
  // Failure domains that answer the coordinator no more.
  std::vector<FailureDomainId> suspected_domains;
};

struct TaskEndedMessage {
  RemoteTaskId id = 0;
  StageTaskResult result;
};

using StageMessage = std::variant<SubmitTaskMessage,
                                  CancelTaskMessage,
                                  TaskAcceptedMessage,
                                  TaskEndedMessage>;

// Times are sent relative to `now`, because the clocks of hosts differ.
std::string EncodeStageMessage(const StageMessage& message, TimePoint now);

// Errors: kMalformed.
Result<StageMessage> DecodeStageMessage(std::string_view bytes, TimePoint now);

// What a node says of itself in the store.
struct NodeRecord {
  std::string peer_address;
  FailureDomainId failure_domain;
  // Share of a processor core that the node has.
  double processor_share = 0;
  // Where it passes on what it knows of the store; empty if it does not.
  std::string replica_address;
};

std::string EncodeNodeRecord(const NodeRecord& record);

// Errors: kMalformed.
Result<NodeRecord> DecodeNodeRecord(std::string_view bytes);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_STAGE_MESSAGE_H_
