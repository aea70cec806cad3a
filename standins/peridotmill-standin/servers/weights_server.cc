#include "standins/peridotmill-standin/servers/weights_server.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill::standin {

WeightsServer::WeightsServer(const StandIn& settings, uint64_t seed)
    : StandInServer(settings, seed),
      tokens_(std::max(1.0, settings.rate_per_second)),
      refilled_(LoopNow()) {}

void WeightsServer::Serve(const ExchangePtr& exchange) {
  constexpr std::string_view kPrefix = "/v1/weights/";
  const std::string path = exchange->path();
  if (!path.starts_with(kPrefix) || path.size() == kPrefix.size()) {
    exchange->Answer(404, ErrorBody("not_found", "not_run"));
    return;
  }
  const double rate = settings().rate_per_second;
  const TimePoint now = LoopNow();
  const std::chrono::duration<double> passed = now - refilled_;
  tokens_ = std::min(std::max(1.0, rate), tokens_ + rate * passed.count());
  refilled_ = now;
  if (tokens_ < 1) {
    Count("rate_limited");
    const double wait = std::ceil((1 - tokens_) / rate);
    exchange->SetHeader("Retry-After",
                        std::to_string(static_cast<int64_t>(wait)));
    exchange->Answer(429, ErrorBody("rate_limited", "not_run"));
    return;
  }
  tokens_ -= 1;
  const std::string model = path.substr(kPrefix.size());
  AnswerLater(exchange, 200,
              nlohmann::json{{"model", model}, {"digest", ContentDigest(model)}}
                  .dump());
}

}  // namespace peridotmill::standin
