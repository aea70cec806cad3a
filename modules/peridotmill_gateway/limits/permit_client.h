#ifndef PERIDOTMILL_GATEWAY_LIMITS_PERMIT_CLIENT_H_
#define PERIDOTMILL_GATEWAY_LIMITS_PERMIT_CLIENT_H_

#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/limits/permit_buckets.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/peers/node_directory.h"
#include "peridotmill_gateway/peers/peer_link.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"

namespace peridotmill {

// Obtains permits for the endpoints that have named a limit, from the nodes
// that coordinate the limits. All nodes compute the same coordinator of an
// endpoint and skip those that do not respond. A permit that is not used soon
// expires, so nothing has to be returned when a node is lost.
class PermitClient {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerQueue& timers;
    PeerDialer& dialer;
    EndpointRegistry& endpoints;
    const NodeDirectory& nodes;
    // Grants the permits of the endpoints that this node coordinates.
    PermitBuckets& own_buckets;
    EventSink& log;
    NodeId self;
    NodeRecord self_record;
  };

  explicit PermitClient(const Dependencies& dependencies);
  ~PermitClient();
  PermitClient(const PermitClient&) = delete;
  PermitClient& operator=(const PermitClient&) = delete;

  // Discards all permits. Called after this process was paused, since the
  // permits may have expired meanwhile.
  void DiscardPermits();

 private:
  class Link;

  // The state of the requests for one endpoint.
  struct EndpointState {
    NodeId coordinator;
    // Set while a request has not been answered.
    std::optional<TimePoint> requested_at;
    TimePoint next_request_at;
  };

  // Requests permits for all endpoints that need some, and continues to do so
  // while endpoints have limits.
  void RequestPermits();
  void RequestPermitsOf(Endpoint& endpoint, TimePoint now);
  static PermitRequest MakeRequest(const Endpoint& endpoint, int count);
  void Send(const NodeId& coordinator,
            const PermitRequest& request,
            TimePoint now);
  NodeId ChooseCoordinator(const EndpointIncarnation& endpoint,
                           TimePoint now) const;
  void OnFrame(const NodeId& node, std::string_view frame);
  void OnGrant(const PermitGrant& grant);
  // Takes the id by value, since the link's own copy is destroyed with it.
  // NOLINTNEXTLINE(performance-unnecessary-value-param)
  void DropLink(NodeId node, std::string_view reason);

  Dependencies dependencies_;
  std::map<EndpointIncarnation, EndpointState> states_;
  std::map<NodeId, std::unique_ptr<Link>> links_;
  // Nodes that did not respond, and until when they are skipped.
  std::map<NodeId, TimePoint> backoffs_;
  std::unique_ptr<Timer> timer_;
  bool is_requesting_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_LIMITS_PERMIT_CLIENT_H_
