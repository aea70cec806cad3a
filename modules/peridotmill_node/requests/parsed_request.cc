#include "peridotmill_node/requests/parsed_request.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "peridotmill_node/requests/prompt_prefix.h"

namespace peridotmill {
namespace {

using nlohmann::json;

constexpr int64_t kMaxDeadlineMs = 3'600'000;
constexpr int kBytesPerToken = 4;
constexpr size_t kMaxKeyBytes = 255;
// Deeper nesting than any real input; bounds the recursion of the JSON writer.
constexpr int kMaxDepth = 64;

tl::unexpected<RequestFault> Fault(Reason reason,
                                   std::string message,
                                   std::string field = "") {
  return tl::unexpected(
      RequestFault{reason, std::move(message), std::move(field)});
}

// Returns a discarded value on malformed or too deeply nested text.
json ParseBounded(const std::string& text) {
  bool is_too_deep = false;
  json parsed = json::parse(
      text,
      [&is_too_deep](int depth, json::parse_event_t, json&) {
        is_too_deep |= depth > kMaxDepth;
        return !is_too_deep;
      },
      /*allow_exceptions=*/false);
  return is_too_deep ? json(json::value_t::discarded) : parsed;
}

// The text on which engines hash prefixes: "role: content" lines.
std::string PromptOf(const json& messages) {
  std::string prompt;
  for (const json& message : messages) {
    const json& content = message["content"];
    prompt +=
        message["role"].get<std::string>() + ": " +
        (content.is_string() ? content.get<std::string>() : content.dump()) +
        "\n";
  }
  return prompt;
}

std::optional<RequestFault> CheckMessages(const json& messages) {
  const auto fault = [](const char* message) {
    return RequestFault{Reason::kBadRequest, message, "messages"};
  };
  if (!messages.is_array() || messages.empty()) {
    return fault("must be a list with at least one message");
  }
  for (const json& message : messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string() || !message.contains("content")) {
      return fault("each message needs `role` and `content`");
    }
  }
  return std::nullopt;
}

std::optional<RequestFault> ReadCommonFields(const json& body,
                                             ParsedRequest& parsed) {
  if (const auto stream = body.find("stream"); stream != body.end()) {
    if (!stream->is_boolean()) {
      return RequestFault{Reason::kBadRequest, "must be true or false",
                          "stream"};
    }
    parsed.is_stream = stream->get<bool>();
  }
  for (const char* field : {"max_completion_tokens", "max_tokens"}) {
    const auto limit = body.find(field);
    if (limit == body.end() || limit->is_null()) {
      continue;
    }
    if (!limit->is_number_integer() || limit->get<int64_t>() < 1 ||
        limit->get<int64_t>() > INT32_MAX) {
      return RequestFault{Reason::kBadRequest, "must be a positive number",
                          field};
    }
    parsed.max_tokens = static_cast<int32_t>(limit->get<int64_t>());
    break;
  }
  return std::nullopt;
}

std::optional<RequestFault> ReadChat(const json& body, ParsedRequest& parsed) {
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return RequestFault{Reason::kBadRequest, "must name a pipeline", "model"};
  }
  const auto messages = body.find("messages");
  if (messages == body.end()) {
    return RequestFault{Reason::kBadRequest, "missing", "messages"};
  }
  if (auto fault = CheckMessages(*messages)) {
    return fault;
  }
  parsed.pipeline = PipelineId(model->get<std::string>());
  parsed.messages = messages->dump();
  parsed.input = json{{"messages", *messages}}.dump();
  parsed.prefix_hash = PromptPrefixKey(PromptOf(*messages));
  return std::nullopt;
}

std::optional<RequestFault> ReadPipelineInput(const CallerRequest& request,
                                              const json& body,
                                              ParsedRequest& parsed) {
  const auto input = body.find("input");
  if (input == body.end()) {
    return RequestFault{Reason::kBadRequest, "missing", "input"};
  }
  parsed.pipeline = request.pipeline;
  parsed.input = input->dump();
  const std::string text =
      input->is_string() ? input->get<std::string>() : parsed.input;
  parsed.messages = json::array({{{"role", "user"}, {"content", text}}}).dump();
  parsed.prefix_hash = Hash64(parsed.messages);
  return std::nullopt;
}

std::optional<RequestFault> ReadDeadline(const std::string& text,
                                         ParsedRequest& parsed) {
  if (text.empty()) {
    return std::nullopt;
  }
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || value < 0 ||
      value > kMaxDeadlineMs) {
    return RequestFault{Reason::kBadDeadline,
                        "must be from 1 to 3600000 milliseconds",
                        "X-Deadline-Ms"};
  }
  if (value == 0) {
    return RequestFault{Reason::kDeadlineExpired,
                        "the deadline has already passed", "X-Deadline-Ms"};
  }
  parsed.deadline = std::chrono::milliseconds(value);
  return std::nullopt;
}

}  // namespace

tl::expected<ParsedRequest, RequestFault> ParseRequest(
    const CallerRequest& request) {
  const json body = ParseBounded(request.body);
  if (!body.is_object()) {
    return Fault(Reason::kBadRequest, "the body is not a JSON object");
  }
  if (request.key.value().size() > kMaxKeyBytes) {
    return Fault(Reason::kBadRequest, "must be at most 255 bytes",
                 "Idempotency-Key");
  }
  ParsedRequest parsed;
  std::optional<RequestFault> fault = ReadCommonFields(body, parsed);
  if (!fault) {
    fault = request.form == CallerForm::kChat
                ? ReadChat(body, parsed)
                : ReadPipelineInput(request, body, parsed);
  }
  if (!fault) {
    fault = ReadDeadline(request.deadline, parsed);
  }
  if (fault) {
    return tl::unexpected(*std::move(fault));
  }
  parsed.prompt_tokens = TokenCount(
      static_cast<int64_t>(parsed.messages.size()) / kBytesPerToken + 1);
  return parsed;
}

}  // namespace peridotmill
