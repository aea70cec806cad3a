#include "standins/peridotmill-standin/servers/engine_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "peridotmill_net/logging/event_log.h"
#include "standins/peridotmill-standin/logic/prompt.h"

namespace peridotmill::standin {
namespace {

using nlohmann::json;

// "role: content" lines of all messages; the text that prefixes are hashed on.
std::string PromptOf(const json& request) {
  std::string prompt;
  for (const json& message : request.value("messages", json::array())) {
    const json content = message.value("content", json());
    prompt += message.value("role", "user") + ": ";
    prompt += content.is_string() ? content.get<std::string>() : content.dump();
    prompt += "\n";
  }
  return prompt;
}

json Chunk(const std::string& attempt, const std::string& model, int32_t seq) {
  return {{"id", "chatcmpl-" + attempt},
          {"object", "chat.completion.chunk"},
          {"model", model},
          {"attempt_id", attempt},
          {"seq", seq}};
}

json Usage(int32_t prompt_tokens, int32_t completion_tokens) {
  return {{"prompt_tokens", prompt_tokens},
          {"completion_tokens", completion_tokens},
          {"total_tokens", prompt_tokens + completion_tokens}};
}

}  // namespace

EngineServer::EngineServer(const StandIn& settings, uint64_t seed)
    : StandInServer(settings, seed),
      engine_(MakeScheduler(settings.engine)),
      loaded_models_(settings.loaded_models.begin(),
                     settings.loaded_models.end()),
      seed_(seed),
      report_(settings.lag, [this] { return LoadJson(); }),
      loader_(settings.weights,
              settings.model_load,
              [this](const std::string& model) {
                loaded_models_.insert(model);
                report_.Record(LoopNow());
              }),
      timer_([this] { Run(); }) {}

void EngineServer::Serve(const ExchangePtr& exchange) {
  const std::string path = exchange->path();
  try {
    if (path == "/v1/chat/completions") {
      AcceptChat(exchange);
    } else if (path == "/v1/cancel") {
      CancelChat(exchange);
    } else if (path == "/v1/load") {
      exchange->Answer(200, report_.Shown(LoopNow(), IsFaulty(FaultKind::kStale,
                                                              *exchange)));
    } else if (path == "/v1/cache-events") {
      AnswerCacheEvents(exchange);
    } else if (path == "/v1/orders") {
      AcceptOrder(exchange);
    } else {
      exchange->Answer(404, ErrorBody("not_found", "not_run"));
    }
  } catch (const json::exception&) {
    exchange->Answer(400, ErrorBody("bad_request", "not_run"));
  }
}

void EngineServer::OnFaultsChanged() {
  // Faults on single callers do not change the engine's speed.
  engine_.slow_factor = active_slow_factor();
  report_.Record(LoopNow());
}

bool EngineServer::HasModel(const std::string& model) const {
  return std::any_of(loaded_models_.begin(), loaded_models_.end(),
                     [&](const std::string& loaded) {
                       return loaded == model ||
                              loaded.substr(0, loaded.find('@')) == model;
                     });
}

void EngineServer::AcceptChat(const ExchangePtr& exchange) {
  const json request = json::parse(exchange->body());
  const std::string prompt = PromptOf(request);
  Chat chat;
  chat.exchange = exchange;
  chat.model = request.value("model", "");
  chat.attempt = request.value("attempt_id", exchange->Header("X-Attempt-Id"));
  chat.is_stream = request.value("stream", false);
  chat.markers = MarkersIn(prompt);
  chat.prompt_tokens = TokenCountOf(prompt);
  if (settings().checks_model && !HasModel(chat.model)) {
    exchange->Answer(503, ErrorBody("model_not_loaded", "not_run"));
    return;
  }
  EngineRequest work;
  work.number = next_number_++;
  work.output_seed = OutputSeed(prompt);
  work.prefix_hashes = PrefixHashes(prompt);
  work.prompt_tokens = chat.prompt_tokens;
  work.resume_from = std::max(0, request.value("resume_from", 0));
  work.priority = request.value("priority", 1);
  const int32_t max_tokens =
      request.value("max_tokens", settings().engine.output_max);
  work.length = std::min(TokensIn(prompt).value_or(OutputLength(
                             work.output_seed, settings().engine.output_median,
                             settings().engine.output_max)),
                         max_tokens);
  const uint64_t number = work.number;
  if (!Submit(engine_, std::move(work))) {
    exchange->Answer(503, ErrorBody("overloaded", "not_run"));
    return;
  }
  DrawStreamFaults(chat);
  by_attempt_[chat.attempt] = number;
  chats_.emplace(number, std::move(chat));
  exchange->set_on_gone([this, number] {
    Count("connection_lost");
    End(number);
  });
  Run();
}

void EngineServer::DrawStreamFaults(Chat& chat) {
  if (!chat.is_stream) {
    return;
  }
  constexpr uint64_t kMaxCut = 8;
  if (IsFaulty(FaultKind::kCutStream, *chat.exchange) ||
      IsFaulty(FaultKind::kDropAnswer, *chat.exchange)) {
    chat.cut_after = static_cast<int32_t>(random().Below(kMaxCut));
  }
  chat.repeats = IsFaulty(FaultKind::kRepeatAnswer, *chat.exchange);
  chat.has_wrong_identity = IsFaulty(FaultKind::kWrongIdentity, *chat.exchange);
  chat.is_malformed = IsFaulty(FaultKind::kMalformed, *chat.exchange);
  chat.is_oversized = IsFaulty(FaultKind::kOversized, *chat.exchange);
}

void EngineServer::Run() {
  const TimePoint now = LoopNow();
  for (const EngineOutput& output : Advance(engine_, now)) {
    Deliver(output);
  }
  report_.Record(now);
  timer_.Set(engine_.step_end);
}

void EngineServer::Deliver(const EngineOutput& output) {
  const auto found = chats_.find(output.number);
  if (found == chats_.end()) {
    return;
  }
  Chat& chat = found->second;
  switch (output.kind) {
    case EngineOutput::Kind::kStarted:
      RecordRun(mutable_runs(), settings().pool, "", chat.markers);
      if (chat.is_stream) {
        chat.exchange->SetHeader("X-Attempt-Id", chat.attempt);
        if (IsFaulty(FaultKind::kError, *chat.exchange)) {
          chat.exchange->Answer(500, ErrorBody("internal", "ran"));
          chat.is_stream = false;
          return;
        }
        chat.exchange->BeginStream("text/event-stream");
      }
      break;
    case EngineOutput::Kind::kToken:
      Count("tokens");
      if (chat.is_stream) {
        WriteToken(chat, output);
      } else {
        chat.text += output.text;
      }
      ++chat.produced;
      break;
    case EngineOutput::Kind::kFinished:
      Finish(chat, output.index);
      End(output.number);
      break;
  }
}

void EngineServer::WriteToken(Chat& chat, const EngineOutput& output) {
  if (chat.cut_after == chat.produced) {
    chat.exchange->Cut();
    return;
  }
  json chunk =
      Chunk(chat.has_wrong_identity ? chat.attempt + "-other" : chat.attempt,
            chat.model, output.index);
  chunk["choices"] = json::array({{{"index", 0},
                                   {"delta", {{"content", output.text}}},
                                   {"finish_reason", nullptr}}});
  std::string data = chunk.dump();
  if (chat.is_malformed) {
    data.resize(data.size() / 2);
  }
  const std::string event = "data: " + data + "\n\n";
  chat.exchange->Write(chat.repeats ? event + event : event);
  if (std::exchange(chat.is_oversized, false)) {
    constexpr size_t kBytes = 4 << 20;
    chat.exchange->Write("data: {\"padding\":\"" + std::string(kBytes, 'x') +
                         "\"}\n\n");
  }
}

void EngineServer::Finish(Chat& chat, int32_t length) {
  if (chat.is_stream) {
    json chunk =
        Chunk(chat.has_wrong_identity ? chat.attempt + "-other" : chat.attempt,
              chat.model, length);
    chunk["choices"] = json::array(
        {{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}});
    chunk["usage"] = Usage(chat.prompt_tokens, chat.produced);
    chat.exchange->Write("data: " + chunk.dump() + "\n\ndata: [DONE]\n\n");
    chat.exchange->EndStream();
    return;
  }
  json answer = {{"id", "chatcmpl-" + chat.attempt},
                 {"object", "chat.completion"},
                 {"model", chat.model},
                 {"attempt_id", chat.attempt}};
  answer["choices"] = json::array(
      {{{"index", 0},
        {"message", {{"role", "assistant"}, {"content", chat.text}}},
        {"finish_reason", "stop"}}});
  answer["usage"] = Usage(chat.prompt_tokens, chat.produced);
  AnswerCall(chat.exchange, chat.attempt, answer.dump());
}

void EngineServer::End(uint64_t number) {
  Cancel(engine_, number);
  const auto chat = chats_.extract(number);
  if (chat.empty()) {
    return;
  }
  if (const auto open = by_attempt_.find(chat.mapped().attempt);
      open != by_attempt_.end() && open->second == number) {
    by_attempt_.erase(open);
  }
}

void EngineServer::CancelChat(const ExchangePtr& exchange) {
  const auto attempt =
      json::parse(exchange->body()).at("attempt_id").get<std::string>();
  const auto open = by_attempt_.find(attempt);
  const bool is_open = open != by_attempt_.end();
  if (is_open) {
    const uint64_t number = open->second;
    const ExchangePtr cancelled = chats_.at(number).exchange;
    End(number);
    cancelled->Cut();
    Run();
  }
  exchange->Answer(200, json{{"cancelled", is_open}}.dump());
}

void EngineServer::AcceptOrder(const ExchangePtr& exchange) {
  const json order = json::parse(exchange->body());
  const auto fence = order.value("fence", int64_t{0});
  if (settings().checks_fencing && fence < fence_) {
    exchange->Answer(
        409,
        json{{"error", {{"code", "stale_fence"}, {"execution", "not_run"}}},
             {"fence", fence_}}
            .dump());
    return;
  }
  fence_ = std::max(fence_, fence);
  const auto kind = order.at("order").get<std::string>();
  const std::string model = order.value("model", "");
  if (kind == "load") {
    loader_.Load(model);
  } else if (kind == "unload") {
    loader_.Cancel(model);
    loaded_models_.erase(model);
  } else if (kind == "role") {
    role_ = order.at("role").get<std::string>();
  } else {
    exchange->Answer(400, ErrorBody("unknown_order", "not_run"));
    return;
  }
  report_.Record(LoopNow());
  LogInfo("order", {{"stand_in", settings().id},
                    {"order", kind},
                    {"model", model},
                    {"fence", std::to_string(fence)}});
  exchange->Answer(200, json{{"accepted", true}, {"fence", fence_}}.dump());
}

void EngineServer::AnswerCacheEvents(const ExchangePtr& exchange) {
  const std::string query = exchange->query();
  const size_t at = query.find("since=");
  const uint64_t since =
      at == std::string::npos
          ? 0
          : std::strtoull(query.c_str() + at + sizeof("since=") - 1, nullptr,
                          10);
  json events = json::array();
  for (const CacheEvent& event :
       EventsSince(engine_.cache, since, settings().lag,
                   settings().cache_event_loss, seed_, LoopNow())) {
    events.push_back({{"sequence", event.sequence},
                      {"prefix_hash", event.prefix_hash},
                      {"is_evicted", event.is_evicted}});
  }
  exchange->Answer(200, json{{"events", events}}.dump());
}

std::string EngineServer::LoadJson() const {
  return json{{"running", engine_.running.size()},
              {"waiting", engine_.waiting.size()},
              {"memory_use", static_cast<double>(engine_.cache.blocks.size()) /
                                 static_cast<double>(engine_.cache.capacity)},
              {"is_leaving", IsActive(FaultKind::kLeaving)},
              {"loaded_models", loaded_models_},
              {"role", role_},
              {"fence", fence_}}
      .dump();
}

}  // namespace peridotmill::standin
