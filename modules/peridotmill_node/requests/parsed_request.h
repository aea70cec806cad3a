#ifndef PERIDOTMILL_NODE_REQUESTS_PARSED_REQUEST_H_
#define PERIDOTMILL_NODE_REQUESTS_PARSED_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "peridotmill_core/peridotmill_core.h"
#include "peridotmill_node/interface/node_event.h"

namespace peridotmill {

// Why a request was turned away before anything of it ran.
struct RequestFault {
  Reason reason = Reason::kBadRequest;
  std::string message;
  std::string field;
};

// What a request's body and headers say.
struct ParsedRequest {
  PipelineId pipeline;
  bool is_stream = false;
  // JSON array of chat messages; made from the input of a pipeline request.
  std::string messages;
  // JSON value handed to stages that are not engines.
  std::string input;
  // Upper bound of the answer's tokens, if the caller gave one.
  std::optional<int32_t> max_tokens;
  // Time the caller allows, if the caller gave it.
  std::optional<std::chrono::milliseconds> deadline;
  // Hash of the leading messages, for prefix-cache affinity.
  uint64_t prefix_hash = 0;
  // Estimated length of the prompt: a token for four bytes.
  TokenCount prompt_tokens;
};

// Checks and reads a caller's request. Never throws.
tl::expected<ParsedRequest, RequestFault> ParseRequest(
    const CallerRequest& request);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_PARSED_REQUEST_H_
