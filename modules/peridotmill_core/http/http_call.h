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
  // The complete response arrived, correctly framed.
  kComplete,
  // No connection was established, or the request cannot be encoded, so this
  // process sent no byte.
  kNotSent,
  // Bytes may have been sent, but no response head arrived.
  kNoResponse,
  // The connection ended or the framing was invalid after the response head.
  kTruncated,
};

// A request to an HTTP server, with the limits of the call.
struct HttpCall {
  // "a.b.c.d:port".
  std::string address;
  std::string method;
  std::string target;
  // Without Content-Length and hop-by-hop fields.
  HeaderList headers;
  MessageBody body;
  // True if the request has a body, which may be empty.
  bool has_body = false;
  // A pooled connection that has been idle for longer is not reused. The server
  // may have closed it already, and then it is unknown whether the server
  // executed the call.
  Duration max_connection_idle = std::chrono::seconds(10);
  // Opens a connection for this call and closes it after the response. For
  // calls whose responses do not identify their call, so that a late response
  // to an earlier call on the connection would be taken for the next one.
  bool has_own_connection = false;
  Duration connect_timeout = std::chrono::milliseconds(500);
  // A response with a longer body ends the call as kTruncated. 0 means no
  // limit, for bodies that are forwarded as they arrive.
  size_t max_response_bytes = 0;
};

// Receives the response to a call. The main loop runs all callbacks;
// HttpClientInterface::Start() runs none.
class HttpCallListener {
 public:
  virtual ~HttpCallListener() = default;
  // Returns true if the response belongs to this call. Otherwise the client
  // skips this response and waits for the next one on the connection.
  virtual bool OnCallHead(const HttpResponseHead& head) = 0;
  virtual void OnCallBody(std::string_view bytes) = 0;
  // Reports how the call ended. No callback follows.
  virtual void OnCallEnd(HttpCallEnd end) = 0;
};

// Handle to a call in flight. Destroying it closes the connection and so
// cancels the call.
class HttpCallHandle {
 public:
  virtual ~HttpCallHandle() = default;
  // Pausing stops reading from the connection, so that flow control holds the
  // server back. While reading is paused, a closed connection is not detected.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

// Calls HTTP servers.
class HttpClientInterface {
 public:
  virtual ~HttpClientInterface() = default;
  // Starts a call. `listener` must outlive the returned handle.
  virtual std::unique_ptr<HttpCallHandle> Start(HttpCall call,
                                                HttpCallListener* listener) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HTTP_HTTP_CALL_H_
