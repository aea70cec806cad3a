#include "standins/peridotmill-standin/servers/service_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "peridotmill_core/hashing/hashing.h"
#include "standins/peridotmill-standin/logic/prompt.h"

namespace peridotmill::standin {

ServiceServer::ServiceServer(const StandIn& settings, uint64_t seed)
    : StandInServer(settings, seed),
      queue_{settings.service, Random(seed + 1), {}, {}},
      report_(settings.lag, [this] { return LoadJson(); }),
      timer_([this] { Run(); }) {}

void ServiceServer::Serve(const ExchangePtr& exchange) {
  const std::string path = exchange->path();
  if (path == "/v1/load") {
    exchange->Answer(
        200, report_.Shown(LoopNow(), IsFaulty(FaultKind::kStale, *exchange)));
  } else if (exchange->method() == "POST" &&
             (path == "/call" || path.starts_with("/call/"))) {
    Accept(exchange);
  } else {
    exchange->Answer(404, ErrorBody("not_found", "not_run"));
  }
}

void ServiceServer::Accept(const ExchangePtr& exchange) {
  Call call;
  call.exchange = exchange;
  call.attempt = exchange->Header("X-Attempt-Id");
  call.key = exchange->Header("X-Action-Key");
  call.path = exchange->path();
  call.input = exchange->body();
  call.markers = MarkersIn(call.input);
  if (!nlohmann::json::accept(call.input)) {
    exchange->Answer(400, ErrorBody("bad_request", "not_run"));
    return;
  }
  const uint64_t number = next_number_++;
  if (!Submit(queue_, number, slow_factor(*exchange))) {
    exchange->Answer(503, ErrorBody("overloaded", "not_run"));
    return;
  }
  calls_.emplace(number, std::move(call));
  exchange->set_on_gone([this, number] {
    Count("connection_lost");
    if (Withdraw(queue_, number)) {
      calls_.erase(number);
    }
  });
  Run();
}

void ServiceServer::Run() {
  const TimePoint now = LoopNow();
  const ServiceStep step = Advance(queue_, now);
  for (const uint64_t number : step.started) {
    const Call& call = calls_.at(number);
    RecordRun(mutable_runs(), settings().pool + " " + call.path, call.key,
              call.markers);
  }
  for (const uint64_t number : step.finished) {
    const auto call = calls_.extract(number);
    Finish(call.mapped());
  }
  report_.Record(now);
  timer_.Set(NextWakeup(queue_));
}

void ServiceServer::Finish(const Call& call) {
  nlohmann::json marks = nlohmann::json::array();
  for (const std::string& marker : call.markers) {
    marks.push_back("[m=" + marker + "]");
  }
  const nlohmann::json answer = {{"attempt_id", call.attempt},
                                 {"result",
                                  {{"digest", ContentDigest(call.input)},
                                   {"serial", ++serial_},
                                   {"endpoint", settings().id},
                                   {"markers", marks}}}};
  call.exchange->SetHeader("X-Attempt-Id", call.attempt);
  AnswerCall(call.exchange, call.attempt, answer.dump());
}

std::string ServiceServer::LoadJson() const {
  return nlohmann::json{{"running", queue_.running.size()},
                        {"waiting", queue_.waiting.size()},
                        {"memory_use", 0.0},
                        {"is_leaving", IsActive(FaultKind::kLeaving)}}
      .dump();
}

}  // namespace peridotmill::standin
