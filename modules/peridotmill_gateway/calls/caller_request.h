#ifndef PERIDOTMILL_GATEWAY_CALLS_CALLER_REQUEST_H_
#define PERIDOTMILL_GATEWAY_CALLS_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "peridotmill_core/http/http_message.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// A part of a prompt. Requests that begin with the same parts share a prefix.
struct PromptPart {
  // Identifies the content of the part.
  std::string id;
  int64_t tokens = 0;
};

// Generation that a request asks an engine for.
struct GenerationDemand {
  std::string model;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  // Parts in prompt order. The last part is specific to the request.
  std::vector<PromptPart> parts;
};

// One attempt of a caller. Holds the fields of its HTTP request that could be
// parsed.
struct CallerRequest {
  RequestId id;
  std::string host;
  // Request target without the query, as sent.
  std::string path;
  // Time that remained until the caller's deadline when it sent the request.
  std::optional<Duration> deadline;
  // API key of the team; empty if none was sent.
  std::string key;
  std::optional<GenerationDemand> generation;
  // Number of items of each stage, in the order of the route.
  std::vector<int> stage_item_counts;
  // Input key of the stages that depend on no other stage.
  std::string stage_input_key;
  // Id of the event after which the caller resumes a stream.
  std::optional<std::string> resume_after_event;
  // The attempt of the caller that brought the first event of that stream;
  // empty if the caller names none.
  RequestId resumed_request;
  // Method, target, body and the headers that are forwarded to the endpoint.
  HttpRequest message;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CALLS_CALLER_REQUEST_H_
