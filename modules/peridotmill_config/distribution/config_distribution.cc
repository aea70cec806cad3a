#include "peridotmill_config/distribution/config_distribution.h"

#include <algorithm>
#include <utility>

#include "peridotmill_config/distribution/part_fetching.h"
#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

Duration Spread(ConfigDistribution& state, Duration interval) {
  return std::chrono::duration_cast<Duration>(interval * state.random.Unit());
}

Revision RevisionOf(const ConfigDistribution& state) {
  return state.head ? state.head->revision : Revision(0);
}

// Notes that somebody answered, with the revision that it knows.
void NoteAnswer(ConfigDistribution& state, Revision revision, TimePoint now) {
  state.has_answer = true;
  if (!state.is_serving && now - state.started <= kStartWindow) {
    state.start_revision = std::max(state.start_revision, revision);
  }
}

void UpdateServing(ConfigDistribution& state, TimePoint now) {
  state.is_serving =
      state.is_serving ||
      (state.head && state.has_answer && now - state.started >= kStartWindow &&
       (RevisionOf(state) >= state.start_revision ||
        now - state.started >= kStartGiveUp));
}

void NotePeer(ConfigDistribution& state,
              const NodeId& peer,
              Revision revision) {
  if (state.peers.size() >= kMaxTrackedPeers && !state.peers.contains(peer)) {
    return;
  }
  state.peers[peer].revision = revision;
}

void ReadHead(ConfigDistribution& state,
              TimePoint now,
              DistributionCommands& commands) {
  if (state.read_timeout && now >= *state.read_timeout) {
    state.read_timeout.reset();
  }
  if (now < state.next_read || state.read_timeout) {
    return;
  }
  if (IsWatcher(state.self, state.view)) {
    state.next_read = std::max(state.next_read + kWatcherReadInterval,
                               now + kWatcherReadInterval / 2);
  } else {
    // From 0.8 to 1.2 intervals, so that nodes do not read in step.
    state.next_read =
        now + kReadInterval * 4 / 5 + Spread(state, kReadInterval * 2 / 5);
  }
  state.read_timeout = now + kStoreCallTimeout;
  ++state.counters.head_reads;
  commands.push_back(
      CallConfigStore{{ConfigCall::Kind::kReadHead, {}}, StoreRange{kHeadKey}});
}

// Starts or ends the duty of a watcher.
void UpdateWatch(ConfigDistribution& state,
                 TimePoint now,
                 DistributionCommands& commands) {
  const bool is_watcher = IsWatcher(state.self, state.view);
  if (!is_watcher) {
    if (state.is_watching) {
      state.is_watching = false;
      commands.push_back(StopConfigWatch{});
    }
    return;
  }
  // A new watcher reads within a second, not when its 30 s end.
  if (state.next_read > now + kWatcherReadInterval) {
    state.next_read = now + Spread(state, kWatcherReadInterval);
  }
  if (state.is_watching || now < state.next_watch) {
    return;
  }
  state.is_watching = true;
  commands.push_back(
      CallConfigStore{{ConfigCall::Kind::kWatchHead, {}},
                      StoreWatch{kHeadKey, {}, state.watch_after}});
}

void ApplyStoreHead(ConfigDistribution& state,
                    const StoreAnswer& answer,
                    TimePoint now,
                    DistributionCommands& commands) {
  state.watch_after = std::max(state.watch_after, answer.store_revision);
  const auto entry =
      std::find_if(answer.entries.rbegin(), answer.entries.rend(),
                   [](const StoreEntry& item) { return item.key == kHeadKey; });
  if (entry == answer.entries.rend() || entry->value.empty()) {
    NoteAnswer(state, Revision(0), now);
    return;
  }
  // While something else is pending, the store's head may be due again.
  if (entry->value == state.store_text &&
      (!state.pending || state.pending->text == entry->value)) {
    return;
  }
  Result<ConfigHead> head = DecodeHead(entry->value);
  if (!head || head->parts.size() > kMaxParts) {
    ++state.counters.malformed_heads;
    return;
  }
  state.store_text = entry->value;
  NoteAnswer(state, head->revision, now);
  ConsiderHead(state, std::move(*head), entry->value, NodeId(), now, commands);
}

void ApplyContent(ConfigDistribution& state,
                  const std::string& digest,
                  const std::string& content,
                  TimePoint now,
                  DistributionCommands& commands) {
  if (!state.pending || !state.pending->missing.contains(digest)) {
    return;
  }
  if (ContentDigest(content) != digest) {
    ++state.counters.digest_mismatches;
    // The next try asks another source.
    state.pending->missing[digest].timeout = now;
    return;
  }
  state.pending->missing.erase(digest);
  state.pending->fetched[digest] = content;
  ApplyPendingIfComplete(state, now, commands);
}

void ApplyPartRead(ConfigDistribution& state,
                   const std::string& digest,
                   const StoreAnswer& answer,
                   TimePoint now,
                   DistributionCommands& commands) {
  if (answer.status == StoreStatus::kOk && !answer.entries.empty()) {
    ApplyContent(state, digest, answer.entries.front().value, now, commands);
  } else if (state.pending && state.pending->missing.contains(digest)) {
    // The next try asks another source.
    state.pending->missing[digest].timeout = now;
  }
}

}  // namespace

bool IsWatcher(const NodeId& self, const DistributionPeers& peers) {
  const std::string key = "watch/" + peers.failure_domain.value();
  const uint64_t own = RendezvousScore(key, self.value());
  size_t better = 0;
  for (const NodeId& node : peers.domain_members) {
    if (node != self && RendezvousScore(key, node.value()) > own) {
      ++better;
    }
  }
  return better < kWatchersPerDomain;
}

ConfigDistribution MakeDistribution(const NodeId& self,
                                    uint64_t seed,
                                    TimePoint now) {
  ConfigDistribution state;
  state.self = self;
  state.random = Random(seed);
  state.started = now;
  state.next_serving_check = now + kStartWindow;
  // A node that starts reads at once.
  state.next_read = now;
  state.next_watch = now + Spread(state, kWatcherReadInterval);
  state.peer_tokens = {kPeerFetchBurst, now};
  state.store_tokens = {kStoreFetchBurst, now};
  return state;
}

DistributionCommands TickDistribution(ConfigDistribution& state,
                                      const DistributionPeers& peers,
                                      TimePoint now) {
  DistributionCommands commands;
  state.view = peers;
  UpdateWatch(state, now, commands);
  ReadHead(state, now, commands);
  FetchMissing(state, now, commands);
  UpdateServing(state, now);
  if (now >= state.next_serving_check) {
    const TimePoint give_up = state.started + kStartGiveUp;
    state.next_serving_check = now < give_up ? give_up : TimePoint::max();
  }
  return commands;
}

DistributionCommands ApplyConfigAnswer(ConfigDistribution& state,
                                       const ConfigCall& call,
                                       const StoreAnswer& answer,
                                       TimePoint now) {
  DistributionCommands commands;
  switch (call.kind) {
    case ConfigCall::Kind::kReadPart:
      ApplyPartRead(state, call.digest, answer, now, commands);
      break;
    case ConfigCall::Kind::kWatchHead:
      state.is_watching = false;
      // A failed watch is renewed after a jittered second; meanwhile the reads
      // find changes.
      if (answer.status == StoreStatus::kOk) {
        ApplyStoreHead(state, answer, now, commands);
        state.next_watch = now;
      } else {
        state.next_watch = now + kWatcherReadInterval / 2 +
                           Spread(state, kWatcherReadInterval);
      }
      break;
    case ConfigCall::Kind::kReadHead:
      state.read_timeout.reset();
      if (answer.status == StoreStatus::kOk) {
        ApplyStoreHead(state, answer, now, commands);
      }
      break;
  }
  UpdateServing(state, now);
  return commands;
}

DistributionCommands ConfigPeerUp(ConfigDistribution& state,
                                  const NodeId& peer,
                                  TimePoint now) {
  DistributionCommands commands;
  // The peer may be another process than before.
  state.peers.erase(peer);
  PushHead(state, {peer}, now, commands);
  return commands;
}

DistributionCommands ApplyPeerRevision(ConfigDistribution& state,
                                       const NodeId& from,
                                       Revision revision,
                                       TimePoint now) {
  DistributionCommands commands;
  NoteAnswer(state, revision, now);
  NotePeer(state, from, revision);
  const auto peer = state.peers.find(from);
  if (peer != state.peers.end() && revision < RevisionOf(state) &&
      now - peer->second.head_sent >= kHeadRepeatInterval) {
    PushHead(state, {from}, now, commands);
  }
  UpdateServing(state, now);
  return commands;
}

DistributionCommands ApplyPeerHead(ConfigDistribution& state,
                                   const NodeId& from,
                                   const std::string& text,
                                   TimePoint now) {
  DistributionCommands commands;
  Result<ConfigHead> head = DecodeHead(text);
  if (!head || head->parts.size() > kMaxParts) {
    ++state.counters.malformed_heads;
    return commands;
  }
  NoteAnswer(state, head->revision, now);
  NotePeer(state, from, head->revision);
  ConsiderHead(state, std::move(*head), text, from, now, commands);
  UpdateServing(state, now);
  return commands;
}

DistributionCommands ApplyPartRequest(const ConfigDistribution& state,
                                      const NodeId& from,
                                      const std::string& digest) {
  const auto part = state.parts.find(digest);
  if (part == state.parts.end()) {
    return {SendConfigPart{from, digest, {}, false}};
  }
  return {SendConfigPart{from, digest, part->second, true}};
}

DistributionCommands ApplyPart(ConfigDistribution& state,
                               const NodeId&,
                               const std::string& digest,
                               const std::string& content,
                               bool found,
                               TimePoint now) {
  DistributionCommands commands;
  if (found) {
    ApplyContent(state, digest, content, now, commands);
  } else if (state.pending && state.pending->missing.contains(digest)) {
    state.pending->missing[digest].timeout = now;
  }
  FetchMissing(state, now, commands);
  UpdateServing(state, now);
  return commands;
}

TimePoint NextDistributionWakeup(const ConfigDistribution& state,
                                 TimePoint /*now*/) {
  TimePoint next = state.read_timeout
                       ? std::max(state.next_read, *state.read_timeout)
                       : state.next_read;
  if (!state.is_watching && IsWatcher(state.self, state.view)) {
    next = std::min(next, state.next_watch);
  }
  if (!state.is_serving) {
    next = std::min(next, state.next_serving_check);
  }
  if (state.pending) {
    // A fixed time: one that moves with `now` would never be due.
    next = std::min(next, state.next_fetch);
  }
  return next;
}

DistributionStatus StatusOf(const ConfigDistribution& state) {
  DistributionStatus status;
  status.revision = RevisionOf(state);
  status.from = state.applied_from;
  status.since = state.applied_at;
  status.is_serving = state.is_serving;
  status.is_watcher = IsWatcher(state.self, state.view);
  status.pending = state.pending ? state.pending->head.revision : Revision(0);
  status.rejected = state.counters.rejected;
  return status;
}

}  // namespace peridotmill
