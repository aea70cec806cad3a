#include "daemons/peridotmill-gateway/gateway_process.h"

#include <malloc.h>
#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "daemons/peridotmill-gateway/settings_file.h"
#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_core/time/milliseconds.h"
#include "platform/caller_codec.h"
#include "platform/wire_names.h"

namespace peridotmill {
namespace {

// Interval at which the settings file is checked for changes, so that they are
// applied without a signal too.
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(2);
// The load balancer checks readiness once a second and stops using a node after
// two failed checks. Idle connections stay open until then.
constexpr Duration kLoadBalancerRemovalDelay = std::chrono::milliseconds(2600);
// Parts of stop_grace before its end, when the platform kills the process: at
// the first each open request gets its final response and the node refuses
// connections, at the second the process exits with what is left. Both lie in
// the last sixth, in which the platform accepts that requests are cut.
constexpr int kFinalResponseDivisor = 10;
constexpr int kForcedExitDivisor = 32;
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);
// Interval of the checks for requests refused for lack of memory, and the fall
// of the memory in use after which freed memory is returned to the host.
constexpr Duration kMemoryCheckInterval = std::chrono::seconds(1);
constexpr size_t kMinTrimmedBytes = size_t{8} << 20;
// Give each component its own seed for random choices.
constexpr uint64_t kCoordinatorSeed = 1;
constexpr uint64_t kGatewaySeed = 2;
constexpr uint64_t kStoreRetrySeed = 3;

// Delays between watches; the changes made within one are reported by one
// response. They suffice because endpoints that leave keep serving for at least
// 2 s, a configuration has 2 s to reach all nodes, and links to a node show
// whether it is up.
constexpr Duration kRegistrationWatchDelay = std::chrono::milliseconds(300);
constexpr Duration kConfigurationWatchDelay = std::chrono::milliseconds(200);
constexpr Duration kNodeWatchDelay = std::chrono::seconds(3);
// A watch may get no response although there are changes. This timeout limits
// the resulting delay of configuration and endpoint changes.
constexpr Duration kConfigurationAndEndpointWatchTimeout =
    std::chrono::seconds(2);
constexpr Duration kNodeWatchTimeout = std::chrono::seconds(5);

uint64_t ComponentSeed(const GatewaySettings& settings, uint64_t component) {
  return Hash64(settings.node.value(), component);
}

// Returns a name that no earlier process of the node has had.
std::string MakeProcessName(const GatewaySettings& settings,
                            const Clock& clock) {
  return settings.node.value() + "/" +
         std::to_string(clock.Now().time_since_epoch().count());
}

NodeRecord MakeNodeRecord(const GatewaySettings& settings) {
  return {.peer_address = settings.peer_address,
          .failure_domain = settings.failure_domain,
          .processor_share = settings.processor_share,
          .replica_address = settings.replica_address};
}

std::array<PrefixWatcherSettings, kReplicaPartCount> WatchedPrefixes(
    const GatewaySettings& settings) {
  std::array<PrefixWatcherSettings, kReplicaPartCount> prefixes;
  // Evacuations lie beside the configuration, so that one watch reports both.
  prefixes[static_cast<size_t>(ReplicaPart::kConfiguration)] = {
      .prefix = std::string(settings.honors_evacuations
                                ? platform::kOperatorPrefix
                                : platform::kConfigurationKey),
      .watch_timeout = kConfigurationAndEndpointWatchTimeout,
      .watch_delay = kConfigurationWatchDelay};
  prefixes[static_cast<size_t>(ReplicaPart::kRegistrations)] = {
      .prefix = std::string(platform::kRegistrationPrefix),
      .watch_timeout = kConfigurationAndEndpointWatchTimeout,
      .watch_delay = kRegistrationWatchDelay};
  prefixes[static_cast<size_t>(ReplicaPart::kNodes)] = {
      .prefix = kNodeKeyPrefix,
      .watch_timeout = kNodeWatchTimeout,
      .watch_delay = kNodeWatchDelay};
  return prefixes;
}

void SendText(HttpExchange& exchange, int status, std::string_view body) {
  HttpResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "text/plain");
  SendComplete(exchange, std::move(head), body);
}

}  // namespace

Result<std::unique_ptr<GatewayProcess>> GatewayProcess::Create(
    const GatewaySettings& settings,
    std::string settings_path,
    const Clock& clock,
    OutputLog& log) {
  auto process = std::unique_ptr<GatewayProcess>(
      new GatewayProcess(settings, std::move(settings_path), clock, log));
  if (const auto started = process->StartListening(); !started) {
    return tl::unexpected(started.error());
  }
  return process;
}

GatewayProcess::GatewayProcess(const GatewaySettings& settings,
                               std::string settings_path,
                               const Clock& clock,
                               OutputLog& log)
    : settings_(settings),
      settings_path_(std::move(settings_path)),
      clock_(clock),
      log_(log),
      loop_(g_main_loop_new(nullptr, FALSE)),
      timers_(clock),
      memory_(PlanMemory(settings.memory_bytes)),
      descriptors_(PlanDescriptors(settings.max_descriptors)),
      http_client_(clock),
      store_(settings.store_address, http_client_, timers_),
      store_retry_queue_(timers_, ComponentSeed(settings, kStoreRetrySeed)),
      endpoint_adapter_(http_client_),
      stage_adapter_({http_client_, clock, timers_, endpoint_registry_, log}),
      retry_budget_(settings.repeats),
      coordinator_retry_budget_(
          CoordinatorRetryBudgetSettings(settings.repeats)),
      quarantine_records_({clock, store_, store_retry_queue_, log}),
      quarantine_(clock, timers_, log, &quarantine_records_),
      coordinator_({clock, timers_, stage_adapter_, endpoint_registry_,
                    coordinator_retry_budget_, log, &quarantine_},
                   ComponentSeed(settings, kCoordinatorSeed)),
      stage_relay_({clock, timers_, peer_dialer_, coordinator_, node_directory_,
                    retry_budget_, endpoint_registry_, log, settings.node,
                    MakeNodeRecord(settings), &quarantine_}),
      stage_service_(
          coordinator_,
          clock,
          timers_,
          [this] { return endpoint_registry_.SuspectedDomains(); },
          &quarantine_,
          &permit_buckets_),
      permit_client_({clock, timers_, peer_dialer_, endpoint_registry_,
                      node_directory_, permit_buckets_, log, settings.node,
                      MakeNodeRecord(settings)}),
      node_registration_(
          settings.node,
          MakeNodeRecord(settings),
          store_,
          timers_,
          log,
          {.on_store_response = [this] { replica_sources_.OnStoreResponded(); },
           .on_store_contact_lost = [this] { OnStoreUnresponsive(); },
           .is_watching = [this] { return replica_.is_watching(); }}),
      stream_versions_({clock, timers_, store_, endpoint_registry_, log,
                        MakeProcessName(settings, clock),
                        [this] { return AreRegistrationsCurrent(); },
                        [this] { return node_directory_.size(); }}),
      gateway_({clock, timers_, endpoint_adapter_, stage_adapter_, stage_relay_,
                endpoint_registry_, retry_budget_, log, settings.failure_domain,
                &quarantine_, &stream_versions_,
                [this] { return IsConfigurationOutdated(); },
                BufferedResponseLimit(settings.memory_bytes)},
               ComponentSeed(settings, kGatewaySeed)),
      evacuations_(endpoint_registry_, clock, log),
      registration_reconciler_(
          endpoint_registry_,
          timers_,
          log,
          [this] { replica_.Reload(ReplicaPart::kRegistrations); }),
      replica_({clock, timers_, store_, store_retry_queue_, log},
               WatchedPrefixes(settings),
               {.on_snapshot =
                    [this](ReplicaPart part,
                           const std::vector<StoreEntry>& entries,
                           bool was_unreachable) {
                      OnSnapshot(part, entries, was_unreachable);
                    },
                .on_change =
                    [this](ReplicaPart part, const StoreChange& change) {
                      OnChange(part, change);
                    }}),
      replica_service_(replica_, clock, timers_, log),
      replica_sources_({clock, timers_, peer_dialer_, node_directory_, replica_,
                        replica_service_, log, settings.node,
                        MakeNodeRecord(settings),
                        [this] { node_registration_.RenewNow(); },
                        [this] { replica_.ReadNodes(); }}) {
  settings_modification_time_ns_ = GetModificationTimeNs(settings_path_);
  timers_.set_on_pause(StageRelay::kSilenceTimeout,
                       [this](Duration pause) { OnPause(pause); });
}

GatewayProcess::~GatewayProcess() {
  g_main_loop_unref(loop_);
}

Result<void> GatewayProcess::StartListening() {
  auto caller_server = HttpServer::Create(
      {.address = settings_.caller_address,
       .max_connections = descriptors_.max_callers,
       .memory = &memory_,
       .has_descriptors =
           [this](size_t callers, size_t requests) {
             return HasDescriptors(callers, requests);
           }},
      clock_, [this](const auto& exchange) { OnCallerRequest(exchange); });
  if (!caller_server) {
    return tl::unexpected(caller_server.error());
  }
  caller_server_ = *std::move(caller_server);
  auto readiness_server = HttpServer::Create(
      {.address = settings_.readiness_address}, clock_,
      [this](const auto& exchange) { OnReadinessCheck(exchange); });
  if (!readiness_server) {
    return tl::unexpected(readiness_server.error());
  }
  readiness_server_ = *std::move(readiness_server);
  auto metrics_server = HttpServer::Create(
      {.address = settings_.metrics_address}, clock_,
      [this](const auto& exchange) { OnMetricsRequest(exchange); });
  if (!metrics_server) {
    return tl::unexpected(metrics_server.error());
  }
  metrics_server_ = *std::move(metrics_server);
  auto peers = TcpListener::Create(settings_.peer_address, [this](int fd) {
    stage_service_.Accept([fd](PeerLinkListener* listener) {
      return FrameLink::Accepted(fd, listener);
    });
  });
  if (!peers) {
    return tl::unexpected(peers.error());
  }
  peer_listener_ = *std::move(peers);
  auto subscribers =
      TcpListener::Create(settings_.replica_address, [this](int fd) {
        replica_service_.Accept([fd](PeerLinkListener* listener) {
          return FrameLink::Accepted(fd, listener);
        });
      });
  if (!subscribers) {
    return tl::unexpected(subscribers.error());
  }
  subscriber_listener_ = *std::move(subscribers);
  return {};
}

void GatewayProcess::OnPause(Duration pause) {
  log_.Write("process_paused",
             {{"ms", std::to_string(std::lround(ToMilliseconds(pause)))},
              {"sessions", std::to_string(stage_service_.session_count())}});
  stage_service_.CloseAllSessions();
  stage_relay_.NotePause();
  replica_sources_.OnProcessPaused();
  permit_client_.DiscardPermits();
}

void GatewayProcess::OnStoreUnresponsive() {
  replica_sources_.OnStoreUnresponsive();
  replica_.ReloadAll();
}

int GatewayProcess::Run() {
  replica_.ReadNodes();
  quarantine_records_.Load(
      [this](SuspectId id, int probes) { quarantine_.Restore(id, probes); });
  node_registration_.Start();
  settings_timer_ =
      timers_.After(kSettingsCheckInterval, [this] { CheckSettingsFile(); });
  CheckMemory();
  g_main_loop_run(loop_);
  return 0;
}

void GatewayProcess::OnCallerRequest(
    const std::shared_ptr<HttpExchange>& exchange) {
  gateway_.Handle(platform::DecodeCallerRequest(exchange->TakeRequest()),
                  exchange);
}

bool GatewayProcess::IsReady() const {
  return !is_stopping_ && gateway_.configuration() != nullptr &&
         replica_.is_loaded(ReplicaPart::kRegistrations);
}

void GatewayProcess::OnReadinessCheck(
    const std::shared_ptr<HttpExchange>& exchange) {
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  const bool is_ready = IsReady();
  SendText(*exchange, is_ready ? kOk : kUnavailable,
           is_ready ? "ready\n" : "not ready\n");
}

void GatewayProcess::OnMetricsRequest(
    const std::shared_ptr<HttpExchange>& exchange) {
  constexpr int kOk = 200;
  SendText(*exchange, kOk, FormatMetrics());
}

void GatewayProcess::CheckSettingsFile() {
  settings_timer_ =
      timers_.After(kSettingsCheckInterval, [this] { CheckSettingsFile(); });
  if (GetModificationTimeNs(settings_path_) != settings_modification_time_ns_) {
    ReloadSettings();
  }
}

void GatewayProcess::ReloadSettings() {
  settings_modification_time_ns_ = GetModificationTimeNs(settings_path_);
  Findings findings;
  const GatewaySettings new_settings =
      ReadSettingsFile(settings_path_, findings);
  if (!findings.empty()) {
    log_.Write("settings_rejected", {{"findings", ToString(findings)}});
    return;
  }
  retry_budget_.set_settings(new_settings.repeats);
  coordinator_retry_budget_.set_settings(
      CoordinatorRetryBudgetSettings(new_settings.repeats));
  store_.set_address(new_settings.store_address);
  if (!is_stopping_) {
    settings_.stop_grace = new_settings.stop_grace;
  }
  log_.Write("settings_reloaded",
             {{"file", settings_path_}, {"store", new_settings.store_address}});
}

bool GatewayProcess::HasDescriptors(size_t callers, size_t requests) const {
  const size_t limit = descriptors_.max_callers_and_calls;
  // The first sum counts the connections of open requests twice, and takes no
  // search of the idle ones.
  return callers + requests + http_client_.connection_count() <= limit ||
         callers + requests + http_client_.idle_connection_count() <= limit;
}

void GatewayProcess::CheckMemory() {
  memory_timer_ =
      timers_.After(kMemoryCheckInterval, [this] { CheckMemory(); });
  used_before_trim_ = std::max(used_before_trim_, memory_.used_bytes());
  if (used_before_trim_ - memory_.used_bytes() >= kMinTrimmedBytes) {
    malloc_trim(0);
    used_before_trim_ = memory_.used_bytes();
  }
  const MemoryCounters& counters = memory_.counters();
  if (counters == logged_memory_counters_) {
    return;
  }
  logged_memory_counters_ = counters;
  log_.Write(
      "memory_short",
      {{"used_bytes", std::to_string(memory_.used_bytes())},
       {"peak_bytes", std::to_string(memory_.peak_bytes())},
       {"limit_bytes", std::to_string(memory_.limits().total_bytes)},
       {"small_share_bytes",
        std::to_string(memory_.limits().small_share_bytes)},
       {"connections", std::to_string(caller_server_->connection_count())},
       {"max_connections", std::to_string(descriptors_.max_callers)},
       {"endpoint_connections",
        std::to_string(http_client_.connection_count())},
       {"max_connections_and_calls",
        std::to_string(descriptors_.max_callers_and_calls)},
       {"refused_unfinished", std::to_string(counters.refused_unfinished)},
       {"refused_new", std::to_string(counters.refused_new)},
       {"closed_idle", std::to_string(counters.closed_idle)}});
}

void GatewayProcess::RequestStop() {
  if (is_stopping_) {
    return;
  }
  is_stopping_ = true;
  stop_request_time_ = clock_.Now();
  stop_end_ = stop_request_time_ + settings_.stop_grace -
              settings_.stop_grace / kFinalResponseDivisor;
  forced_exit_time_ = stop_request_time_ + settings_.stop_grace -
                      settings_.stop_grace / kForcedExitDivisor;
  caller_server_->DisableKeepAlive();
  node_registration_.Stop();
  log_.Write("stopping",
             {{"open_requests", std::to_string(gateway_.open_requests())}});
  gateway_.BeginStopping(stop_request_time_ + kLoadBalancerRemovalDelay,
                         stop_end_);
  stop_timer_ =
      timers_.After(kStopCheckInterval, [this] { ContinueStopping(); });
}

bool GatewayProcess::IsUnused() const {
  return gateway_.open_requests() == 0 &&
         caller_server_->connection_count() == 0 &&
         stage_service_.unfinished_task_count() == 0;
}

void GatewayProcess::ContinueStopping() {
  const TimePoint now = clock_.Now();
  const Duration elapsed = now - stop_request_time_;
  gateway_.RefuseUnfinishableRequests();
  const bool is_removed = elapsed >= kLoadBalancerRemovalDelay;
  if (is_removed) {
    caller_server_->CloseIdleConnections();
  }
  // The connections that StopListening accepts are served before the exit, also
  // if the process was paused until then.
  const bool was_listening = caller_server_->is_listening();
  if (now >= stop_end_ || (is_removed && IsUnused())) {
    caller_server_->StopListening();
  }
  const bool is_done = is_removed && IsUnused();
  const bool is_forced = !is_done && !was_listening && now >= forced_exit_time_;
  if (is_done || is_forced) {
    gateway_.LogOpenRequests();
    const size_t open_connections = caller_server_->connection_count();
    caller_server_->EndAllConnections();
    log_.Write(
        "stopped",
        {{"open_requests", std::to_string(gateway_.open_requests())},
         {"open_connections", std::to_string(open_connections)},
         {"peer_tasks", std::to_string(stage_service_.unfinished_task_count())},
         {"forced", is_forced ? "1" : "0"}});
    g_main_loop_quit(loop_);
    return;
  }
  stop_timer_ =
      timers_.After(kStopCheckInterval, [this] { ContinueStopping(); });
}

}  // namespace peridotmill
