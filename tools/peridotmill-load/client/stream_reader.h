#ifndef LOAD_CLIENT_STREAM_READER_H_
#define LOAD_CLIENT_STREAM_READER_H_

#include <string>
#include <string_view>

#include "tools/peridotmill-load/report/outcome.h"

namespace peridotmill::load {

// Reads server-sent events of a chat as bytes arrive.
class StreamReader {
 public:
  // `now` is the time since the request was sent.
  void Read(std::string_view bytes, Duration now, Outcome& outcome);

  // Checks the whole text once the connection has ended.
  void Finish(const std::string& marker,
              int32_t expected_tokens,
              Outcome& outcome) const;

 private:
  void ReadEvent(const std::string& data, Duration now, Outcome& outcome);

  std::string buffer_;
  std::string text_;
  Duration last_token_{};
  bool has_stop_ = false;
  bool has_end_ = false;
};

// Reads {"error":{"code","execution"}} into a refusal. False when `body` is
// not of this form.
bool ReadRefusal(const std::string& body, Outcome& outcome);

}  // namespace peridotmill::load

#endif  // LOAD_CLIENT_STREAM_READER_H_
