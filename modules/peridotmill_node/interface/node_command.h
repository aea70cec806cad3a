#ifndef PERIDOTMILL_NODE_INTERFACE_NODE_COMMAND_H_
#define PERIDOTMILL_NODE_INTERFACE_NODE_COMMAND_H_

#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "peridotmill_core/peridotmill_core.h"
#include "peridotmill_node/interface/node_event.h"

namespace peridotmill {

// Sends one attempt to an endpoint. The answer comes back as AttemptFragment
// and AttemptFinished events.
struct StartAttempt {
  AttemptId attempt;
  RequestId request;
  EndpointId endpoint;
  std::string address;
  std::string path;
  // JSON.
  std::string body;
  // Whether the answer is an engine's token stream.
  bool is_stream = false;
  // Caller's key of an action, so that endpoints can recognise it; may be
  // empty.
  std::string action_key;
  // Allows the transport to reuse a connection that may break on reuse.
  bool is_idempotent = false;
  Duration timeout{};
};

// Ends an open attempt; engines are told to stop generating.
struct CancelAttempt {
  AttemptId attempt;
  std::string address;
  bool is_stream = false;
};

// Appends text to a streamed answer; the first one opens the stream.
struct CallerFragment {
  RequestId request;
  std::string data;
};

// Completes a caller's answer.
struct CallerAnswer {
  RequestId request;
  // JSON; for a stream, the last event's data.
  std::string body;
  bool is_stream = false;
};

struct CallerRefusal {
  RequestId request;
  Reason reason = Reason::kBadRequest;
  Execution execution = Execution::kUnknown;
  std::string message;
  // Field of the request that is at fault, if any.
  std::string field;
  // Whether fragments were sent, so that the refusal must end a stream.
  bool is_stream = false;
};

struct StoreCall {
  StoreCallId call;
  StoreRequest request;
  Duration timeout{};
};

struct SendPeerFrame {
  NodeId peer;
  std::string payload;
};

// Keeps a connection to a peer open, or closes it.
struct ConnectPeer {
  NodeId peer;
  std::string address;
};
struct ClosePeer {
  NodeId peer;
};

// Closes the connection of a peer whose frame could not be read.
struct RejectPeerFrame {
  NodeId peer;
};

struct ReadLoad {
  EndpointId endpoint;
  std::string address;
  // Also read cache events after this sequence number.
  bool with_cache_events = false;
  uint64_t cache_events_since = 0;
};

// Orders an engine to have a model loaded. Dropped after `not_after`: the
// sender's lease may have ended by then.
struct SendOrder {
  EndpointId endpoint;
  std::string address;
  FencingNumber fence;
  // "model@version".
  std::string model;
  TimePoint not_after;
};

// Asks the weight store whether a model's weights may be fetched now.
struct ReadWeights {
  PoolId pool;
  std::string model;
};

struct LogEvent {
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
};

struct ExitNode {
  int code = 0;
};

using NodeCommand = std::variant<StartAttempt,
                                 CancelAttempt,
                                 CallerFragment,
                                 CallerAnswer,
                                 CallerRefusal,
                                 StoreCall,
                                 SendPeerFrame,
                                 ConnectPeer,
                                 ClosePeer,
                                 RejectPeerFrame,
                                 ReadLoad,
                                 SendOrder,
                                 ReadWeights,
                                 LogEvent,
                                 ExitNode>;

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_INTERFACE_NODE_COMMAND_H_
