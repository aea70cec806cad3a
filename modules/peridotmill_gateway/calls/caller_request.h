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

// A part of a prompt; requests that begin with the same parts share them.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;
};

// What a request asks of an engine.
struct GenerationDemand {
  std::string model;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  // In order; the last one is the request's own.
  std::vector<PromptPart> parts;
};

// One attempt of a caller, as far as its fields could be read.
struct CallerRequest {
  RequestId id;
  std::string host;
  // Target without its query, as sent.
  std::string path;
  // What remained for the caller when it sent the request.
  std::optional<Duration> deadline;
  // The team's key; empty when none was sent.
  std::string key;
  std::optional<GenerationDemand> generation;
  // Number of items of each stage of the route.
  std::vector<int> stage_item_counts;
  // Input of the stages that depend on no other.
  std::string stage_input_key;
  // The caller resumes a stream after this event.
  std::optional<std::string> resume_after_event;
  // Method, target, body and the headers that are passed on.
  HttpRequest message;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CALLS_CALLER_REQUEST_H_
