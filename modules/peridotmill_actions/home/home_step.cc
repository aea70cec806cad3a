#include "peridotmill_actions/home/home_step.h"

#include <algorithm>
#include <utility>

#include "peridotmill_actions/home/bucket_pruner.h"
#include "peridotmill_actions/home/bucket_reader.h"
#include "peridotmill_actions/home/bucket_writer.h"
#include "peridotmill_actions/home/claim_answers.h"

namespace peridotmill {
namespace {

// Another node may write the outcome that claims of this node wait for.
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
// A bucket read for a peer's sake is closed after this time without use.
constexpr Duration kCloseAfter = std::chrono::seconds(30);
// New homes spread their first reads over this time.
constexpr uint64_t kOpenSpreadMs = 2000;
constexpr Duration kProbeInterval = std::chrono::milliseconds(250);
constexpr uint64_t kProbeJitterMs = 250;
constexpr std::chrono::milliseconds kMaxWait(60'000);

bool IsDown(const HomeContext& context) {
  return IsKnownDown(context.state.health, context.now.steady);
}

void Continue(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  if (bucket.phase == BucketPhase::kServing) {
    AnswerClaims(context, index);
  }
  ContinueReading(context, index);
  ContinueWriting(context, index);
}

Bucket& UseBucket(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  bucket.last_used = context.now.steady;
  OpenBucket(context, index);
  return bucket;
}

// Keeps the claim until it is decided. Without room for another waiter, the
// origin's repeats take the place of the later reply.
void AddWaiter(HomeContext& context,
               int32_t index,
               const NodeId& from,
               const ClaimRequest& request) {
  Bucket& bucket = context.bucket(index);
  const auto found = bucket.waiters.find(request.nonce);
  if (found == bucket.waiters.end() &&
      bucket.waiters.size() >= kMaxClaimWaiters) {
    return;
  }
  ClaimWaiter& waiter = bucket.waiters[request.nonce];
  waiter.request = request;
  waiter.origin = from;
  waiter.deadline = context.now.steady + std::min(request.time_left, kMaxWait);
}

ClaimReply FirstReply(HomeContext& context,
                      const Bucket& bucket,
                      const ClaimRequest& request) {
  ClaimReply reply;
  reply.nonce = request.nonce;
  if (bucket.phase == BucketPhase::kServing) {
    reply = Evaluate(context, bucket, request);
  }
  if (reply.status != ClaimStatus::kPending) {
    return reply;
  }
  if (bucket.phase == BucketPhase::kMalformed || IsDown(context)) {
    reply.status = ClaimStatus::kStoreUnavailable;
  } else if (bucket.pending.size() >= kMaxPendingEntries) {
    reply.status = ClaimStatus::kTableFull;
  }
  reply.is_in_doubt = IsInWrite(bucket, request.nonce);
  return reply;
}

void TickBucket(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  const TimePoint now = context.now.steady;
  if (bucket.open_at && *bucket.open_at <= now) {
    OpenBucket(context, index);
  }
  if (bucket.phase == BucketPhase::kMalformed && bucket.next_read <= now) {
    ReloadBucket(context, index);
  }
  if (IsConfirmedDown(context.state.health, now) ||
      bucket.phase == BucketPhase::kMalformed) {
    RefuseUndecided(context, index);
  }
  if (!bucket.waiters.empty() && bucket.next_poll <= now) {
    bucket.next_poll = now + kPollInterval;
    bucket.is_read_needed = true;
  }
  if (bucket.phase == BucketPhase::kClosed) {
    return;
  }
  Continue(context, index);
  ContinuePruning(context, index);
  const bool is_idle = !IsBusy(bucket) && now - bucket.last_used > kCloseAfter;
  if (is_idle && HomeOf(index, context.state.nodes) != context.state.self) {
    bucket = Bucket();
  }
}

void Probe(HomeContext& context) {
  HomeState& state = context.state;
  if (state.is_probing || !HasFailed(state.health) ||
      context.now.steady < state.next_probe) {
    return;
  }
  state.is_probing = true;
  state.next_probe =
      context.now.steady + kProbeInterval +
      std::chrono::milliseconds(state.random.Below(kProbeJitterMs));
  context.Call({HomeOperationKind::kProbe, 0, 0},
               StoreRange{SegmentKey(0, 0), "", 1});
}

void NoteHealth(HomeContext& context, const StoreAnswer& answer) {
  StoreHealth& health = context.state.health;
  const TimePoint now = context.now.steady;
  if (answer.status != StoreStatus::kUnavailable) {
    NoteStoreAnswer(health, answer.status != StoreStatus::kUnknown, now);
    return;
  }
  NoteStoreRefusal(health, now);
  if (health.first_refused == now) {
    // One more call tells an outage from a broken connection.
    context.state.next_probe = now + kRefusalsMeanDown;
  }
}

}  // namespace

bool IsBusy(const Bucket& bucket) {
  return !bucket.pending.empty() || bucket.write || !bucket.waiters.empty() ||
         !bucket.lookups.empty() || bucket.is_reading ||
         bucket.is_read_needed || bucket.is_pruning;
}

void StepHome(HomeContext& context,
              const NodeId& from,
              const ClaimRequest& request) {
  const int32_t index = BucketOf(request.team, request.key);
  Bucket& bucket = UseBucket(context, index);
  const ClaimReply reply = FirstReply(context, bucket, request);
  context.Send(from, reply);
  if (reply.status == ClaimStatus::kPending ||
      reply.status == ClaimStatus::kInProgress) {
    if (bucket.waiters.empty()) {
      bucket.next_poll = context.now.steady + kPollInterval;
    }
    AddWaiter(context, index, from, request);
    Continue(context, index);
  }
}

void StepHome(HomeContext& context,
              const NodeId& from,
              const OutcomeRecord& record) {
  const int32_t index = BucketOf(record.team, record.key);
  Bucket& bucket = UseBucket(context, index);
  LogEntry entry;
  entry.kind = record.is_void ? LogEntryKind::kVoid : LogEntryKind::kOutcome;
  entry.team = record.team;
  entry.key = record.key;
  entry.nonce = record.nonce;
  entry.answer = record.answer;
  if (record.is_void) {
    bucket.waiters.erase(record.nonce);
  }
  if (bucket.phase == BucketPhase::kServing && IsSettled(bucket.log, entry)) {
    context.Send(from, OutcomeAck{record.nonce});
    return;
  }
  const bool is_known = bucket.acknowledgements.contains(record.nonce);
  if (is_known || Enqueue(context, index, std::move(entry))) {
    bucket.acknowledgements[record.nonce] = from;
  }
  Continue(context, index);
}

void StepHome(HomeContext& context,
              const NodeId& from,
              const ActionLookup& lookup) {
  const int32_t index = BucketOf(lookup.team, lookup.key);
  Bucket& bucket = UseBucket(context, index);
  ActionLookupReply reply;
  if (bucket.phase == BucketPhase::kServing) {
    reply = EvaluateLookup(bucket, lookup);
  }
  const bool is_final = reply.status == LookupStatus::kCompleted ||
                        reply.status == LookupStatus::kKeyExpired;
  if (is_final || IsDown(context)) {
    if (!is_final) {
      reply = {};
      reply.request = lookup.request;
      reply.status = LookupStatus::kStoreUnavailable;
    }
    context.Send(from, reply);
    return;
  }
  // Another node may have written since the last read.
  if (bucket.lookups.size() < kMaxLookupWaiters) {
    bucket.lookups.push_back({lookup, from, bucket.reads_started});
    bucket.is_read_needed = true;
  }
  Continue(context, index);
}

void StepHome(HomeContext& context,
              ActionOperation operation,
              const StoreAnswer& answer) {
  const auto found = context.state.operations.find(operation);
  if (found == context.state.operations.end()) {
    return;
  }
  const HomeOperation done = found->second;
  context.state.operations.erase(found);
  NoteHealth(context, answer);
  const uint64_t read = context.bucket(done.bucket).reads_started;
  switch (done.kind) {
    case HomeOperationKind::kProbe:
      context.state.is_probing = false;
      return;
    case HomeOperationKind::kReadTombstones:
      OnTombstonesRead(context, done.bucket, answer);
      break;
    case HomeOperationKind::kReadLog:
      if (OnLogRead(context, done.bucket, answer)) {
        ReleaseStaleWrite(context, done.bucket);
        AnswerLookups(context, done.bucket, read);
      }
      break;
    case HomeOperationKind::kWrite:
      OnWritten(context, done.bucket, done.sequence, answer);
      break;
    case HomeOperationKind::kPrune:
      OnPruned(context, done.bucket, done.sequence, answer);
      break;
  }
  Continue(context, done.bucket);
}

void SetHomeNodes(HomeContext& context, std::vector<ActionNode> nodes) {
  HomeState& state = context.state;
  state.nodes = std::move(nodes);
  for (int32_t index = 0; index < kBucketCount; ++index) {
    Bucket& bucket = context.bucket(index);
    const bool is_own = HomeOf(index, state.nodes) == state.self;
    if (!is_own) {
      bucket.open_at.reset();
    } else if (bucket.phase == BucketPhase::kClosed && !bucket.open_at) {
      bucket.open_at =
          context.now.steady +
          std::chrono::milliseconds(state.random.Below(kOpenSpreadMs));
    }
  }
}

void TickHome(HomeContext& context) {
  Probe(context);
  for (int32_t index = 0; index < kBucketCount; ++index) {
    TickBucket(context, index);
  }
}

}  // namespace peridotmill
