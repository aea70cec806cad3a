#include "standins/peridotmill-standin/servers/stand_in_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "peridotmill_net/logging/event_log.h"
#include "standins/peridotmill-standin/servers/admin_json.h"

namespace peridotmill::standin {
namespace {

constexpr char kDomainHeader[] = "X-Failure-Domain";
constexpr size_t kOversizedBytes = 32 << 20;

}  // namespace

StandInServer::StandInServer(StandIn settings, uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      http_(settings_.address,
            [this](const ExchangePtr& exchange) { Handle(exchange); }),
      fault_timer_([this] { ApplyFaults(); }) {}

StandInServer::~StandInServer() = default;

std::string StandInServer::Start() {
  return http_.Listen();
}

void StandInServer::Stop() {
  fault_timer_.Set(std::nullopt);
  http_.Close();
}

void StandInServer::SetFaults(FaultTable faults) {
  faults_ = std::move(faults);
  ApplyFaults();
}

void StandInServer::ApplyFaults() {
  const TimePoint now = LoopNow();
  if (IsActiveForAll(faults_, FaultKind::kDown, now)) {
    http_.Close();
  } else if (const std::string error = http_.Listen(); !error.empty()) {
    LogError("listen_failed", {{"stand_in", settings_.id}, {"error", error}});
  }
  OnFaultsChanged();
  fault_timer_.Set(NextChange(faults_, now));
}

bool StandInServer::IsFaulty(FaultKind kind, const Exchange& exchange) {
  if (faults_.faults.empty() ||
      DrawFault(faults_, kind, exchange.Header(kDomainHeader), LoopNow(),
                random_) == nullptr) {
    return false;
  }
  ++counts_["fault:" + std::string(ToString(kind))];
  return true;
}

bool StandInServer::IsActive(FaultKind kind) const {
  return IsActiveForAll(faults_, kind, LoopNow());
}

double StandInServer::slow_factor(const Exchange& exchange) const {
  return SlowFactor(faults_, exchange.Header(kDomainHeader), LoopNow());
}

double StandInServer::active_slow_factor() const {
  return SlowFactor(faults_, "", LoopNow());
}

void StandInServer::Handle(const ExchangePtr& exchange) {
  if (exchange->path().starts_with("/stand-in/")) {
    ServeStandInPath(exchange);
    return;
  }
  Count(exchange->method() + " " + exchange->path());
  if (IsFaulty(FaultKind::kDown, *exchange)) {
    exchange->Cut();
  } else if (IsFaulty(FaultKind::kHang, *exchange)) {
    return;
  } else if (IsFaulty(FaultKind::kRefuse, *exchange)) {
    exchange->Answer(503, ErrorBody("overloaded", "not_run"));
  } else {
    Serve(exchange);
  }
}

void StandInServer::ServeStandInPath(const ExchangePtr& exchange) {
  const std::string path = exchange->path();
  if (ServeAdmin(exchange)) {
    return;
  }
  if (path == "/stand-in/counts") {
    exchange->Answer(200, CountsJson(counts_));
  } else if (path == "/stand-in/runs") {
    exchange->Answer(200, RunsJson(runs_));
  } else if (path == "/stand-in/markers") {
    exchange->Answer(200, MarkersJson(runs_));
  } else if (path == "/stand-in/faults") {
    std::string error;
    auto faults = ReadFaults(exchange->body(), LoopNow(), error);
    if (!faults) {
      exchange->Answer(400, nlohmann::json{{"error", error}}.dump());
      return;
    }
    // Answers before a `down` fault breaks this connection too.
    exchange->Answer(200, "{}");
    CallLater(std::chrono::milliseconds(5), [this, table = *faults]() mutable {
      table.start = LoopNow();
      SetFaults(std::move(table));
    });
  } else {
    exchange->Answer(404, ErrorBody("not_found", "not_run"));
  }
}

bool StandInServer::ServeAdmin(const ExchangePtr& /*exchange*/) {
  return false;
}

void StandInServer::AnswerLater(const ExchangePtr& exchange,
                                int status,
                                std::string body) {
  if (IsFaulty(FaultKind::kError, *exchange)) {
    status = 500;
    body = ErrorBody("internal", "unknown");
  }
  const bool is_dropped = IsFaulty(FaultKind::kDropAnswer, *exchange);
  if (IsFaulty(FaultKind::kMalformed, *exchange)) {
    body.resize(body.size() / 2);
  }
  const auto delay = Duration(static_cast<Duration::rep>(
      static_cast<double>(Duration(settings_.latency).count()) *
      slow_factor(*exchange)));
  CallLater(delay, [exchange, status, is_dropped, text = std::move(body)] {
    if (is_dropped) {
      exchange->Cut();
    } else {
      exchange->Answer(status, text);
    }
  });
}

void StandInServer::AnswerCall(const ExchangePtr& exchange,
                               const std::string& attempt,
                               std::string body) {
  std::string current = body;
  if (IsFaulty(FaultKind::kDropAnswer, *exchange)) {
    exchange->Cut();
    return;
  }
  if (IsFaulty(FaultKind::kError, *exchange)) {
    exchange->Answer(500, ErrorBody("internal", "ran"));
    return;
  }
  if (IsFaulty(FaultKind::kRepeatAnswer, *exchange) &&
      !previous_answer_.empty()) {
    body = previous_answer_;
  }
  if (IsFaulty(FaultKind::kWrongIdentity, *exchange)) {
    nlohmann::json answer = nlohmann::json::parse(body);
    answer["attempt_id"] = attempt + "-other";
    body = answer.dump();
  }
  if (IsFaulty(FaultKind::kMalformed, *exchange)) {
    body.resize(body.size() / 2);
  }
  if (IsFaulty(FaultKind::kOversized, *exchange)) {
    nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (answer.is_object()) {
      answer["padding"] = std::string(kOversizedBytes, 'x');
      body = answer.dump();
    }
  }
  previous_answer_ = std::move(current);
  exchange->Answer(200, body);
}

std::string ErrorBody(const std::string& code, const std::string& execution) {
  return nlohmann::json{{"error", {{"code", code}, {"execution", execution}}}}
      .dump();
}

}  // namespace peridotmill::standin
