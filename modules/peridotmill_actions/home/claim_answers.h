#ifndef PERIDOTMILL_ACTIONS_HOME_CLAIM_ANSWERS_H_
#define PERIDOTMILL_ACTIONS_HOME_CLAIM_ANSWERS_H_

#include "peridotmill_actions/home/home_context.h"

namespace peridotmill {

// What the log says of a claim.
ClaimReply Evaluate(HomeContext& context,
                    const Bucket& bucket,
                    const ClaimRequest& request);

// Whether nothing in the log decides the claim, so that it must be written.
bool IsUndecided(HomeContext& context,
                 const Bucket& bucket,
                 const ClaimRequest& request);

// Whether the log shows the effect of an outcome or void.
bool IsSettled(const BucketLog& log, const LogEntry& entry);

// Whether an unsettled write holds an entry of this nonce.
bool IsInWrite(const Bucket& bucket, const Nonce& nonce);

LogEntry ClaimEntryOf(const ClaimRequest& request);

// Answers the claims that are decided and queues those that became free.
void AnswerClaims(HomeContext& context, int32_t index);

// Answers the lookups that a read numbered up to `read` has settled.
void AnswerLookups(HomeContext& context, int32_t index, uint64_t read);

// What the log says of an action.
ActionLookupReply EvaluateLookup(const Bucket& bucket,
                                 const ActionLookup& lookup);

// Refuses all claims and lookups that only the store could decide.
void RefuseUndecided(HomeContext& context, int32_t index);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_HOME_CLAIM_ANSWERS_H_
