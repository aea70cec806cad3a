#ifndef PERIDOTMILL_CORE_HTTP_RESPONSE_WRITER_H_
#define PERIDOTMILL_CORE_HTTP_RESPONSE_WRITER_H_

#include <cstddef>
#include <functional>
#include <string_view>

#include "peridotmill_core/http/http_message.h"

namespace peridotmill {

// The way back to the caller of one request. Calls after the caller has gone,
// or after Finish or Abort, do nothing.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual void SendHead(const HttpResponseHead& head) = 0;
  virtual void SendBody(std::string_view bytes) = 0;
  virtual void Finish() = 0;
  // Resets the connection: the caller sees an incomplete answer.
  virtual void Abort() = 0;
  // Called once if the caller closes its connection before the answer ends.
  virtual void set_on_caller_gone(std::function<void()> callback) = 0;
  // Bytes that wait because the caller reads slowly.
  virtual size_t unsent_bytes() const = 0;
  // Called each time that no byte waits any more.
  virtual void set_on_drained(std::function<void()> callback) = 0;
};

// Sends a whole answer.
inline void SendComplete(ResponseWriter& channel,
                         HttpResponseHead head,
                         std::string_view body) {
  head.content_length = body.size();
  channel.SendHead(head);
  if (!body.empty()) {
    channel.SendBody(body);
  }
  channel.Finish();
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HTTP_RESPONSE_WRITER_H_
