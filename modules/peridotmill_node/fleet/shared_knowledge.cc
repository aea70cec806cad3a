#include "peridotmill_node/fleet/shared_knowledge.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "peridotmill_node/fleet/fleet.h"
#include "peridotmill_node/fleet/fleet_commands.h"
#include "peridotmill_node/requests/endpoint_feedback.h"
#include "peridotmill_node/requests/prompt_prefix.h"
#include "peridotmill_node/requests/stage_scheduler.h"

namespace peridotmill {
namespace {

constexpr Duration kLoadReadInterval = std::chrono::seconds(1);
constexpr size_t kMaxMembersInRepair = 400;
constexpr Duration kTeamSweepInterval = std::chrono::seconds(10);

bool HasEngines(const NodeState& state, const PoolId& pool) {
  if (!state.config.objects) {
    return false;
  }
  const auto& stages = state.config.objects->stages;
  return std::any_of(stages.begin(), stages.end(), [&](const auto& entry) {
    return entry.second.pool == pool &&
           entry.second.role == StageRole::kGenerate;
  });
}

// Copies what the peers know of these endpoints into the endpoint table.
void UpdateEndpointTable(StepContext& context,
                         const std::vector<Fingerprint>& changed) {
  NodeState& state = context.state;
  FleetState& fleet = state.fleet;
  for (const Fingerprint fingerprint : changed) {
    const auto record = fleet.endpoints_by_fingerprint.find(fingerprint);
    const auto known = fleet.knowledge.endpoints.find(fingerprint);
    if (record == fleet.endpoints_by_fingerprint.end() ||
        known == fleet.knowledge.endpoints.end() ||
        known->second.value.is_unreachable) {
      continue;
    }
    const EndpointValue& value = known->second.value;
    if (value.is_leaving) {
      ApplyLeaving(state.endpoints, record->second.id,
                   record->second.incarnation, context.now);
      continue;
    }
    LoadReport report;
    report.endpoint = record->second.id;
    report.incarnation = record->second.incarnation;
    report.measured_at = ObservedAt(fleet.knowledge, known->second);
    report.load.running = value.running;
    report.load.waiting = value.waiting;
    report.load.memory_use = value.memory_use / 255.0;
    for (const Fingerprint model : known->second.models) {
      if (const auto name = fleet.models_by_fingerprint.find(model);
          name != fleet.models_by_fingerprint.end()) {
        report.load.loaded_models.push_back(name->second);
      }
    }
    LearnFromReport(context, report);
  }
  WakeAllPools(context);
}

// News that cannot wait for the next report: an endpoint is leaving.
void SendUrgent(StepContext& context,
                const std::optional<EndpointReportsMessage>& news) {
  if (!news) {
    return;
  }
  const MembershipState& members = context.state.fleet.members;
  SendMessage(context, ConnectedDomainPeers(members), *news);
  SendMessage(context, ConnectedRemoteRelays(members), *news);
}

// A relay passes leaving endpoints from one side to the other.
void ForwardLeaving(StepContext& context,
                    const NodeId& from,
                    const std::vector<Fingerprint>& changed) {
  const FleetState& fleet = context.state.fleet;
  if (!IsRelay(fleet.members)) {
    return;
  }
  const auto news = LeavingNews(fleet.knowledge, changed);
  const auto sender = fleet.members.entries.find(from);
  if (!news || sender == fleet.members.entries.end()) {
    return;
  }
  const bool is_from_own_domain =
      sender->second.member.failure_domain == fleet.members.self.failure_domain;
  SendMessage(context,
              is_from_own_domain ? ConnectedRemoteRelays(fleet.members)
                                 : ConnectedDomainPeers(fleet.members),
              *news);
}

void ReadAssignedEndpoints(StepContext& context) {
  FleetState& fleet = context.state.fleet;
  if (fleet.next_load_read > context.now) {
    return;
  }
  fleet.next_load_read = context.now + kLoadReadInterval;
  const NodeId& self = context.state.settings.id;
  const FailureDomainId& domain = context.state.settings.failure_domain;
  fleet.assigned =
      AssignedEndpoints(self, domain, UsableMembers(fleet.members, domain),
                        context.state.host_list.endpoints);
  for (const AssignedEndpoint& endpoint : fleet.assigned) {
    const EndpointRecord& record = endpoint.record;
    context.Emit(ReadLoad{record.id, record.address,
                          HasEngines(context.state, record.pool),
                          fleet.cache_sequences[record.id]});
  }
}

std::map<PoolId, int32_t> ConcurrencyByPool(const NodeState& state) {
  std::map<PoolId, int32_t> concurrency;
  if (state.config.objects) {
    for (const auto& [name, pool] : state.config.objects->pools) {
      concurrency[name] = pool.concurrency;
    }
  }
  return concurrency;
}

void SendSummaries(StepContext& context) {
  NodeState& state = context.state;
  FleetState& fleet = state.fleet;
  if (fleet.summaries.next_send > context.now || !IsRelay(fleet.members)) {
    return;
  }
  const auto messages = TakeSummaries(
      fleet.summaries,
      SummarisePools(fleet.knowledge, state.settings.failure_domain,
                     state.host_list.endpoints, ConcurrencyByPool(state)),
      context.now);
  if (!messages) {
    return;
  }
  if (!messages->to_remote_relays.pools.empty()) {
    std::vector<NodeId> served;
    for (const NodeId& relay : ConnectedRemoteRelays(fleet.members)) {
      if (ServesDomain(fleet.members,
                       fleet.members.entries.at(relay).member.failure_domain)) {
        served.push_back(relay);
      }
    }
    SendMessage(context, served, messages->to_remote_relays);
  }
  if (!messages->to_domain_peers.pools.empty()) {
    SendMessage(context, ConnectedDomainPeers(fleet.members),
                messages->to_domain_peers);
  }
}

// A team with one request running all the time has this decayed use in
// milliseconds; peers tell each other running requests.
double UseOfOneRequest() {
  constexpr double kLn2 = 0.693147;
  constexpr double kMillisecondsPerSecond = 1000;
  return std::chrono::duration<double>(kTeamUseHalfLife).count() / kLn2 *
         kMillisecondsPerSecond;
}

std::vector<TeamUseEntry> OwnTeamUse(const NodeState& state, TimePoint now) {
  std::vector<TeamUseEntry> entries;
  for (const TeamUse& team :
       TopTeamUse(state.team_shares, kMaxTeamsPerNode, now)) {
    entries.push_back({FingerprintOf(team.team.value()),
                       QuantiseUse(team.use / UseOfOneRequest())});
  }
  return entries;
}

}  // namespace

void TakeListedEndpoints(StepContext& context, const HostList& list) {
  FleetState& fleet = context.state.fleet;
  fleet.endpoints_by_fingerprint.clear();
  fleet.endpoints_by_hint.clear();
  std::set<Fingerprint> listed;
  for (const EndpointRecord& record : list.endpoints) {
    const Fingerprint fingerprint = FingerprintOf(record.id.value());
    fleet.endpoints_by_fingerprint[fingerprint] = record;
    fleet.endpoints_by_hint[static_cast<uint32_t>(fingerprint)] = record.id;
    listed.insert(fingerprint);
    if (record.is_leaving) {
      SendUrgent(context, RecordLeaving(fleet.knowledge, record, context.now));
    }
  }
  const std::vector<NodeId> members =
      UsableMembers(fleet.members, context.state.settings.failure_domain);
  RetainKnown(fleet.knowledge, listed, {members.begin(), members.end()});
  std::erase_if(fleet.cache_sequences, [&](const auto& entry) {
    return !listed.contains(FingerprintOf(entry.first.value()));
  });
}

void TakeLoad(StepContext& context, const LoadRead& read) {
  NodeState& state = context.state;
  FleetState& fleet = state.fleet;
  const auto assigned =
      std::find_if(fleet.assigned.begin(), fleet.assigned.end(),
                   [&](const AssignedEndpoint& endpoint) {
                     return endpoint.record.id == read.endpoint;
                   });
  if (assigned == fleet.assigned.end()) {
    return;
  }
  SendUrgent(context,
             RecordReading(fleet.knowledge, *assigned, read.load, context.now));
  if (read.load) {
    LearnFromReport(context, {read.endpoint, assigned->record.incarnation,
                              *read.load, context.now});
  }
}

void TakeCacheEvents(StepContext& context, const CacheEventsRead& read) {
  FleetState& fleet = context.state.fleet;
  std::vector<CacheEvent> events = read.events;
  for (CacheEvent& event : events) {
    event.prefix_hash = PrefixKey(event.prefix_hash);
  }
  ApplyCacheEvents(context.state.prefixes, read.endpoint, events, context.now);
  const auto endpoint =
      static_cast<uint32_t>(FingerprintOf(read.endpoint.value()));
  uint64_t& sequence = fleet.cache_sequences[read.endpoint];
  for (const CacheEvent& event : events) {
    sequence = std::max(sequence, event.sequence);
    QueueHint(fleet.cache_hints,
              {endpoint, static_cast<uint32_t>(event.prefix_hash)},
              event.is_evicted);
  }
}

void TakeReports(StepContext& context,
                 const NodeId& from,
                 const EndpointReportsMessage& message) {
  const std::vector<Fingerprint> changed =
      ApplyReports(context.state.fleet.knowledge, from, message, context.now);
  UpdateEndpointTable(context, changed);
  ForwardLeaving(context, from, changed);
}

void TakeCacheHints(StepContext& context, CacheHintsMessage message) {
  BoundHints(message);
  const FleetState& fleet = context.state.fleet;
  for (const CacheHint& hint : message.held) {
    const auto endpoint = fleet.endpoints_by_hint.find(hint.endpoint);
    if (endpoint != fleet.endpoints_by_hint.end()) {
      RecordPrefix(context.state.prefixes, endpoint->second, hint.prefix,
                   context.now);
    }
  }
}

void TakeTeamUse(StepContext& context,
                 const NodeId& from,
                 const TeamUseMessage& message) {
  constexpr double kStepsPerRequest = 16;
  FleetState& fleet = context.state.fleet;
  ApplyTeamUse(fleet.team_use, from, message, context.now);
  for (const TeamUseEntry& entry : message.entries) {
    const auto team = fleet.teams_by_fingerprint.find(entry.team);
    if (team != fleet.teams_by_fingerprint.end()) {
      ApplyPeerTeamUse(context.state.team_shares, from, team->second,
                       entry.use / kStepsPerRequest * UseOfOneRequest(),
                       context.now);
    }
  }
}

void TakeSummary(StepContext& context,
                 const NodeId& from,
                 const DomainSummaryMessage& message) {
  FleetState& fleet = context.state.fleet;
  const auto sender = fleet.members.entries.find(from);
  if (sender == fleet.members.entries.end()) {
    return;
  }
  const FailureDomainId& domain = sender->second.member.failure_domain;
  const bool is_forwarded = domain != fleet.members.self.failure_domain &&
                            IsRelay(fleet.members) &&
                            ServesDomain(fleet.members, domain);
  ApplySummary(fleet.summaries, message, is_forwarded, context.now);
}

void TakeDigestMessage(StepContext& context,
                       const NodeId& from,
                       const DigestMessage& message) {
  FleetState& fleet = context.state.fleet;
  DigestReplyMessage reply =
      AnswerDigest(fleet.knowledge, message, context.now);
  if (message.members_hash != MembersHash(fleet.members)) {
    reply.members = MembersForRepair(fleet.members, kMaxMembersInRepair);
  }
  if (!reply.values.empty() || !reply.models.empty() ||
      !reply.members.empty()) {
    SendMessage(context, from, reply);
  }
}

void TakeDigestReply(StepContext& context,
                     const NodeId& from,
                     const DigestReplyMessage& message) {
  FleetState& fleet = context.state.fleet;
  UpdateEndpointTable(
      context, ApplyDigestReply(fleet.knowledge, from, message, context.now));
  if (!message.members.empty()) {
    Execute(context,
            ApplyMemberDelta(fleet.members, from,
                             MemberDeltaMessage{message.members}, context.now));
  }
}

void TickSharedKnowledge(StepContext& context) {
  FleetState& fleet = context.state.fleet;
  ReadAssignedEndpoints(context);
  const std::vector<NodeId> domain_peers = ConnectedDomainPeers(fleet.members);
  if (const auto report = TakeReport(fleet.knowledge, context.now)) {
    SendMessage(context, domain_peers, *report);
  }
  if (const auto hints = TakeHints(fleet.cache_hints, context.now)) {
    SendMessage(context, domain_peers, *hints);
  }
  if (fleet.team_use.next_send <= context.now) {
    if (const auto use =
            TakeTeamUse(fleet.team_use, OwnTeamUse(context.state, context.now),
                        context.now)) {
      SendMessage(context, domain_peers, *use);
    }
  }
  if (fleet.knowledge.next_digest <= context.now) {
    if (const auto digest =
            TakeDigest(fleet.knowledge, domain_peers,
                       MembersHash(fleet.members), context.now)) {
      SendMessage(context, digest->peer, digest->message);
    }
  }
  SendSummaries(context);
  if (fleet.next_sweep <= context.now) {
    fleet.next_sweep = context.now + kTeamSweepInterval;
    RemoveIdleTeams(context.state.team_shares, context.now);
  }
}

TimePoint NextSharedKnowledgeWakeup(const NodeState& state) {
  const FleetState& fleet = state.fleet;
  return std::min(
      {NextKnowledgeWakeup(fleet.knowledge), fleet.next_load_read,
       std::max(fleet.team_use.next_send, fleet.knowledge.next_report)});
}

}  // namespace peridotmill
