#include "peridotmill_node/requests/bodies.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotmill {
namespace {

using nlohmann::json;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json ParseOrNull(const std::string& text) {
  json parsed = json::parse(text, nullptr, false);
  return parsed.is_discarded() ? json() : parsed;
}

json ResultsBefore(const RequestState& request, const StageId& stage) {
  json results = json::object();
  for (const PipelineStage& member : PipelineOf(request).stages) {
    if (member.stage != stage) {
      continue;
    }
    for (const StageId& before : member.after) {
      results[before.value()] = ParseOrNull(request.stages.at(before).result);
    }
  }
  return results;
}

std::string EngineBody(const RequestState& request,
                       const Stage& stage,
                       const AttemptId& attempt,
                       std::chrono::milliseconds remaining) {
  json messages = ParseOrNull(request.parsed.messages);
  const json results = ResultsBefore(request, stage.name);
  if (!results.empty()) {
    messages.push_back(
        {{"role", "system"}, {"content", "Context: " + Dump(results)}});
  }
  const StageProgress& progress = request.stages.at(stage.name);
  const ModelVersion& version =
      request.objects->model_versions.at(stage.model_version);
  const int32_t limit =
      std::min(request.parsed.max_tokens.value_or(stage.max_output_tokens),
               stage.max_output_tokens);
  json body = {{"model", version.model + "@" + version.version},
               {"messages", std::move(messages)},
               {"max_tokens", limit},
               {"stream", true},
               {"attempt_id", attempt.value()},
               {"priority", request.priority_level},
               {"deadline_ms", remaining.count()}};
  if (progress.tokens > 0) {
    body["resume_from"] = progress.tokens;
    body["resume_text"] = progress.text;
  }
  return Dump(body);
}

json Usage(const RequestState& request) {
  json cost = json::object();
  int64_t total = 0;
  uint64_t tokens = 0;
  for (const auto& [name, progress] : request.stages) {
    cost[name.value()] = progress.spend.value();
    total += progress.spend.value();
    tokens += progress.tokens;
  }
  const int64_t prompt = request.parsed.prompt_tokens.value();
  return {{"prompt_tokens", prompt},
          {"completion_tokens", tokens},
          {"total_tokens", prompt + static_cast<int64_t>(tokens)},
          {"cost_micro_units", total},
          {"cost_by_stage", std::move(cost)}};
}

json ChatEnvelope(const RequestState& request,
                  const char* object,
                  int64_t created) {
  return {{"id", request.id.value()},
          {"object", object},
          {"created", created},
          {"model", request.pipeline.value()}};
}

// Text of a chat answer: the streamed stage's, or the terminal results.
std::string ChatText(const RequestState& request) {
  const StageId streamed = StreamedStage(request);
  if (!streamed.empty()) {
    return request.stages.at(streamed).text;
  }
  json results = json::object();
  for (const StageId& stage : TerminalStages(PipelineOf(request))) {
    results[stage.value()] = ParseOrNull(request.stages.at(stage).result);
  }
  return Dump(results);
}

}  // namespace

std::string AttemptBody(const RequestState& request,
                        const Stage& stage,
                        const AttemptId& attempt,
                        std::chrono::milliseconds remaining) {
  if (stage.role == StageRole::kGenerate) {
    return EngineBody(request, stage, attempt, remaining);
  }
  return Dump({{"attempt_id", attempt.value()},
               {"stage", stage.name.value()},
               {"deadline_ms", remaining.count()},
               {"input", ParseOrNull(request.parsed.input)},
               {"results", ResultsBefore(request, stage.name)}});
}

std::string StreamResult(const std::string& text, uint64_t tokens) {
  return Dump({{"text", text}, {"tokens", tokens}});
}

std::string ServiceResult(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("result")) {
    return "";
  }
  return Dump(parsed["result"]);
}

std::string StreamChunk(const RequestState& request,
                        const std::string& text,
                        int64_t created) {
  json chunk = ChatEnvelope(request, "chat.completion.chunk", created);
  json delta = {{"content", text}};
  if (!request.has_stream_begun) {
    delta["role"] = "assistant";
  }
  chunk["choices"] = json::array({{{"index", 0},
                                   {"delta", std::move(delta)},
                                   {"finish_reason", nullptr}}});
  return Dump(chunk);
}

std::string StreamEnd(const RequestState& request, int64_t created) {
  json chunk = ChatEnvelope(request, "chat.completion.chunk", created);
  json delta = json::object();
  if (!request.has_stream_begun) {
    delta = {{"role", "assistant"}, {"content", ChatText(request)}};
  }
  chunk["choices"] = json::array(
      {{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", "stop"}}});
  chunk["usage"] = Usage(request);
  return Dump(chunk);
}

std::string WholeAnswer(const RequestState& request, int64_t created) {
  if (request.form == CallerForm::kChat) {
    json answer = ChatEnvelope(request, "chat.completion", created);
    answer["choices"] = json::array(
        {{{"index", 0},
          {"message", {{"role", "assistant"}, {"content", ChatText(request)}}},
          {"finish_reason", "stop"}}});
    answer["usage"] = Usage(request);
    return Dump(answer);
  }
  json results = json::object();
  for (const StageId& stage : TerminalStages(PipelineOf(request))) {
    results[stage.value()] = ParseOrNull(request.stages.at(stage).result);
  }
  return Dump({{"request", request.id.value()},
               {"pipeline", request.pipeline.value()},
               {"results", std::move(results)},
               {"usage", Usage(request)}});
}

}  // namespace peridotmill
