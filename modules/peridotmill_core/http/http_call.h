#ifndef PERIDOTMILL_CORE_HTTP_HTTP_CALL_H_
#define PERIDOTMILL_CORE_HTTP_HTTP_CALL_H_

#include <memory>
#include <string>
#include <string_view>

#include "peridotmill_core/http/http_message.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// How a call ended.
enum class HttpCallEnd : uint8_t {
  // The whole answer came in correct framing.
  kComplete,
  // No connection was established, so that no byte left this process.
  kNotSent,
  // Bytes may have left, and no answer head came.
  kNoResponse,
  // The connection ended, or the framing was wrong, within the answer.
  kTruncated,
};

// A call to an HTTP server.
struct HttpCall {
  // "a.b.c.d:port".
  std::string address;
  std::string method;
  std::string target;
  // Without Content-Length and the fields that concern one connection.
  HeaderList headers;
  std::string body;
  // Whether a body is sent, possibly an empty one.
  bool has_body = false;
  // Kept connections that were idle for longer are not used: the server may
  // have closed them, which leaves open whether it ran the call.
  Duration max_connection_idle = std::chrono::seconds(10);
  Duration connect_timeout = std::chrono::milliseconds(500);
  // An answer with a longer body ends the call as kTruncated. 0: no limit, for
  // bodies that are passed on as they come.
  size_t max_response_bytes = 0;
};

// Receives an answer. Callbacks come from the main loop, never within Start.
class HttpCallListener {
 public:
  virtual ~HttpCallListener() = default;
  // Returns whether the answer belongs to this call; one that does not is
  // skipped and the next one on the connection awaited.
  virtual bool OnCallHead(const HttpResponseHead& head) = 0;
  virtual void OnCallBody(std::string_view bytes) = 0;
  // The call's last callback.
  virtual void OnCallEnd(HttpCallEnd end) = 0;
};

// An open call. Destroying it closes its connection, which cancels the call.
class HttpCallHandle {
 public:
  virtual ~HttpCallHandle() = default;
  // Stops and resumes taking bytes from the server, which then has to wait.
  // While paused the end of the connection is not noticed.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

// Makes calls to HTTP servers.
class HttpClientInterface {
 public:
  virtual ~HttpClientInterface() = default;
  // `listener` outlives the open call.
  virtual std::unique_ptr<HttpCallHandle> Start(HttpCall call,
                                                HttpCallListener* listener) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HTTP_HTTP_CALL_H_
