#ifndef PERIDOTMILL_CORE_HTTP_RESPONSE_WRITER_H_
#define PERIDOTMILL_CORE_HTTP_RESPONSE_WRITER_H_

#include <cstddef>
#include <functional>
#include <string_view>

#include "peridotmill_core/http/http_message.h"

namespace peridotmill {

// Sends the response to one request. All functions do nothing after the caller
// has disconnected, or after Finish() or Abort().
class ResponseWriter {
 public:
  static constexpr size_t kDefaultUnsentLimit = 65536;

  virtual ~ResponseWriter() = default;
  // Sends the status line and the header fields; called once, before the body.
  virtual void SendHead(const HttpResponseHead& head) = 0;
  // Sends the next part of the body.
  virtual void SendBody(std::string_view bytes) = 0;
  // Ends the response.
  virtual void Finish() = 0;
  // Resets the connection, so that the caller sees an incomplete response.
  virtual void Abort() = 0;
  // Sets the callback that runs once if the caller closes the connection before
  // the response ends.
  virtual void set_on_caller_gone(std::function<void()> callback) = 0;
  // Returns the number of bytes still buffered because the caller reads slowly.
  virtual size_t unsent_bytes() const = 0;
  // Returns the number of unsent bytes above which reading from the endpoint
  // should stop until the buffer is empty.
  virtual size_t unsent_limit() const { return kDefaultUnsentLimit; }
  // Sets the callback that runs each time the buffer of unsent bytes becomes
  // empty.
  virtual void set_on_drained(std::function<void()> callback) = 0;
};

// Sends a complete response and sets its Content-Length.
inline void SendComplete(ResponseWriter& writer,
                         HttpResponseHead head,
                         std::string_view body) {
  head.content_length = body.size();
  writer.SendHead(head);
  if (!body.empty()) {
    writer.SendBody(body);
  }
  writer.Finish();
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HTTP_RESPONSE_WRITER_H_
