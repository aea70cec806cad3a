#include "peridotmill_net/running/node_runner.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "peridotmill_net/logging/event_log.h"
#include "peridotmill_node/metrics/metrics_page.h"
#include "peridotmill_node/status/status_page.h"

namespace peridotmill {
namespace {

constexpr std::string_view kAdminPrefix = "/admin/";
constexpr std::string_view kExplainPrefix = "/admin/explain/";
constexpr char kText[] = "text/plain; charset=utf-8";
// Time between checks whether the last answers have left the process, and the
// number of checks: a caller that does not read cannot hold the process for
// longer than 30 s.
constexpr guint kExitDelayMs = 50;
constexpr int kMaxExitChecks = 600;

PageAnswer NotFound() {
  return {404, "application/json",
          RefusalBody(Reason::kBadRequest, Execution::kNotRun,
                      "no such path or method", "")};
}

}  // namespace

NodeRunner::NodeRunner(NodeState state, const Clock& clock)
    : clock_(clock),
      state_(std::move(state)),
      loop_(g_main_loop_new(nullptr, FALSE)) {}

NodeRunner::~NodeRunner() {
  g_main_loop_unref(loop_);
}

Result<std::unique_ptr<NodeRunner>> NodeRunner::Create(
    NodeState state,
    const RunnerSettings& settings,
    const Clock& clock) {
  std::unique_ptr<NodeRunner> runner(new NodeRunner(std::move(state), clock));
  if (auto opened = runner->Open(settings); !opened) {
    return tl::unexpected(opened.error());
  }
  return runner;
}

Result<void> NodeRunner::Open(const RunnerSettings& settings) {
  auto store = StoreClient::Create(settings.store_addresses);
  if (!store) {
    return tl::unexpected(store.error());
  }
  store_ = *std::move(store);
  weights_url_ = settings.weights_url;
  if (auto opened = OpenPeers(settings); !opened) {
    return tl::unexpected(opened.error());
  }
  CallerServerHandlers handlers;
  handlers.on_event = [this](NodeEvent event) { Post(std::move(event)); };
  handlers.next_request_id = [this] { return NextRequestId(state_); };
  handlers.page = [this](const std::string& path, const std::string& token) {
    return Page(path, token);
  };
  handlers.on_refused = [this](Reason reason) { state_.reasons.Add(reason); };
  auto callers = CallerServer::Create(settings.caller_address, settings.limits,
                                      std::move(handlers));
  if (!callers) {
    return tl::unexpected(callers.error());
  }
  callers_ = *std::move(callers);
  endpoints_ = EndpointClient::Create(
      state_.settings.failure_domain,
      [this](NodeEvent event) { Post(std::move(event)); });
  hosts_ = HostListClient::Create(
      settings.hosts_url, settings.hosts_interval_ms,
      [this](HostList list) { Post(HostListRead{std::move(list)}); });
  return {};
}

Result<void> NodeRunner::OpenPeers(const RunnerSettings& settings) {
  PeerTransportSettings transport;
  transport.identity.node = state_.settings.id;
  transport.identity.incarnation = state_.settings.incarnation;
  transport.identity.shared_key = settings.peer_key;
  transport.listen_address = settings.peer_address;
  transport.seed = state_.settings.seed;
  PeerTransportEvents events;
  events.on_connected = [this](const NodeId& peer) {
    Post(PeerConnected{peer});
  };
  events.on_disconnected = [this](const NodeId& peer) {
    Post(PeerDisconnected{peer});
  };
  events.on_frame = [this](const NodeId& peer, std::string payload) {
    Post(PeerFrame{peer, std::move(payload)});
  };
  events.on_fault = [this](Reason reason) { state_.reasons.Add(reason); };
  auto peers = PeerTransport::Create(std::move(transport), std::move(events));
  if (!peers) {
    return tl::unexpected(peers.error());
  }
  peers_ = *std::move(peers);
  return {};
}

int NodeRunner::Run() {
  Post(Tick{});
  g_main_loop_run(loop_);
  return exit_code_;
}

void NodeRunner::RequestShutdown() {
  if (is_shutdown_requested_) {
    LogWarning("shutdown_cut_short",
               {{"open_requests", std::to_string(state_.requests.size())},
                {"open_attempts", std::to_string(state_.attempts.size())}});
    exit_code_ = 1;
    g_main_loop_quit(loop_);
    return;
  }
  is_shutdown_requested_ = true;
  LogInfo("shutdown_requested",
          {{"open_requests", std::to_string(state_.requests.size())}});
  callers_->StopListening();
  Post(ShutdownRequested{});
}

PageAnswer NodeRunner::Page(const std::string& path, const std::string& token) {
  if (path == "/healthz") {
    return {200, kText, "ok\n"};
  }
  if (path == "/readyz") {
    const bool is_ready = IsReady(state_);
    return {is_ready ? 200 : 503, kText, is_ready ? "ready\n" : "not ready\n"};
  }
  if (path == "/metrics") {
    return {200, "text/plain; version=0.0.4",
            RenderMetrics(state_, Transport())};
  }
  if (path == "/v1/models") {
    return {200, "application/json", RenderModels(state_, token)};
  }
  if (path.starts_with(kAdminPrefix)) {
    return AdminPage(path, token);
  }
  return NotFound();
}

TransportCounts NodeRunner::Transport() const {
  return {peers_->bytes_sent(), peers_->bytes_received(),
          peers_->connected_count()};
}

PageAnswer NodeRunner::AdminPage(const std::string& path,
                                 const std::string& token) {
  if (!state_.config.objects || !IsOperator(state_.config, token)) {
    return {401, "application/json",
            RefusalBody(Reason::kMissingToken, Execution::kNotRun,
                        "an operator's token is needed", "Authorization")};
  }
  if (path == "/admin/status") {
    return {200, "application/json", RenderStatus(state_, clock_.Now())};
  }
  if (path.starts_with(kExplainPrefix)) {
    if (auto text = RenderExplanation(
            state_, RequestId(path.substr(kExplainPrefix.size())),
            clock_.Now())) {
      return {200, "application/json", *std::move(text)};
    }
  }
  return NotFound();
}

void NodeRunner::Post(NodeEvent event) {
  events_.push_back(std::move(event));
  if (!is_handling_) {
    HandleEvents();
  }
}

void NodeRunner::HandleEvents() {
  is_handling_ = true;
  while (!events_.empty()) {
    const NodeEvent event = std::move(events_.front());
    events_.pop_front();
    for (const NodeCommand& command : Step(state_, event, clock_.Now())) {
      std::visit([this](const auto& known) { Execute(known); }, command);
    }
  }
  is_handling_ = false;
  ArmTimer();
}

void NodeRunner::ArmTimer() {
  const Duration wait = NextWakeup(state_) - clock_.Now();
  const auto delay = std::max<int64_t>(
      0, std::chrono::ceil<std::chrono::milliseconds>(wait).count());
  timer_.Start(
      static_cast<guint>(delay),
      [](gpointer data) { static_cast<NodeRunner*>(data)->Post(Tick{}); },
      this);
}

void NodeRunner::Execute(const StartAttempt& command) {
  endpoints_->Start(command);
}

void NodeRunner::Execute(const CancelAttempt& command) {
  endpoints_->Cancel(command);
}

void NodeRunner::Execute(const CallerFragment& command) {
  callers_->Send(command);
}

void NodeRunner::Execute(const CallerAnswer& command) {
  callers_->Send(command);
}

void NodeRunner::Execute(const CallerRefusal& command) {
  callers_->Send(command);
}

void NodeRunner::Execute(const StoreCall& command) {
  store_->Call(command.request, command.timeout,
               [this, call = command.call](StoreAnswer answer) {
                 Post(StoreAnswered{call, std::move(answer)});
               });
}

void NodeRunner::Execute(const SendPeerFrame& command) {
  peers_->Send(command);
}

void NodeRunner::Execute(const ConnectPeer& command) {
  peers_->Connect(command);
}

void NodeRunner::Execute(const ClosePeer& command) {
  peers_->Disconnect(command);
}

void NodeRunner::Execute(const RejectPeerFrame& command) {
  peers_->RejectFrame(command.peer);
}

void NodeRunner::Execute(const ReadLoad& command) {
  endpoints_->Read(command);
}

void NodeRunner::Execute(const SendOrder& command) {
  if (clock_.Now() > command.not_after) {
    Post(OrderFinished{command.endpoint, false});
    return;
  }
  endpoints_->Send(command);
}

void NodeRunner::Execute(const ReadWeights& command) {
  endpoints_->Read(command, weights_url_);
}

void NodeRunner::Execute(const LogEvent& command) {
  LogInfo(command.name, command.fields);
}

void NodeRunner::Execute(const ExitNode& command) {
  exit_code_ = command.code;
  ExitWhenAnswered();
}

void NodeRunner::ExitWhenAnswered() {
  exit_timer_.Start(
      kExitDelayMs,
      [](gpointer data) {
        auto* self = static_cast<NodeRunner*>(data);
        if (self->callers_->has_open_calls() &&
            ++self->exit_checks_ < kMaxExitChecks) {
          self->ExitWhenAnswered();
        } else {
          g_main_loop_quit(self->loop_);
        }
      },
      this);
}

}  // namespace peridotmill
