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
// A node that has just started receives its configuration within this time.
constexpr Duration kNotConfiguredRetryAfter = std::chrono::milliseconds(500);
// A node that fetches a newer configuration has it after this time.
constexpr Duration kOutdatedRetryAfter = std::chrono::milliseconds(500);

}  // namespace

Gateway::Gateway(const GatewayContext& context, uint64_t seed)
    : context_(context), random_(seed) {
  if (context_.quarantine != nullptr) {
    context_.quarantine->set_on_quarantined(
        [this](const auto& suspects) { EndQuarantinedRequests(suspects); });
  }
}

Gateway::~Gateway() {
  if (context_.quarantine != nullptr) {
    context_.quarantine->set_on_quarantined(nullptr);
  }
}

bool Gateway::SetConfiguration(ActiveConfigurationPtr configuration) {
  if (configuration_ != nullptr &&
      configuration->config().revision <= configuration_->config().revision) {
    return false;
  }
  configuration_ = std::move(configuration);
  return true;
}

void Gateway::BeginStopping(TimePoint removed, TimePoint end) {
  stop_ = Stop{removed, end};
  // A request that ends removes itself from the map.
  for (GatewayRequest* const request : OpenRequests()) {
    request->LimitDeadline(end);
  }
}

void Gateway::RefuseUnfinishableRequests() {
  for (GatewayRequest* const request : OpenRequests()) {
    request->RefuseIfUnfinishable();
  }
}

std::vector<GatewayRequest*> Gateway::OpenRequests() const {
  std::vector<GatewayRequest*> open;
  open.reserve(requests_.size());
  for (const auto& [key, request] : requests_) {
    open.push_back(key);
  }
  return open;
}

void Gateway::Handle(CallerRequest request,
                     std::shared_ptr<ResponseWriter> channel) {
  ++counters_.requests;
  if (configuration_ == nullptr) {
    Refuse(request, *channel, Reason::kNotConfigured, kNotConfiguredRetryAfter);
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
  GatewayRequest* const started = accepted.get();
  requests_.emplace(started, std::move(accepted));
  started->Start();
}

void Gateway::LogOpenRequests() const {
  for (const auto& [key, request] : requests_) {
    request->LogUnfinished();
  }
}

void Gateway::EndQuarantinedRequests(
    const std::vector<SuspectId>& quarantined) {
  // Requests that end are removed from the map.
  std::vector<GatewayRequest*> open_requests;
  open_requests.reserve(requests_.size());
  for (const auto& [key, request] : requests_) {
    open_requests.push_back(key);
  }
  for (GatewayRequest* const request : open_requests) {
    request->OnQuarantined(quarantined);
  }
}

void Gateway::Refuse(const CallerRequest& request,
                     ResponseWriter& channel,
                     Reason reason,
                     Duration retry_after) {
  ++counters_.refused;
  reasons_.Add(reason);
  context_.events.Write("request_refused",
                        {{"request", request.id.value()},
                         {"reason", std::string(ToString(reason))}});
  SendNodeResponse(channel, MakeFailure(AttemptHistory(), reason, retry_after));
}

void Gateway::Deny(const CallerRequest& request,
                   ResponseWriter& channel,
                   int status,
                   Reason reason) {
  if (context_.is_configuration_outdated &&
      context_.is_configuration_outdated()) {
    Refuse(request, channel, Reason::kConfigurationOutdated,
           kOutdatedRetryAfter);
    return;
  }
  ++counters_.denied;
  reasons_.Add(reason);
  context_.events.Write(
      "request_denied",
      {{"request", request.id.value()},
       {"status", std::to_string(status)},
       {"reason", std::string(ToString(reason))},
       {"revision",
        std::to_string(configuration_->config().revision.value())}});
  SendNodeResponse(channel, MakeDenial(status, reason));
}

PoolId Gateway::ChoosePool(const RouteDefinition& route) {
  double total_weight = 0;
  for (const WeightedPool& weighted_pool : route.pools) {
    total_weight += weighted_pool.weight;
  }
  double remaining_weight = random_.Unit() * total_weight;
  for (const WeightedPool& weighted_pool : route.pools) {
    remaining_weight -= weighted_pool.weight;
    if (remaining_weight < 0) {
      return weighted_pool.pool;
    }
  }
  return route.pools.front().pool;
}

void Gateway::RemoveRequest(GatewayRequest* request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  ended_requests_.push_back(std::move(found->second));
  requests_.erase(found);
  if (cleanup_timer_ == nullptr) {
    cleanup_timer_ = context_.timers.After(Duration::zero(), [this] {
      const auto ended = std::exchange(ended_requests_, {});
      cleanup_timer_.reset();
    });
  }
}

}  // namespace peridotmill
