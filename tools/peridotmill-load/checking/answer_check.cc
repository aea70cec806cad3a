#include "tools/peridotmill-load/checking/answer_check.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "standins/peridotmill-standin/logic/prompt.h"

namespace peridotmill::load {
namespace {

using nlohmann::json;

// Index of a word as OutputToken() makes it.
std::optional<int64_t> IndexOf(const std::string& word) {
  constexpr size_t kHashDigits = 6;
  const size_t point = word.find('.');
  if (point == std::string::npos || point == 0 ||
      word.size() != point + 1 + kHashDigits) {
    return std::nullopt;
  }
  int64_t index = 0;
  const auto parsed = std::from_chars(word.data(), word.data() + point, index);
  if (parsed.ec != std::errc() || parsed.ptr != word.data() + point) {
    return std::nullopt;
  }
  return index;
}

bool IsGeneratedText(const std::string& text) {
  return IndexOf(text.substr(0, text.find(' '))).has_value();
}

void CheckString(const std::string& text,
                 const std::string& marker,
                 int32_t expected_tokens,
                 AnswerCheck& check) {
  for (const std::string& found : standin::MarkersIn(text)) {
    (found == marker ? check.is_own : check.is_foreign) = true;
  }
  if (IsGeneratedText(text)) {
    CheckText(text, marker, expected_tokens, check);
  }
}

void Walk(const json& value,
          const std::string& marker,
          int32_t expected_tokens,
          AnswerCheck& check) {
  if (value.is_string()) {
    CheckString(value.get<std::string>(), marker, expected_tokens, check);
    return;
  }
  if (!value.is_structured()) {
    return;
  }
  if (value.is_object() && value.contains("serial") &&
      value.contains("endpoint")) {
    check.executions +=
        value["endpoint"].dump() + ":" + value["serial"].dump() + " ";
  }
  for (const json& member : value) {
    Walk(member, marker, expected_tokens, check);
  }
}

}  // namespace

void CheckText(std::string_view text,
               const std::string& marker,
               int32_t expected_tokens,
               AnswerCheck& check) {
  const uint64_t seed = standin::OutputSeed("[m=" + marker + "]");
  std::istringstream words{std::string(text)};
  std::string word;
  int64_t next = 0;
  while (words >> word) {
    const auto index = IndexOf(word);
    if (!index) {
      check.is_broken = true;
      continue;
    }
    if (standin::OutputToken(seed, *index) != word + " ") {
      check.is_foreign = true;
    } else {
      check.is_own = true;
    }
    check.is_broken |= *index != next;
    next = *index + 1;
  }
  check.is_broken |= expected_tokens > 0 && next != expected_tokens;
}

AnswerCheck CheckAnswer(const std::string& body,
                        const std::string& marker,
                        int32_t expected_tokens) {
  AnswerCheck check;
  const json answer = json::parse(body, nullptr, false);
  if (answer.is_discarded()) {
    check.is_broken = true;
    return check;
  }
  Walk(answer, marker, expected_tokens, check);
  return check;
}

}  // namespace peridotmill::load
