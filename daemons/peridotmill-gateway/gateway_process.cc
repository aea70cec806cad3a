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
#include "platform/configuration_codec.h"
#include "platform/registration_codec.h"
#include "platform/wire_names.h"

namespace peridotmill {
namespace {

// Descriptors kept for files, the store and calls to endpoints.
constexpr size_t kReservedDescriptors = 600;
// The settings file is looked at this often for changes without a signal.
constexpr Duration kSettingsInterval = std::chrono::seconds(2);
// The balancer asks once a second and takes a node out after two misses; idle
// connections stay open until then.
constexpr Duration kLeaveRotationTime = std::chrono::milliseconds(2600);
// Time before the process is killed in which no new request begins, and at
// which it ends whatever is open.
constexpr Duration kLastRequestMargin = std::chrono::milliseconds(3500);
constexpr Duration kForcedStopMargin = std::chrono::milliseconds(500);
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);
// Different seeds of the parts' random choices.
constexpr uint64_t kStageSeed = 1;
constexpr uint64_t kGatewaySeed = 2;
constexpr uint64_t kStoreSeed = 3;
// Nodes whose registration lapsed while the store was away have renewed it
// within this time of its return.
constexpr Duration kNodeReturnTime = std::chrono::seconds(3);

// Changes that come within these times share one answer of the store. Endpoints
// that leave go on for 2 s and more, and a configuration is due after 2 s; a
// node that comes or goes is found by its links.
constexpr Duration kRegistrationPause = std::chrono::milliseconds(300);
constexpr Duration kConfigurationPause = std::chrono::milliseconds(200);
constexpr Duration kNodePause = std::chrono::seconds(3);
// A watch may stay silent although there are changes; no bound may hang on it
// for longer than this.
constexpr Duration kBoundedWatchWait = std::chrono::seconds(2);
constexpr Duration kNodeWatchWait = std::chrono::seconds(5);

uint64_t SeedOf(const GatewaySettings& settings, uint64_t part) {
  return Hash64(settings.node.value(), part);
}

NodeRecord RecordOf(const GatewaySettings& settings) {
  return {.peer_address = settings.peer_address,
          .failure_domain = settings.failure_domain,
          .processor_share = settings.processor_share,
          .replica_address = settings.replica_address};
}

std::array<PrefixFollowerSettings, kReplicaPartCount> FollowedPrefixes() {
  std::array<PrefixFollowerSettings, kReplicaPartCount> prefixes;
  prefixes[static_cast<size_t>(ReplicaPart::kConfiguration)] = {
      .prefix = std::string(platform::kConfigurationKey),
      .watch_wait = kBoundedWatchWait,
      .pause = kConfigurationPause};
  prefixes[static_cast<size_t>(ReplicaPart::kRegistrations)] = {
      .prefix = std::string(platform::kRegistrationPrefix),
      .watch_wait = kBoundedWatchWait,
      .pause = kRegistrationPause};
  prefixes[static_cast<size_t>(ReplicaPart::kNodes)] = {
      .prefix = kNodePrefix, .watch_wait = kNodeWatchWait, .pause = kNodePause};
  return prefixes;
}

// The endpoint's id, which is the rest of its registration's key.
std::string_view RegistrationId(const StoreEntry& entry) {
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
  if (const auto listening = process->Listen(); !listening) {
    return tl::unexpected(listening.error());
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
      http_(clock),
      store_(settings.store_address, http_, timers_),
      store_recovery_(timers_, SeedOf(settings, kStoreSeed)),
      endpoint_adapter_(http_),
      stage_adapter_(http_, timers_),
      repeats_(settings.repeats),
      stage_repeats_(CoordinatorSettings(settings.repeats)),
      coordinator_(
          {clock, timers_, stage_adapter_, endpoints_, stage_repeats_, log},
          SeedOf(settings, kStageSeed)),
      stages_({clock, timers_, dialer_, coordinator_, nodes_, repeats_,
               endpoints_, log, settings.node, RecordOf(settings)}),
      stage_service_(coordinator_,
                     clock,
                     timers_,
                     [this] { return endpoints_.SuspectedDomains(); }),
      node_registration_(
          settings.node,
          RecordOf(settings),
          store_,
          timers_,
          log,
          {.on_answer = [this] { sources_.NoteOwnContact(); },
           .on_silence = [this] { OnStoreSilent(); },
           .is_watching = [this] { return replica_.is_watching(); }}),
      gateway_({clock, timers_, endpoint_adapter_, stage_adapter_, stages_,
                endpoints_, repeats_, log, settings.failure_domain},
               SeedOf(settings, kGatewaySeed)),
      registrations_(
          endpoints_,
          timers_,
          log,
          [this] { replica_.ReadAgain(ReplicaPart::kRegistrations); }),
      replica_({clock, timers_, store_, store_recovery_, log},
               FollowedPrefixes(),
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
      sources_({clock, timers_, dialer_, nodes_, replica_, replica_service_,
                log, settings.node, RecordOf(settings),
                [this] { node_registration_.RenewNow(); },
                [this] { replica_.ReadNodes(); }}) {
  settings_changed_at_ = ModificationTime(settings_path_);
  timers_.set_on_pause(StageRelay::kSilenceTimeout,
                       [this](Duration pause) { OnPause(pause); });
}

GatewayProcess::~GatewayProcess() {
  g_main_loop_unref(loop_);
}

Result<void> GatewayProcess::Listen() {
  const size_t callers = settings_.max_descriptors > 2 * kReservedDescriptors
                             ? settings_.max_descriptors - kReservedDescriptors
                             : settings_.max_descriptors / 2;
  auto caller_server = HttpServer::Create(
      {.address = settings_.caller_address, .max_connections = callers}, clock_,
      [this](const auto& exchange) { OnCallerRequest(exchange); });
  if (!caller_server) {
    return tl::unexpected(caller_server.error());
  }
  callers_ = *std::move(caller_server);
  auto readiness_server = HttpServer::Create(
      {.address = settings_.readiness_address}, clock_,
      [this](const auto& exchange) { OnReadinessCheck(exchange); });
  if (!readiness_server) {
    return tl::unexpected(readiness_server.error());
  }
  readiness_ = *std::move(readiness_server);
  auto metrics_server = HttpServer::Create(
      {.address = settings_.metrics_address}, clock_,
      [this](const auto& exchange) { OnMetricsRequest(exchange); });
  if (!metrics_server) {
    return tl::unexpected(metrics_server.error());
  }
  metrics_ = *std::move(metrics_server);
  auto peers = TcpListener::Create(settings_.peer_address, [this](int fd) {
    stage_service_.Accept([fd](PeerLinkListener* listener) {
      return FrameLink::Accepted(fd, listener);
    });
  });
  if (!peers) {
    return tl::unexpected(peers.error());
  }
  peers_ = *std::move(peers);
  auto subscribers =
      TcpListener::Create(settings_.replica_address, [this](int fd) {
        replica_service_.Accept([fd](PeerLinkListener* listener) {
          return FrameLink::Accepted(fd, listener);
        });
      });
  if (!subscribers) {
    return tl::unexpected(subscribers.error());
  }
  subscribers_ = *std::move(subscribers);
  return {};
}

void GatewayProcess::OnPause(Duration pause) {
  log_.Write("process_paused",
             {{"ms", std::to_string(std::lround(ToMilliseconds(pause)))},
              {"sessions", std::to_string(stage_service_.session_count())}});
  stage_service_.ReleaseAll();
  stages_.NotePause();
  sources_.NotePause();
}

void GatewayProcess::OnStoreSilent() {
  sources_.NoteOwnSilence();
  replica_.ReadAllAgain();
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
      OnRegistrations(entries, was_unreachable);
      break;
    case ReplicaPart::kNodes:
      OnNodes(entries, was_unreachable);
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
      nodes_.Apply(change);
      sources_.OnNodesChanged();
      break;
  }
}

void GatewayProcess::OnNodes(const std::vector<StoreEntry>& entries,
                             bool was_unreachable) {
  nodes_.Replace(entries, was_unreachable);
  sources_.OnNodesChanged();
  if (was_unreachable) {
    node_read_timer_ = timers_.After(
        kNodeReturnTime, [this] { replica_.ReadAgain(ReplicaPart::kNodes); });
  }
}

int GatewayProcess::Run() {
  replica_.ReadNodes();
  node_registration_.Start();
  settings_timer_ =
      timers_.After(kSettingsInterval, [this] { CheckSettingsFile(); });
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
         replica_.knows(ReplicaPart::kRegistrations);
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
  SendText(*exchange, kOk, MetricsPage());
}

void GatewayProcess::OnConfigurationEntry(const StoreEntry& entry) {
  if (entry.key != platform::kConfigurationKey) {
    return;
  }
  Findings findings;
  GatewayConfig config = platform::DecodeConfiguration(entry.value, findings);
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
              {"store_revision", std::to_string(entry.mod_revision)},
              {"routes", std::to_string(route_count)}});
  if (is_adopted) {
    coordinator_.SetConfiguration(gateway_.configuration());
    callers_->set_limits(limits);
    // Decoding a large document leaves free pages behind.
    malloc_trim(0);
  }
}

void GatewayProcess::OnRegistrations(const std::vector<StoreEntry>& entries,
                                     bool was_unreachable) {
  std::vector<EndpointRegistration> registrations;
  for (const StoreEntry& entry : entries) {
    auto registration =
        platform::DecodeRegistration(RegistrationId(entry), entry.value);
    if (registration) {
      registrations.push_back(*std::move(registration));
    } else {
      log_.Write("registration_unreadable", {{"key", entry.key}});
    }
  }
  registrations_.Replace(std::move(registrations), was_unreachable);
}

void GatewayProcess::OnRegistrationChange(const StoreChange& change) {
  const std::string_view id = RegistrationId(change.entry);
  if (change.is_removed) {
    registrations_.Remove(EndpointId(id));
    return;
  }
  auto registration = platform::DecodeRegistration(id, change.entry.value);
  if (!registration) {
    log_.Write("registration_unreadable", {{"key", change.entry.key}});
    registrations_.Remove(EndpointId(id));
    return;
  }
  registrations_.Put(*std::move(registration));
}

void GatewayProcess::CheckSettingsFile() {
  settings_timer_ =
      timers_.After(kSettingsInterval, [this] { CheckSettingsFile(); });
  if (ModificationTime(settings_path_) != settings_changed_at_) {
    ReloadSettings();
  }
}

void GatewayProcess::ReloadSettings() {
  settings_changed_at_ = ModificationTime(settings_path_);
  Findings findings;
  const GatewaySettings changed = ReadSettingsFile(settings_path_, findings);
  if (!findings.empty()) {
    log_.Write("settings_rejected", {{"findings", ToString(findings)}});
    return;
  }
  repeats_.set_settings(changed.repeats);
  stage_repeats_.set_settings(CoordinatorSettings(changed.repeats));
  store_.set_address(changed.store_address);
  settings_.stop_grace = changed.stop_grace;
  log_.Write("settings_reloaded",
             {{"file", settings_path_}, {"store", changed.store_address}});
}

void GatewayProcess::RequestStop() {
  if (is_stopping_) {
    return;
  }
  is_stopping_ = true;
  stop_requested_ = clock_.Now();
  callers_->StopKeepingConnections();
  node_registration_.Stop();
  log_.Write("stopping",
             {{"open_requests", std::to_string(gateway_.open_requests())}});
  stop_timer_ =
      timers_.After(kLeaveRotationTime, [this] { ContinueStopping(); });
}

void GatewayProcess::ContinueStopping() {
  const Duration elapsed = clock_.Now() - stop_requested_;
  if (elapsed > settings_.stop_grace - kLastRequestMargin) {
    gateway_.StopAccepting();
  }
  callers_->CloseIdleConnections();
  const bool is_forced = elapsed > settings_.stop_grace - kForcedStopMargin;
  if (is_forced ||
      (gateway_.open_requests() == 0 && callers_->connection_count() == 0)) {
    log_.Write("stopped",
               {{"open_requests", std::to_string(gateway_.open_requests())},
                {"forced", is_forced ? "1" : "0"}});
    g_main_loop_quit(loop_);
    return;
  }
  stop_timer_ =
      timers_.After(kStopCheckInterval, [this] { ContinueStopping(); });
}

std::string GatewayProcess::MetricsPage() const {
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
  add("stage_requests_waiting", coordinator_.waiting_requests());
  add("stage_requests_started", coordinator_.started_requests());
  add("stage_tasks_reassigned_total", stages_.reassigned_count());
  add("nodes", nodes_.size());
  add("store_watching", replica_.is_watching() ? 1 : 0);
  add("replica_sources", sources_.link_count());
  add("replica_subscribers", replica_service_.subscriber_count());
  add("replica_frames_malformed_total", replica_service_.malformed_count());
  add("endpoints", endpoints_.size());
  add("caller_connections", callers_->connection_count());
  add("callers_malformed_total", callers_->counters().malformed);
  add("callers_timed_out_total", callers_->counters().timed_out);
  add("connections_opened_total", http_.counters().connections_opened);
  add("connections_reused_total", http_.counters().connections_reused);
  add("foreign_answers_total", http_.counters().mismatched_responses);
  add("log_lines_dropped_total", log_.dropped());
  for (const ReasonInfo& info : AllReasons()) {
    add("reasons_total{reason=\"" + std::string(info.name) + "\"}",
        gateway_.reasons().Get(info.reason));
  }
  return page;
}

}  // namespace peridotmill
