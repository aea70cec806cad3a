#include "peridotmill_config/distribution/part_fetching.h"

#include <algorithm>
#include <utility>

#include "peridotmill_config/distribution/config_assembly.h"

namespace peridotmill {
namespace {

Revision RevisionOf(const ConfigDistribution& state) {
  return state.head ? state.head->revision : Revision(0);
}

bool TakeToken(FetchTokens& bucket, double burst, TimePoint now) {
  const std::chrono::duration<double> passed = now - bucket.refilled;
  bucket.refilled = now;
  bucket.tokens =
      std::min(burst, bucket.tokens + passed.count() * kPartFetchesPerSecond);
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

bool Contains(const std::vector<NodeId>& nodes, const NodeId& node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

// Empty means the store.
NodeId SourceFor(ConfigDistribution& state, int tries) {
  const NodeId& from = state.pending->from;
  const std::vector<NodeId>& peers = state.view.domain_peers;
  const bool is_reachable =
      Contains(peers, from) || Contains(state.view.remote_relays, from);
  switch (tries % 3) {
    case 0:
      return is_reachable ? from : NodeId();
    case 1:
      return NodeId();
    default:
      return peers.empty() ? NodeId() : peers[state.random.Below(peers.size())];
  }
}

// Returns false when the pace does not allow another request.
bool RequestPart(ConfigDistribution& state,
                 const std::string& digest,
                 PendingConfig::Fetch& fetch,
                 TimePoint now,
                 DistributionCommands& commands) {
  const NodeId source = SourceFor(state, fetch.tries);
  if (source.empty()) {
    if (!TakeToken(state.store_tokens, kStoreFetchBurst, now)) {
      return false;
    }
    ++state.counters.store_fetches;
    commands.push_back(CallConfigStore{{ConfigCall::Kind::kReadPart, digest},
                                       StoreRange{PartKey(digest)}});
  } else {
    if (!TakeToken(state.peer_tokens, kPeerFetchBurst, now)) {
      return false;
    }
    ++state.counters.peer_fetches;
    commands.push_back(RequestConfigPart{source, digest});
  }
  ++fetch.tries;
  fetch.timeout = now + kPartFetchTimeout;
  return true;
}

void Reject(ConfigDistribution& state,
            Findings findings,
            DistributionCommands& commands) {
  ++state.counters.rejected;
  commands.push_back(ConfigRejected{state.pending->head.revision,
                                    state.pending->from, std::move(findings)});
  state.rejected.push_back(state.pending->head.nonce);
  if (state.rejected.size() > kMaxRejected) {
    state.rejected.pop_front();
  }
  state.pending.reset();
}

bool IsBlockedByPending(const ConfigDistribution& state,
                        const ConfigHead& head,
                        TimePoint now) {
  return state.pending && head.revision <= state.pending->head.revision &&
         (head.nonce == state.pending->head.nonce ||
          now - state.pending->since < kPendingGiveUp);
}

// Keeps only the parts of the applied head.
void RetainParts(ConfigDistribution& state, PartContents contents) {
  state.parts.clear();
  for (const PartReference& part : state.head->parts) {
    const auto found = contents.find(part.digest);
    if (found != contents.end()) {
      state.parts.insert(contents.extract(found));
    }
  }
}

// A head learned within the domain has been pushed there by the node that
// brought it in; only the relays pass it on, to the other domains.
void PassOn(ConfigDistribution& state,
            TimePoint now,
            DistributionCommands& commands) {
  if (!Contains(state.view.domain_members, state.applied_from) ||
      state.applied_from.empty()) {
    PushHead(state, state.view.domain_peers, now, commands);
  }
  PushHead(state, state.view.remote_relays, now, commands);
}

}  // namespace

void ConsiderHead(ConfigDistribution& state,
                  ConfigHead head,
                  const std::string& text,
                  const NodeId& from,
                  TimePoint now,
                  DistributionCommands& commands) {
  const bool is_rejected =
      std::find(state.rejected.begin(), state.rejected.end(), head.nonce) !=
      state.rejected.end();
  if (head.revision <= RevisionOf(state) || is_rejected ||
      IsBlockedByPending(state, head, now)) {
    ++state.counters.old_heads;
    return;
  }
  PartContents fetched;
  if (state.pending) {
    fetched = std::move(state.pending->fetched);
  }
  PendingConfig pending;
  pending.text = text;
  pending.from = from;
  pending.since = now;
  for (const PartReference& part : head.parts) {
    if (state.parts.contains(part.digest)) {
      continue;
    }
    const auto found = fetched.find(part.digest);
    if (found == fetched.end()) {
      pending.missing[part.digest];
    } else {
      pending.fetched.insert(fetched.extract(found));
    }
  }
  pending.head = std::move(head);
  state.pending = std::move(pending);
  FetchMissing(state, now, commands);
  ApplyPendingIfComplete(state, now, commands);
}

void FetchMissing(ConfigDistribution& state,
                  TimePoint now,
                  DistributionCommands& commands) {
  if (!state.pending) {
    return;
  }
  state.next_fetch = now + kFetchInterval;
  for (auto& [digest, fetch] : state.pending->missing) {
    if (fetch.timeout && now < *fetch.timeout) {
      continue;
    }
    if (!RequestPart(state, digest, fetch, now, commands)) {
      return;
    }
  }
}

void ApplyPendingIfComplete(ConfigDistribution& state,
                            TimePoint now,
                            DistributionCommands& commands) {
  if (!state.pending || !state.pending->missing.empty()) {
    return;
  }
  PartContents contents = state.parts;
  contents.merge(state.pending->fetched);
  auto objects =
      AssembleConfig(state.pending->head, state.head ? &*state.head : nullptr,
                     state.objects.get(), contents);
  if (!objects) {
    Reject(state, std::move(objects.error()), commands);
    return;
  }
  state.head = std::move(state.pending->head);
  state.head_text = std::move(state.pending->text);
  state.applied_from = std::move(state.pending->from);
  state.applied_at = now;
  state.objects = std::move(*objects);
  state.pending.reset();
  RetainParts(state, std::move(contents));
  ++state.counters.applied;
  commands.push_back(
      ConfigApplied{state.head->revision, state.applied_from, state.objects});
  PassOn(state, now, commands);
}

void PushHead(ConfigDistribution& state,
              const std::vector<NodeId>& peers,
              TimePoint now,
              DistributionCommands& commands) {
  if (!state.head) {
    return;
  }
  for (const NodeId& peer : peers) {
    const auto known = state.peers.find(peer);
    if (known != state.peers.end() &&
        known->second.revision >= state.head->revision) {
      continue;
    }
    if (known != state.peers.end()) {
      known->second.head_sent = now;
    }
    commands.push_back(SendConfigHead{peer, state.head_text});
  }
}

}  // namespace peridotmill
