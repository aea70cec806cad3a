#ifndef PERIDOTMILL_NET_ENDPOINTS_ATTEMPT_STREAM_H_
#define PERIDOTMILL_NET_ENDPOINTS_ATTEMPT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_node/interface/node_event.h"

namespace peridotmill {

// Reads an engine's server-sent events as they arrive in pieces.
class AttemptStream {
 public:
  // Longest event accepted, in bytes.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  explicit AttemptStream(AttemptId attempt) : attempt_(std::move(attempt)) {}

  // Takes the next bytes and appends the fragments they complete.
  void Read(std::string_view bytes, std::vector<AttemptFragment>& fragments);

  // Whether the engine has said that the answer is complete.
  bool is_complete() const { return is_done_ && has_finish_; }
  // Whether an event could not be read; nothing after it is trusted.
  bool is_malformed() const { return is_malformed_; }

  // What the events say of the whole attempt.
  const std::string& echoed_attempt() const { return echoed_attempt_; }
  TokenCount prompt_tokens() const { return prompt_tokens_; }
  TokenCount output_tokens() const { return output_tokens_; }

 private:
  void ReadEvent(std::string_view data,
                 std::vector<AttemptFragment>& fragments);

  AttemptId attempt_;
  std::string pending_;
  std::string echoed_attempt_;
  TokenCount prompt_tokens_;
  TokenCount output_tokens_;
  bool is_done_ = false;
  bool has_finish_ = false;
  bool is_malformed_ = false;
};

// What an answer that is not a stream says of the attempt.
struct CallAnswer {
  AttemptOutcome outcome = AttemptOutcome::kOutcomeUnknown;
  std::string echoed_attempt;
};

// Reads the status and body of an endpoint's answer. An answer that does not
// say whether the call ran is of unknown outcome.
CallAnswer ReadCallAnswer(int http_status, const std::string& body);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_ENDPOINTS_ATTEMPT_STREAM_H_
