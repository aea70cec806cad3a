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
#include "platform/registration_codec.h"
#include "platform/wire_names.h"

namespace peridotmill {
namespace {

// File descriptors reserved for files, the store and calls to endpoints.
constexpr size_t kReservedFileDescriptors = 600;
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
// Routes of a new configuration that are decoded before other work goes on.
constexpr size_t kRoutesPerStep = 64;
// Give each component its own seed for random choices.
constexpr uint64_t kCoordinatorSeed = 1;
constexpr uint64_t kGatewaySeed = 2;
constexpr uint64_t kStoreRetrySeed = 3;
// Nodes whose registrations expired during an outage of the store register
// again within this time after it.
constexpr Duration kNodeReregistrationTime = std::chrono::seconds(3);

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

NodeRecord MakeNodeRecord(const GatewaySettings& settings) {
  return {.peer_address = settings.peer_address,
          .failure_domain = settings.failure_domain,
          .processor_share = settings.processor_share,
          .replica_address = settings.replica_address};
}

std::array<PrefixWatcherSettings, kReplicaPartCount> WatchedPrefixes() {
  std::array<PrefixWatcherSettings, kReplicaPartCount> prefixes;
  prefixes[static_cast<size_t>(ReplicaPart::kConfiguration)] = {
      .prefix = std::string(platform::kConfigurationKey),
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

// Returns the endpoint's id: its registration's key without the prefix.
std::string_view EndpointIdFromKey(const StoreEntry& entry) {
  std::string_view id = entry.key;
  id.remove_prefix(std::min(id.size(), platform::kRegistrationPrefix.size()));
  return id;
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
      http_client_(clock),
      store_(settings.store_address, http_client_, timers_),
      store_retry_queue_(timers_, ComponentSeed(settings, kStoreRetrySeed)),
      endpoint_adapter_(http_client_),
      stage_adapter_({http_client_, clock, timers_, endpoint_registry_, log}),
      retry_budget_(settings.repeats),
      coordinator_retry_budget_(
          CoordinatorRetryBudgetSettings(settings.repeats)),
      prompt_quarantine_(clock, timers_, log),
      coordinator_({clock, timers_, stage_adapter_, endpoint_registry_,
                    coordinator_retry_budget_, log, &prompt_quarantine_},
                   ComponentSeed(settings, kCoordinatorSeed)),
      stage_relay_({clock, timers_, peer_dialer_, coordinator_, node_directory_,
                    retry_budget_, endpoint_registry_, log, settings.node,
                    MakeNodeRecord(settings), &prompt_quarantine_}),
      stage_service_(
          coordinator_,
          clock,
          timers_,
          [this] { return endpoint_registry_.SuspectedDomains(); },
          &prompt_quarantine_,
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
      gateway_(
          {clock, timers_, endpoint_adapter_, stage_adapter_, stage_relay_,
           endpoint_registry_, retry_budget_, log, settings.failure_domain,
           &prompt_quarantine_, [this] { return IsConfigurationOutdated(); }},
          ComponentSeed(settings, kGatewaySeed)),
      registration_reconciler_(
          endpoint_registry_,
          timers_,
          log,
          [this] { replica_.Reload(ReplicaPart::kRegistrations); }),
      replica_({clock, timers_, store_, store_retry_queue_, log},
               WatchedPrefixes(),
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
  const size_t max_caller_connections =
      settings_.max_descriptors > 2 * kReservedFileDescriptors
          ? settings_.max_descriptors - kReservedFileDescriptors
          : settings_.max_descriptors / 2;
  auto caller_server = HttpServer::Create(
      {.address = settings_.caller_address,
       .max_connections = max_caller_connections},
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

void GatewayProcess::OnSnapshot(ReplicaPart part,
                                const std::vector<StoreEntry>& entries,
                                bool was_unreachable) {
  switch (part) {
    case ReplicaPart::kConfiguration:
      for (const StoreEntry& entry : entries) {
        OnConfigurationEntry(entry);
      }
      break;
    case ReplicaPart::kRegistrations:
      OnRegistrationSnapshot(entries, was_unreachable);
      break;
    case ReplicaPart::kNodes:
      OnNodeSnapshot(entries, was_unreachable);
      break;
  }
}

void GatewayProcess::OnChange(ReplicaPart part, const StoreChange& change) {
  switch (part) {
    case ReplicaPart::kConfiguration:
      if (!change.is_removed) {
        OnConfigurationEntry(change.entry);
      }
      break;
    case ReplicaPart::kRegistrations:
      OnRegistrationChange(change);
      break;
    case ReplicaPart::kNodes:
      node_directory_.Apply(change);
      replica_sources_.OnNodesChanged();
      break;
  }
}

void GatewayProcess::OnNodeSnapshot(const std::vector<StoreEntry>& entries,
                                    bool was_unreachable) {
  node_directory_.Replace(entries, was_unreachable);
  replica_sources_.OnNodesChanged();
  if (was_unreachable) {
    node_reload_timer_ = timers_.After(kNodeReregistrationTime, [this] {
      replica_.Reload(ReplicaPart::kNodes);
    });
  }
}

int GatewayProcess::Run() {
  replica_.ReadNodes();
  node_registration_.Start();
  settings_timer_ =
      timers_.After(kSettingsCheckInterval, [this] { CheckSettingsFile(); });
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

bool GatewayProcess::IsConfigurationOutdated() const {
  const bool is_decoding = configuration_timer_ != nullptr;
  return is_decoding || replica_sources_.IsConfigurationOutdated();
}

void GatewayProcess::OnConfigurationEntry(const StoreEntry& entry) {
  if (entry.key != platform::kConfigurationKey ||
      entry.mod_revision <= configuration_store_revision_) {
    return;
  }
  configuration_store_revision_ = entry.mod_revision;
  configuration_reader_.Begin(entry.value);
  ContinueConfiguration();
}

void GatewayProcess::ContinueConfiguration() {
  configuration_timer_.reset();
  if (!configuration_reader_.Continue(kRoutesPerStep)) {
    configuration_timer_ =
        timers_.After(Duration::zero(), [this] { ContinueConfiguration(); });
    return;
  }
  Findings findings = configuration_reader_.TakeFindings();
  GatewayConfig config = configuration_reader_.TakeConfiguration();
  if (findings.empty()) {
    findings = CheckGatewayConfig(config);
  }
  const std::string revision = std::to_string(config.revision.value());
  if (!findings.empty()) {
    log_.Write("configuration_rejected",
               {{"revision", revision}, {"findings", ToString(findings)}});
    return;
  }
  const HttpLimits limits = config.limits;
  const size_t route_count = config.routes.size();
  const bool is_adopted = gateway_.SetConfiguration(
      std::make_shared<const ActiveConfiguration>(std::move(config)));
  log_.Write(is_adopted ? "configuration_adopted" : "configuration_ignored",
             {{"revision", revision},
              {"store_revision", std::to_string(configuration_store_revision_)},
              {"routes", std::to_string(route_count)}});
  if (is_adopted) {
    coordinator_.SetConfiguration(gateway_.configuration());
    caller_server_->set_limits(limits);
    // Decoding a large document leaves much freed memory in the heap.
    malloc_trim(0);
  }
}

void GatewayProcess::OnRegistrationSnapshot(
    const std::vector<StoreEntry>& entries,
    bool was_unreachable) {
  std::vector<EndpointRegistration> registrations;
  for (const StoreEntry& entry : entries) {
    auto registration =
        platform::DecodeRegistration(EndpointIdFromKey(entry), entry.value);
    if (registration) {
      registrations.push_back(*std::move(registration));
    } else {
      log_.Write("registration_unreadable", {{"key", entry.key}});
    }
  }
  registration_reconciler_.Replace(std::move(registrations), was_unreachable);
}

void GatewayProcess::OnRegistrationChange(const StoreChange& change) {
  const std::string_view id = EndpointIdFromKey(change.entry);
  if (change.is_removed) {
    registration_reconciler_.Remove(EndpointId(id));
    return;
  }
  auto registration = platform::DecodeRegistration(id, change.entry.value);
  if (!registration) {
    log_.Write("registration_unreadable", {{"key", change.entry.key}});
    registration_reconciler_.Remove(EndpointId(id));
    return;
  }
  registration_reconciler_.Put(*std::move(registration));
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

std::string GatewayProcess::FormatMetrics() const {
  std::string page;
  const auto add = [&](const std::string& name, uint64_t value) {
    page += "peridotmill_" + name + " " + std::to_string(value) + "\n";
  };
  const GatewayCounters& counters = gateway_.counters();
  add("requests_total", counters.requests);
  add("requests_answered_total", counters.answered);
  add("requests_denied_total", counters.denied);
  add("requests_refused_total", counters.refused);
  add("requests_failed_total", counters.failed);
  add("requests_cut_total", counters.cut);
  add("requests_caller_gone_total", counters.caller_gone);
  add("repeats_total", counters.repeats);
  add("streams_resumed_total", counters.resumed_streams);
  add("open_requests", gateway_.open_requests());
  add("stage_tasks", coordinator_.task_count());
  add("stage_requests_waiting", coordinator_.waiting_request_count());
  add("stage_requests_started", coordinator_.started_request_count());
  add("stage_tasks_reassigned_total", stage_relay_.reassigned_task_count());
  const PromptQuarantineCounters& quarantine = prompt_quarantine_.counters();
  add("prompt_crashes_suspected_total", quarantine.suspected_crashes);
  add("prompt_parts_quarantined_total", quarantine.quarantined_parts);
  add("prompt_parts_cleared_total", quarantine.cleared_parts);
  add("prompt_parts_probed_total", quarantine.probes);
  add("nodes", node_directory_.size());
  add("store_watching", replica_.is_watching() ? 1 : 0);
  add("replica_sources", replica_sources_.source_count());
  add("replica_subscribers", replica_service_.subscriber_count());
  add("replica_frames_malformed_total",
      replica_service_.malformed_frame_count());
  add("endpoints", endpoint_registry_.size());
  add("endpoints_limited", endpoint_registry_.LimitedEndpoints().size());
  add("caller_connections", caller_server_->connection_count());
  add("callers_malformed_total", caller_server_->counters().malformed);
  add("callers_timed_out_total", caller_server_->counters().timed_out);
  add("connections_opened_total", http_client_.counters().connections_opened);
  add("connections_reused_total", http_client_.counters().connections_reused);
  add("foreign_answers_total", http_client_.counters().mismatched_responses);
  add("log_lines_dropped_total", log_.dropped());
  for (const ReasonInfo& info : AllReasons()) {
    add("reasons_total{reason=\"" + std::string(info.name) + "\"}",
        gateway_.reasons().Get(info.reason));
  }
  add("stage_requests_displaced_total", coordinator_.displaced_request_count());
  return page;
}

}  // namespace peridotmill
