#include "peridotmill_gateway/limits/permit_client.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_gateway/peers/stage_message.h"

namespace peridotmill {
namespace {

constexpr Duration kRequestInterval = std::chrono::milliseconds(100);
// Permits expire after this time, counted from their request.
constexpr Duration kPermitLifetime = std::chrono::seconds(1);
// Bounds of the time until a node that got too few permits asks again.
constexpr Duration kMinRepeatDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRepeatDelay = std::chrono::milliseconds(1500);
// Permits held in advance of calls.
constexpr int kMaxHeldPermits = 64;
// Nodes without requests for a pool leave its permits to others.
constexpr Duration kDemandMemory = std::chrono::seconds(2);
// Nodes answer within a few milliseconds.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(300);
constexpr Duration kBackoff = std::chrono::seconds(2);

}  // namespace

class PermitClient::Link final : public PeerLinkListener {
 public:
  Link(PermitClient* owner, NodeId node, const std::string& address)
      : owner_(owner), node_(std::move(node)) {
    link_ = owner_->dependencies_.dialer.Dial(address, this);
  }
  void Send(const StageMessage& message, TimePoint now) {
    link_->Send(EncodeStageMessage(message, now));
  }

 private:
  void OnLinkFrame(std::string_view frame) override {
    owner_->OnFrame(node_, frame);
  }
  void OnLinkLost() override { owner_->DropLink(node_, "lost"); }

  PermitClient* owner_;
  NodeId node_;
  std::unique_ptr<PeerLink> link_;
};

PermitClient::PermitClient(const Dependencies& dependencies)
    : dependencies_(dependencies) {
  dependencies_.endpoints.set_on_permits_needed([this] { RequestPermits(); });
}

PermitClient::~PermitClient() {
  dependencies_.endpoints.set_on_permits_needed(nullptr);
}

void PermitClient::DiscardPermits() {
  for (const EndpointPtr& endpoint :
       dependencies_.endpoints.LimitedEndpoints()) {
    endpoint->permits.clear();
  }
}

void PermitClient::RequestPermits() {
  // A grant by this node itself may report a changed limit.
  if (std::exchange(is_requesting_, true)) {
    return;
  }
  const TimePoint now = dependencies_.clock.Now();
  const std::vector<EndpointPtr> limited =
      dependencies_.endpoints.LimitedEndpoints();
  for (auto state = states_.begin(); state != states_.end();) {
    const EndpointPtr endpoint = dependencies_.endpoints.Find(state->first);
    if (endpoint != nullptr && endpoint->limit) {
      ++state;
      continue;
    }
    if (endpoint != nullptr) {
      // Tells the other nodes that the endpoint names no limit any more.
      Send(ChooseCoordinator(state->first, now), MakeRequest(*endpoint, 0),
           now);
    }
    state = states_.erase(state);
  }
  for (const EndpointPtr& endpoint : limited) {
    RequestPermitsOf(*endpoint, now);
  }
  is_requesting_ = false;
  if (limited.empty()) {
    timer_.reset();
  } else if (timer_ == nullptr) {
    timer_ = dependencies_.timers.After(kRequestInterval, [this] {
      timer_.reset();
      RequestPermits();
    });
  }
}

void PermitClient::RequestPermitsOf(Endpoint& endpoint, TimePoint now) {
  const EndpointIncarnation incarnation = IncarnationOf(endpoint.registration);
  EndpointState& state = states_[incarnation];
  if (state.requested_at) {
    if (now - *state.requested_at <= kResponseTimeout) {
      return;
    }
    DropLink(state.coordinator, "silent");
  }
  const bool has_demand =
      now - dependencies_.endpoints.LastDemand(endpoint.registration.pool) <=
      kDemandMemory;
  const int target = std::min(1 + endpoint.permits_taken, kMaxHeldPermits);
  const int missing = target - CountPermits(endpoint, now);
  if (!has_demand || missing <= 0 || now < state.next_request_at) {
    return;
  }
  endpoint.permits_taken = 0;
  state.requested_at = now;
  state.coordinator = ChooseCoordinator(incarnation, now);
  Send(state.coordinator, MakeRequest(endpoint, missing), now);
}

PermitRequest PermitClient::MakeRequest(const Endpoint& endpoint, int count) {
  return {.endpoint = IncarnationOf(endpoint.registration),
          .limit = endpoint.limit,
          .limit_observed_at = endpoint.limit_observed_at,
          .count = count};
}

void PermitClient::Send(const NodeId& coordinator,
                        const PermitRequest& request,
                        TimePoint now) {
  if (coordinator == dependencies_.self) {
    OnGrant(GrantPermits(dependencies_.own_buckets, request, now));
    return;
  }
  std::unique_ptr<Link>& link = links_[coordinator];
  if (link == nullptr) {
    link = std::make_unique<Link>(
        this, coordinator, dependencies_.nodes.Find(coordinator)->peer_address);
  }
  link->Send(request, now);
}

NodeId PermitClient::ChooseCoordinator(const EndpointIncarnation& endpoint,
                                       TimePoint now) const {
  const auto candidates = dependencies_.nodes.CandidateOrder(
      "limit/" + endpoint.id.value(), dependencies_.self,
      dependencies_.self_record, [](const NodeRecord&) { return true; });
  for (const NodeId& node : candidates) {
    const auto backoff = backoffs_.find(node);
    if (node == dependencies_.self || backoff == backoffs_.end() ||
        backoff->second <= now) {
      return node;
    }
  }
  return dependencies_.self;
}

void PermitClient::OnFrame(const NodeId& node, std::string_view frame) {
  const auto message = DecodeStageMessage(frame, dependencies_.clock.Now());
  if (!message) {
    DropLink(node, "malformed frame");
  } else if (const auto* const grant = std::get_if<PermitGrant>(&*message)) {
    OnGrant(*grant);
  }
  // Other messages are for nodes that submit tasks.
}

void PermitClient::OnGrant(const PermitGrant& grant) {
  const auto state = states_.find(grant.endpoint);
  const EndpointPtr endpoint = dependencies_.endpoints.Find(grant.endpoint);
  if (state == states_.end() || endpoint == nullptr ||
      !state->second.requested_at) {
    return;
  }
  const TimePoint now = dependencies_.clock.Now();
  // Counted from the request, so that a late response extends no permit.
  const TimePoint expiry = *state->second.requested_at + kPermitLifetime;
  state->second.requested_at.reset();
  if (expiry > now) {
    endpoint->permits.insert(endpoint->permits.end(),
                             static_cast<size_t>(grant.count), expiry);
  }
  endpoint->next_permit_at = now + grant.retry_after;
  state->second.next_request_at =
      grant.retry_after == Duration::zero()
          ? now
          : now +
                std::clamp(grant.retry_after, kMinRepeatDelay, kMaxRepeatDelay);
  dependencies_.endpoints.RecordPeerLimit(grant.endpoint, grant.limit,
                                          grant.limit_observed_at);
}

// NOLINTNEXTLINE(performance-unnecessary-value-param)
void PermitClient::DropLink(NodeId node, std::string_view reason) {
  dependencies_.log.Write(
      "permit_coordinator_lost",
      {{"peer", node.value()}, {"reason", std::string(reason)}});
  links_.erase(node);
  backoffs_[node] = dependencies_.clock.Now() + kBackoff;
  for (auto& [endpoint, state] : states_) {
    if (state.coordinator == node) {
      state.requested_at.reset();
    }
  }
}

}  // namespace peridotmill
