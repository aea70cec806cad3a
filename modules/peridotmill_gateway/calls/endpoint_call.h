#ifndef PERIDOTMILL_GATEWAY_CALLS_ENDPOINT_CALL_H_
#define PERIDOTMILL_GATEWAY_CALLS_ENDPOINT_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_core/http/http_call.h"
#include "peridotmill_core/http/http_message.h"
#include "peridotmill_gateway/calls/caller_request.h"
#include "peridotmill_gateway/registry/endpoint_registration.h"

namespace peridotmill {

// Names a stage result at its maker.
using ResultHandle = StrongId<struct ResultHandleTag>;

// Load that an endpoint states in an answer.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

// One attempt of a request at an endpoint.
struct EndpointCall {
  const CallerRequest* request = nullptr;
  EndpointRegistration endpoint;
  // What remains of the request's time.
  Duration time_left = Duration::zero();
  // The caller's team; empty where the configuration has none.
  TeamId team;
  // Results of the stages, for routes that have any.
  std::optional<std::vector<ResultHandle>> inputs;
  std::optional<std::string> resume_after_event;
  // A kept connection that was idle for longer is not used.
  Duration max_connection_idle = std::chrono::seconds(10);
};

// Head of an endpoint's answer.
struct EndpointResponseHead {
  int status = 0;
  std::string reason;
  // Fields that are passed on to the caller.
  HeaderList headers;
  std::optional<uint64_t> content_length;
  // The endpoint states that it has not run the request and will not.
  bool is_stated_not_run = false;
  // The body is what the endpoint made: it bears its seal and no coding that
  // another party could have added.
  bool is_authentic = false;
  bool is_event_stream = false;
  std::optional<ReportedLoad> load;
};

// Receives the answer to a call. Callbacks never come within Start.
class EndpointCallListener {
 public:
  virtual ~EndpointCallListener() = default;
  virtual void OnResponseHead(const EndpointResponseHead& head) = 0;
  virtual void OnResponseBody(std::string_view bytes) = 0;
  virtual void OnResponseEnd(HttpCallEnd end) = 0;
};

// An open call; destroying it cancels it.
class EndpointCallHandle {
 public:
  virtual ~EndpointCallHandle() = default;
  // Stops and resumes taking the answer, so that the endpoint has to wait.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

// Sends requests to endpoints.
class EndpointCaller {
 public:
  virtual ~EndpointCaller() = default;
  virtual std::unique_ptr<EndpointCallHandle> Start(
      const EndpointCall& call,
      EndpointCallListener* listener) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CALLS_ENDPOINT_CALL_H_
