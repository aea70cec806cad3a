#include "peridotmill_actions/home/claim_answers.h"

#include <algorithm>
#include <vector>

#include "peridotmill_actions/home/bucket_writer.h"

namespace peridotmill {
namespace {

bool IsVoided(const BucketLog& log, const Nonce& nonce) {
  return log.voided.contains(nonce.value());
}

ClaimReply HeldReply(const ActionRecord& record, const ClaimRequest& request) {
  ClaimReply reply;
  reply.nonce = request.nonce;
  reply.holder = record.claimant;
  reply.holder_incarnation = record.claimant_incarnation;
  if (record.nonce == request.nonce && !record.answer) {
    reply.status = ClaimStatus::kGranted;
  } else if (record.request_digest != request.request_digest) {
    reply.status = ClaimStatus::kKeyReused;
  } else if (record.answer) {
    reply.status = ClaimStatus::kDuplicate;
    reply.answer = *record.answer;
  } else {
    reply.status = ClaimStatus::kInProgress;
  }
  return reply;
}

bool IsFinal(ClaimStatus status) {
  return status != ClaimStatus::kPending && status != ClaimStatus::kInProgress;
}

}  // namespace

ClaimReply Evaluate(HomeContext&,
                    const Bucket& bucket,
                    const ClaimRequest& request) {
  const std::string scoped_key = ScopedKey(request.team, request.key);
  if (const ActionRecord* record = FindRecord(bucket.log, scoped_key)) {
    return HeldReply(*record, request);
  }
  ClaimReply reply;
  reply.nonce = request.nonce;
  if (bucket.log.tombstones.contains(KeyFingerprint(scoped_key))) {
    reply.status = ClaimStatus::kKeyExpired;
  } else if (IsVoided(bucket.log, request.nonce)) {
    // Its origin has given the claim up; nobody waits for this reply.
    reply.status = ClaimStatus::kStoreUnavailable;
  } else if (bucket.log.records.size() >= kMaxRecords ||
             bucket.log.tombstones.size() >= kMaxTombstones) {
    reply.status = ClaimStatus::kTableFull;
  }
  return reply;
}

bool IsUndecided(HomeContext& context,
                 const Bucket& bucket,
                 const ClaimRequest& request) {
  return Evaluate(context, bucket, request).status == ClaimStatus::kPending;
}

bool IsSettled(const BucketLog& log, const LogEntry& entry) {
  const ActionRecord* record =
      FindRecord(log, ScopedKey(entry.team, entry.key));
  const bool has_answer =
      record != nullptr && record->nonce == entry.nonce && record->answer;
  return has_answer ||
         (entry.kind == LogEntryKind::kVoid && IsVoided(log, entry.nonce));
}

bool IsInWrite(const Bucket& bucket, const Nonce& nonce) {
  return bucket.write && std::ranges::any_of(bucket.write->segment.entries,
                                             [&](const LogEntry& entry) {
                                               return entry.nonce == nonce;
                                             });
}

LogEntry ClaimEntryOf(const ClaimRequest& request) {
  LogEntry entry;
  entry.kind = LogEntryKind::kClaim;
  entry.team = request.team;
  entry.key = request.key;
  entry.nonce = request.nonce;
  entry.request_digest = request.request_digest;
  entry.claimant = request.claimant;
  entry.claimant_incarnation = request.claimant_incarnation;
  return entry;
}

void AnswerClaims(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  for (auto it = bucket.waiters.begin(); it != bucket.waiters.end();) {
    ClaimWaiter& waiter = it->second;
    if (waiter.deadline <= context.now.steady) {
      it = bucket.waiters.erase(it);
      continue;
    }
    const ClaimReply reply = Evaluate(context, bucket, waiter.request);
    if (IsFinal(reply.status)) {
      context.Send(waiter.origin, reply);
      it = bucket.waiters.erase(it);
      continue;
    }
    if (reply.status == ClaimStatus::kPending && !waiter.is_queued) {
      waiter.is_queued = Enqueue(context, index, ClaimEntryOf(waiter.request));
    }
    ++it;
  }
}

ActionLookupReply EvaluateLookup(const Bucket& bucket,
                                 const ActionLookup& lookup) {
  ActionLookupReply reply;
  reply.request = lookup.request;
  const std::string scoped_key = ScopedKey(lookup.team, lookup.key);
  if (const ActionRecord* record = FindRecord(bucket.log, scoped_key)) {
    reply.status =
        record->answer ? LookupStatus::kCompleted : LookupStatus::kInProgress;
    reply.answer = record->answer.value_or(ActionAnswer());
    reply.holder = record->claimant;
    reply.holder_incarnation = record->claimant_incarnation;
  } else if (bucket.log.tombstones.contains(KeyFingerprint(scoped_key))) {
    reply.status = LookupStatus::kKeyExpired;
  }
  return reply;
}

void AnswerLookups(HomeContext& context, int32_t index, uint64_t read) {
  Bucket& bucket = context.bucket(index);
  std::erase_if(bucket.lookups, [&](const LookupWaiter& waiter) {
    if (waiter.after_read >= read) {
      return false;
    }
    context.Send(waiter.origin, EvaluateLookup(bucket, waiter.lookup));
    return true;
  });
  if (!bucket.lookups.empty()) {
    bucket.is_read_needed = true;
  }
}

void RefuseUndecided(HomeContext& context, int32_t index) {
  Bucket& bucket = context.bucket(index);
  std::erase_if(bucket.waiters, [&](const auto& entry) {
    const ClaimWaiter& waiter = entry.second;
    if (bucket.phase == BucketPhase::kServing &&
        !IsUndecided(context, bucket, waiter.request)) {
      return false;
    }
    ClaimReply reply;
    reply.nonce = waiter.request.nonce;
    reply.status = ClaimStatus::kStoreUnavailable;
    reply.is_in_doubt = IsInWrite(bucket, reply.nonce);
    context.Send(waiter.origin, reply);
    return true;
  });
  for (const LookupWaiter& waiter : bucket.lookups) {
    ActionLookupReply reply;
    reply.request = waiter.lookup.request;
    reply.status = LookupStatus::kStoreUnavailable;
    context.Send(waiter.origin, reply);
  }
  bucket.lookups.clear();
}

}  // namespace peridotmill
