#include "peridotmill_gateway/requests/gateway.h"

#include <algorithm>
#include <string>
#include <utility>

#include "peridotmill_gateway/requests/gateway_request.h"
#include "peridotmill_gateway/requests/refusal.h"

namespace peridotmill {
namespace {

constexpr int kNotFound = 404;
constexpr int kUnauthorized = 401;
// A node that has just started has its configuration within this time.
constexpr Duration kNotConfiguredRetry = std::chrono::milliseconds(500);
// The balancer takes a stopping node out within two seconds; callers reach
// another one on their next connection.
constexpr Duration kStoppingRetry = std::chrono::milliseconds(50);

}  // namespace

Gateway::Gateway(const GatewayContext& context, uint64_t seed)
    : context_(context), random_(seed) {}

Gateway::~Gateway() = default;

bool Gateway::SetConfiguration(ActiveConfigurationPtr configuration) {
  if (configuration_ != nullptr &&
      configuration->config().revision <= configuration_->config().revision) {
    return false;
  }
  configuration_ = std::move(configuration);
  return true;
}

void Gateway::Handle(CallerRequest request,
                     std::shared_ptr<ResponseWriter> channel) {
  ++counters_.requests;
  if (configuration_ == nullptr || !is_accepting_) {
    const Reason reason = configuration_ == nullptr ? Reason::kNotConfigured
                                                    : Reason::kShuttingDown;
    ++counters_.refused;
    reasons_.Add(reason);
    context_.events.Write("request_refused",
                          {{"request", request.id.value()},
                           {"reason", std::string(ToString(reason))}});
    SendNodeAnswer(*channel,
                   MakeFailure(AttemptHistory(), reason,
                               configuration_ == nullptr ? kNotConfiguredRetry
                                                         : kStoppingRetry));
    return;
  }
  const RouteDefinition* const route =
      configuration_->FindRoute(request.host, request.path);
  if (route == nullptr) {
    Deny(request, *channel, kNotFound, Reason::kUnknownPipeline);
    return;
  }
  TeamId team;
  int priority = route->priority;
  if (!configuration_->config().teams.empty()) {
    const TeamDefinition* const definition =
        request.key.empty() ? nullptr : configuration_->FindTeam(request.key);
    if (definition != nullptr) {
      team = definition->id;
      priority = definition->priority.value_or(priority);
    } else if (!route->is_public) {
      Deny(request, *channel, kUnauthorized,
           request.key.empty() ? Reason::kMissingToken : Reason::kUnknownTeam);
      return;
    }
  }
  auto accepted = std::make_unique<GatewayRequest>(
      this, configuration_, route, std::move(team), priority,
      std::move(request), std::move(channel));
  GatewayRequest* const raw = accepted.get();
  requests_.emplace(raw, std::move(accepted));
  raw->Start();
}

void Gateway::Deny(const CallerRequest& request,
                   ResponseWriter& channel,
                   int status,
                   Reason reason) {
  ++counters_.denied;
  reasons_.Add(reason);
  context_.events.Write(
      "request_denied",
      {{"request", request.id.value()},
       {"status", std::to_string(status)},
       {"reason", std::string(ToString(reason))},
       {"revision",
        std::to_string(configuration_->config().revision.value())}});
  SendNodeAnswer(channel, MakeDenial(status, reason));
}

PoolId Gateway::ChoosePool(const RouteDefinition& route) {
  double total = 0;
  for (const WeightedPool& share : route.pools) {
    total += share.weight;
  }
  double point = random_.Unit() * total;
  for (const WeightedPool& share : route.pools) {
    point -= share.weight;
    if (point < 0) {
      return share.pool;
    }
  }
  return route.pools.front().pool;
}

void Gateway::Release(GatewayRequest* request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  ended_.push_back(std::move(found->second));
  requests_.erase(found);
  if (sweep_ == nullptr) {
    sweep_ = context_.timers.After(Duration::zero(), [this] {
      const auto ended = std::exchange(ended_, {});
      sweep_.reset();
    });
  }
}

}  // namespace peridotmill
