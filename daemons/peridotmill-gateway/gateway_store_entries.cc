// Applies what the replicated parts of the store say: the operators' entries,
// the registrations of endpoints, and those of nodes.
#include <malloc.h>

#include <algorithm>
#include <set>
#include <utility>

#include "daemons/peridotmill-gateway/gateway_process.h"
#include "platform/registration_codec.h"
#include "platform/wire_names.h"

namespace peridotmill {
namespace {

// Routes of a new configuration that are decoded before other work goes on.
constexpr size_t kRoutesPerStep = 64;
// Nodes whose registrations expired during an outage of the store register
// again within this time after it.
constexpr Duration kNodeReregistrationTime = std::chrono::seconds(3);
// Nodes hear at least every two seconds that the store responds.
constexpr Duration kMaxRegistrationAge = std::chrono::milliseconds(2500);
// Interval at which the number of nodes is read again until it is known.
constexpr Duration kNodeCountCheckInterval = std::chrono::milliseconds(500);

// Returns the endpoint's id: its registration's key without the prefix.
std::string_view EndpointIdFromKey(const StoreEntry& entry) {
  std::string_view id = entry.key;
  id.remove_prefix(std::min(id.size(), platform::kRegistrationPrefix.size()));
  return id;
}

// Returns the failure domain of an evacuation's key, or an empty one for other
// keys.
FailureDomainId EvacuatedDomainFromKey(std::string_view key) {
  return key.starts_with(platform::kEvacuationPrefix)
             ? FailureDomainId(key.substr(platform::kEvacuationPrefix.size()))
             : FailureDomainId();
}

}  // namespace

void GatewayProcess::OnSnapshot(ReplicaPart part,
                                const std::vector<StoreEntry>& entries,
                                bool was_unreachable) {
  switch (part) {
    case ReplicaPart::kConfiguration:
      OnOperatorSnapshot(entries, was_unreachable);
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
      OnOperatorChange(change);
      break;
    case ReplicaPart::kRegistrations:
      OnRegistrationChange(change);
      break;
    case ReplicaPart::kNodes:
      node_directory_.Apply(change);
      replica_sources_.OnNodesChanged();
      UpdateWarmUpBounds();
      break;
  }
}

void GatewayProcess::OnNodeSnapshot(const std::vector<StoreEntry>& entries,
                                    bool was_unreachable) {
  node_directory_.Replace(entries, was_unreachable);
  replica_sources_.OnNodesChanged();
  UpdateWarmUpBounds();
  if (was_unreachable) {
    node_reload_timer_ = timers_.After(kNodeReregistrationTime, [this] {
      replica_.Reload(ReplicaPart::kNodes);
    });
  }
}

void GatewayProcess::OnOperatorSnapshot(const std::vector<StoreEntry>& entries,
                                        bool was_unreachable) {
  std::set<FailureDomainId> evacuated;
  for (const StoreEntry& entry : entries) {
    if (const FailureDomainId domain = EvacuatedDomainFromKey(entry.key);
        !domain.empty()) {
      evacuated.insert(domain);
    } else {
      OnConfigurationEntry(entry);
    }
  }
  if (evacuations_.Replace(evacuated, was_unreachable)) {
    operator_reload_timer_ = timers_.After(kReregistrationGrace, [this] {
      replica_.Reload(ReplicaPart::kConfiguration);
    });
  }
}

void GatewayProcess::OnOperatorChange(const StoreChange& change) {
  const FailureDomainId domain = EvacuatedDomainFromKey(change.entry.key);
  if (domain.empty()) {
    if (!change.is_removed) {
      OnConfigurationEntry(change.entry);
    }
  } else if (change.is_removed) {
    evacuations_.End(domain);
  } else {
    evacuations_.Begin(domain);
  }
}

void GatewayProcess::UpdateWarmUpBounds() {
  warm_up_timer_.reset();
  if (!replica_.is_loaded(ReplicaPart::kNodes) ||
      gateway_.configuration() == nullptr) {
    return;
  }
  const TimePoint now = clock_.Now();
  RecordNodeCount(node_count_, static_cast<int>(node_directory_.size()), now);
  const int nodes = NodesToShareWith(node_count_, now);
  endpoint_registry_.SetWarmUpBounds(MakeWarmUpBounds(
      gateway_.configuration()->config(), nodes, settings_.node));
  if (nodes == 0) {
    warm_up_timer_ = timers_.After(kNodeCountCheckInterval,
                                   [this] { UpdateWarmUpBounds(); });
  }
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
    stream_versions_.SetConfiguration(*gateway_.configuration());
    stage_relay_.JoinNewsGroup(gateway_.configuration()->NewsGroup());
    UpdateWarmUpBounds();
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
      RecordWarmUp(*registration);
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
  RecordWarmUp(*registration);
  registration_reconciler_.Put(*std::move(registration));
}

void GatewayProcess::RecordWarmUp(const EndpointRegistration& registration) {
  RecordEndpointNotice(endpoint_registry_, log_, IncarnationOf(registration),
                       {.warm_up_left = registration.warm_up_left},
                       clock_.Now());
}

bool GatewayProcess::AreRegistrationsCurrent() const {
  const auto contact = replica_.last_store_contact();
  return replica_.is_loaded(ReplicaPart::kRegistrations) && contact &&
         clock_.Now() - *contact < kMaxRegistrationAge;
}

bool GatewayProcess::IsConfigurationOutdated() const {
  const bool is_decoding = configuration_timer_ != nullptr;
  return is_decoding || replica_sources_.IsConfigurationOutdated();
}

}  // namespace peridotmill
