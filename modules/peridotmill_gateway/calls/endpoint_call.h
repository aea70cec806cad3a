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
#include "peridotmill_gateway/calls/result_handle.h"
#include "peridotmill_gateway/registry/endpoint_notice.h"
#include "peridotmill_gateway/registry/endpoint_registration.h"

namespace peridotmill {

// Load that an endpoint reports in a response.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // How long work takes there now, in percent of the usual time, if the
  // endpoint states it.
  std::optional<int> pace_percent;
};

// One attempt of a request at an endpoint.
struct EndpointCall {
  const CallerRequest* request = nullptr;
  EndpointRegistration endpoint;
  // Time that remains until the deadline of the request.
  Duration time_left = Duration::zero();
  // The caller's team; empty if the configuration defines no teams.
  TeamId team;
  // Results of the stages, for routes with stages.
  std::optional<std::vector<ResultHandle>> inputs;
  // Id of the event after which a stream is resumed.
  std::optional<std::string> resume_after_event;
  // A kept-alive connection that was idle for longer is not reused.
  Duration max_connection_idle = std::chrono::seconds(10);
};

// Status and headers of an endpoint's response.
struct EndpointResponseHead {
  int status = 0;
  std::string reason;
  // Headers that are forwarded to the caller.
  HeaderList headers;
  std::optional<uint64_t> content_length;
  // Neither a length nor the chunked coding frames the body.
  bool ends_with_connection = false;
  // The endpoint guarantees that it has not run the request and will not run
  // it.
  bool is_stated_not_run = false;
  // The body comes unchanged from the endpoint: the response carries the
  // endpoint's seal and no content coding that an intermediary could have
  // added.
  bool is_authentic = false;
  bool is_event_stream = false;
  std::optional<ReportedLoad> load;
  EndpointNotice notice;
};

// Receives the response to a call. Never called within Start.
class EndpointCallListener {
 public:
  virtual ~EndpointCallListener() = default;
  virtual void OnResponseHead(const EndpointResponseHead& head) = 0;
  virtual void OnResponseBody(std::string_view bytes) = 0;
  virtual void OnResponseEnd(HttpCallEnd end) = 0;
};

// Handle of a call in flight; destroying the handle cancels the call.
class EndpointCallHandle {
 public:
  virtual ~EndpointCallHandle() = default;
  // Stops and resumes reading the response body; the endpoint has to wait
  // meanwhile.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

// Sends requests to endpoints.
class EndpointCaller {
 public:
  virtual ~EndpointCaller() = default;
  // Starts a call. `listener` must outlive the returned handle.
  virtual std::unique_ptr<EndpointCallHandle> Start(
      const EndpointCall& call,
      EndpointCallListener* listener) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_CALLS_ENDPOINT_CALL_H_
