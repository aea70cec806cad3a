#include "peridotmill_net/endpoints/attempt_stream.h"

#include <nlohmann/json.hpp>

namespace peridotmill {
namespace {

using nlohmann::json;

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kDone = "[DONE]";

std::string TextMember(const json& object, const char* name) {
  const auto member = object.find(name);
  return member != object.end() && member->is_string()
             ? member->get<std::string>()
             : std::string();
}

int64_t NumberMember(const json& object, const char* name) {
  const auto member = object.find(name);
  return member != object.end() && member->is_number_integer()
             ? member->get<int64_t>()
             : 0;
}

}  // namespace

void AttemptStream::Read(std::string_view bytes,
                         std::vector<AttemptFragment>& fragments) {
  pending_ += bytes;
  size_t start = 0;
  while (!is_malformed_) {
    const size_t end = pending_.find('\n', start);
    if (end == std::string::npos) {
      break;
    }
    std::string_view line(pending_.data() + start, end - start);
    start = end + 1;
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.starts_with(kDataField)) {
      line.remove_prefix(kDataField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      ReadEvent(line, fragments);
    }
  }
  pending_.erase(0, start);
  is_malformed_ |= pending_.size() > kMaxEventBytes;
}

void AttemptStream::ReadEvent(std::string_view data,
                              std::vector<AttemptFragment>& fragments) {
  if (data == kDone) {
    is_done_ = true;
    return;
  }
  const json event = json::parse(data, nullptr, false);
  const auto choices = event.is_object() ? event.find("choices") : event.end();
  if (!event.is_object() || choices == event.end() || !choices->is_array() ||
      choices->empty() || !choices->front().is_object()) {
    is_malformed_ = true;
    return;
  }
  echoed_attempt_ = TextMember(event, "attempt_id");
  const json& choice = choices->front();
  const auto finish = choice.find("finish_reason");
  has_finish_ |= finish != choice.end() && !finish->is_null();
  if (const auto usage = event.find("usage");
      usage != event.end() && usage->is_object()) {
    prompt_tokens_ = TokenCount(NumberMember(*usage, "prompt_tokens"));
    output_tokens_ = TokenCount(NumberMember(*usage, "completion_tokens"));
  }
  const auto delta = choice.find("delta");
  if (delta == choice.end() || !delta->is_object()) {
    return;
  }
  const std::string text = TextMember(*delta, "content");
  if (text.empty()) {
    return;
  }
  const auto sequence = event.find("seq");
  if (sequence == event.end() || !sequence->is_number_unsigned()) {
    is_malformed_ = true;
    return;
  }
  fragments.push_back(
      {attempt_, echoed_attempt_, sequence->get<uint64_t>(), text});
}

CallAnswer ReadCallAnswer(int http_status, const std::string& body) {
  CallAnswer answer;
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return answer;
  }
  answer.echoed_attempt = TextMember(parsed, "attempt_id");
  constexpr int kOk = 200;
  if (http_status == kOk) {
    answer.outcome = parsed.contains("result") || parsed.contains("choices")
                         ? AttemptOutcome::kCompleted
                         : AttemptOutcome::kOutcomeUnknown;
    return answer;
  }
  const auto error = parsed.find("error");
  const std::string execution = error != parsed.end() && error->is_object()
                                    ? TextMember(*error, "execution")
                                    : std::string();
  if (execution == ToString(Execution::kNotRun)) {
    answer.outcome = AttemptOutcome::kRefused;
  } else if (execution == ToString(Execution::kRan)) {
    answer.outcome = AttemptOutcome::kFailed;
  }
  return answer;
}

}  // namespace peridotmill
