#include "tools/peridotmill-load/client/stream_reader.h"

#include <nlohmann/json.hpp>

namespace peridotmill::load {
namespace {

using nlohmann::json;

constexpr std::string_view kData = "data: ";

}  // namespace

void StreamReader::Read(std::string_view bytes,
                        Duration now,
                        Outcome& outcome) {
  buffer_ += bytes;
  size_t end = 0;
  while ((end = buffer_.find('\n')) != std::string::npos) {
    const std::string line = buffer_.substr(0, end);
    buffer_.erase(0, end + 1);
    if (line.starts_with(kData)) {
      ReadEvent(line.substr(kData.size()), now, outcome);
    }
  }
}

void StreamReader::ReadEvent(const std::string& data,
                             Duration now,
                             Outcome& outcome) {
  if (data == "[DONE]") {
    has_end_ = true;
    return;
  }
  if (ReadRefusal(data, outcome)) {
    return;
  }
  const json event = json::parse(data, nullptr, false);
  const json choices =
      event.is_object() ? event.value("choices", json::array()) : json();
  if (!choices.is_array() || choices.empty()) {
    return;
  }
  const json& choice = choices.front();
  if (choice.value("finish_reason", json()).is_string()) {
    has_stop_ = true;
  }
  const json content =
      choice.value("delta", json::object()).value("content", json());
  if (!content.is_string() || content.get<std::string>().empty()) {
    return;
  }
  text_ += content.get<std::string>();
  if (outcome.first_token == Duration::zero()) {
    outcome.first_token = now;
  } else {
    outcome.token_gaps.push_back(now - last_token_);
  }
  last_token_ = now;
}

void StreamReader::Finish(const std::string& marker,
                          int32_t expected_tokens,
                          Outcome& outcome) const {
  const bool is_answered = outcome.ending == Ending::kAnswered;
  if (is_answered && !has_end_) {
    outcome.ending = Ending::kBroken;
  }
  CheckText(text_, marker, is_answered ? expected_tokens : 0, outcome.check);
  outcome.check.is_broken |= !has_stop_;
}

bool ReadRefusal(const std::string& body, Outcome& outcome) {
  const json answer = json::parse(body, nullptr, false);
  if (!answer.is_object() || !answer.contains("error") ||
      !answer["error"].is_object()) {
    return false;
  }
  const json& error = answer["error"];
  outcome.ending = Ending::kRefused;
  outcome.code = error.value("code", "without_code");
  outcome.execution = error.value("execution", "unknown");
  return true;
}

}  // namespace peridotmill::load
