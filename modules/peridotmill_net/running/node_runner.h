#ifndef PERIDOTMILL_NET_RUNNING_NODE_RUNNER_H_
#define PERIDOTMILL_NET_RUNNING_NODE_RUNNER_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peridotmill_core/peridotmill_core.h"
#include "peridotmill_net/callers/caller_server.h"
#include "peridotmill_net/endpoints/endpoint_client.h"
#include "peridotmill_net/hosts/host_list_client.h"
#include "peridotmill_net/peers/peer_transport.h"
#include "peridotmill_net/store/store_client.h"
#include "peridotmill_node/metrics/metrics_page.h"
#include "peridotmill_node/node.h"

namespace peridotmill {

// Where a node listens and whom it asks.
struct RunnerSettings {
  std::string caller_address;
  std::string peer_address;
  // Shared by all nodes of the fleet.
  std::string peer_key;
  // Base URL of the host list, such as "http://127.0.0.1:7002".
  std::string hosts_url;
  // Base URL of the weight store; empty when loads need no permission.
  std::string weights_url;
  std::vector<std::string> store_addresses;
  guint hosts_interval_ms = 1000;
  CallerLimits limits;
};

// Runs one node on the default main context: turns what the adapters report
// into events and carries out the node's commands.
class NodeRunner {
 public:
  // `clock` must outlive the runner. Errors: kUnavailable when an address
  // cannot be listened on, kMalformed for a malformed one.
  static Result<std::unique_ptr<NodeRunner>>
  Create(NodeState state, const RunnerSettings& settings, const Clock& clock);
  ~NodeRunner();
  NodeRunner(const NodeRunner&) = delete;
  NodeRunner& operator=(const NodeRunner&) = delete;

  // Runs until the node exits; returns the exit code.
  int Run();

  // First call: graceful shutdown. Second call: stops at once with code 1.
  void RequestShutdown();

 private:
  NodeRunner(NodeState state, const Clock& clock);
  Result<void> Open(const RunnerSettings& settings);
  Result<void> OpenPeers(const RunnerSettings& settings);
  PageAnswer Page(const std::string& path, const std::string& token);
  TransportCounts Transport() const;
  PageAnswer AdminPage(const std::string& path, const std::string& token);

  // Queues an event and, unless one is being handled, handles all of them.
  void Post(NodeEvent event);
  void HandleEvents();
  void ArmTimer();
  // Ends the loop once the callers have their answers.
  void ExitWhenAnswered();

  void Execute(const StartAttempt& command);
  void Execute(const CancelAttempt& command);
  void Execute(const CallerFragment& command);
  void Execute(const CallerAnswer& command);
  void Execute(const CallerRefusal& command);
  void Execute(const StoreCall& command);
  void Execute(const SendPeerFrame& command);
  void Execute(const ConnectPeer& command);
  void Execute(const ClosePeer& command);
  void Execute(const RejectPeerFrame& command);
  void Execute(const ReadLoad& command);
  void Execute(const SendOrder& command);
  void Execute(const ReadWeights& command);
  void Execute(const LogEvent& command);
  void Execute(const ExitNode& command);

  const Clock& clock_;
  NodeState state_;
  std::deque<NodeEvent> events_;
  bool is_handling_ = false;
  bool is_shutdown_requested_ = false;
  int exit_code_ = 0;
  std::string weights_url_;
  int exit_checks_ = 0;
  GMainLoop* loop_;
  ScopedTimeout timer_;
  ScopedTimeout exit_timer_;
  std::unique_ptr<CallerServer> callers_;
  std::unique_ptr<EndpointClient> endpoints_;
  std::unique_ptr<HostListClient> hosts_;
  std::unique_ptr<StoreClient> store_;
  std::unique_ptr<PeerTransport> peers_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_RUNNING_NODE_RUNNER_H_
