#ifndef PERIDOTMILL_NODE_INTERFACE_NODE_EVENT_H_
#define PERIDOTMILL_NODE_INTERFACE_NODE_EVENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "peridotmill_core/peridotmill_core.h"

namespace peridotmill {

// Number of a store call within this process; its answer carries it back.
using StoreCallId = Quantity<struct StoreCallIdTag>;

enum class CallerForm : uint8_t {
  // OpenAI-style chat: the body names the pipeline as its model.
  kChat,
  // One pipeline by path with a JSON input.
  kPipeline,
};

// A caller's request as it arrived; nothing in it has been checked.
struct CallerRequest {
  RequestId id;
  CallerForm form = CallerForm::kPipeline;
  PipelineId pipeline;
  std::string token;
  std::string body;
  // Text of the X-Deadline-Ms header, empty when absent.
  std::string deadline;
  IdempotencyKey key;
};

// A caller asks for the outcome of an action.
struct ActionQuery {
  RequestId id;
  std::string token;
  IdempotencyKey key;
};

struct CallerGone {
  RequestId id;
};

// A piece of a streamed answer.
struct AttemptFragment {
  AttemptId attempt;
  // Identity that the endpoint echoed.
  std::string echoed_attempt;
  // Position in the stream, counted from 0 over all tokens of the answer.
  uint64_t sequence = 0;
  std::string text;
};

struct AttemptFinished {
  AttemptId attempt;
  std::string echoed_attempt;
  AttemptOutcome outcome = AttemptOutcome::kOutcomeUnknown;
  // JSON result of a call that is not streamed.
  std::string body;
  TokenCount prompt_tokens;
  TokenCount output_tokens;
};

struct StoreAnswered {
  StoreCallId call;
  StoreAnswer answer;
};

struct HostListRead {
  HostList list;
};

struct LoadRead {
  EndpointId endpoint;
  // Empty when the endpoint could not be read.
  std::optional<EndpointLoad> load;
};

struct CacheEventsRead {
  EndpointId endpoint;
  std::vector<CacheEvent> events;
};

// A message from an authenticated peer, still encoded.
struct PeerFrame {
  NodeId peer;
  std::string payload;
};

struct PeerConnected {
  NodeId peer;
};
struct PeerDisconnected {
  NodeId peer;
};

struct OrderFinished {
  EndpointId endpoint;
  bool is_accepted = false;
};

// The weight store's answer to ReadWeights.
struct WeightsRead {
  PoolId pool;
  bool is_permitted = false;
  Duration retry_after{};
};

// Time has passed; sent when NextWakeup() is reached.
struct Tick {};

struct ShutdownRequested {};

using NodeEvent = std::variant<CallerRequest,
                               ActionQuery,
                               CallerGone,
                               AttemptFragment,
                               AttemptFinished,
                               StoreAnswered,
                               HostListRead,
                               LoadRead,
                               CacheEventsRead,
                               PeerFrame,
                               PeerConnected,
                               PeerDisconnected,
                               OrderFinished,
                               WeightsRead,
                               Tick,
                               ShutdownRequested>;

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_INTERFACE_NODE_EVENT_H_
