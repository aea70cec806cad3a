#ifndef LOAD_CHECKING_ANSWER_CHECK_H_
#define LOAD_CHECKING_ANSWER_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotmill::load {

// What an answer proves about its owner and its completeness.
struct AnswerCheck {
  // Something in the answer belongs to this request.
  bool is_own = false;
  // Something in the answer belongs to another request.
  bool is_foreign = false;
  // Tokens are missing, repeated or out of order.
  bool is_broken = false;
  // "endpoint:serial" of each service execution in the answer; equal answers
  // of one action have the same executions.
  std::string executions;
};

// Checks generated text, token by token. `expected_tokens` 0 means unknown.
void CheckText(std::string_view text,
               const std::string& marker,
               int32_t expected_tokens,
               AnswerCheck& check);

// Checks all strings of a JSON answer: markers and generated text.
AnswerCheck CheckAnswer(const std::string& body,
                        const std::string& marker,
                        int32_t expected_tokens);

}  // namespace peridotmill::load

#endif  // LOAD_CHECKING_ANSWER_CHECK_H_
