#ifndef PERIDOTMILL_ACTIONS_MESSAGES_ACTION_MESSAGES_H_
#define PERIDOTMILL_ACTIONS_MESSAGES_ACTION_MESSAGES_H_

#include <chrono>
#include <variant>

#include "peridotmill_actions/log/log_entry.h"

namespace peridotmill {

// Origin to home: appends a claim. Repeats carry the same nonce.
struct ClaimRequest {
  TeamId team;
  IdempotencyKey key;
  std::string request_digest;
  Nonce nonce;
  NodeId claimant;
  Incarnation claimant_incarnation;
  // How long the origin still waits.
  std::chrono::milliseconds time_left{};
};

enum class ClaimStatus : uint8_t {
  // The claim is the first of its key in the log.
  kGranted,
  // `answer` is the recorded outcome of the same request.
  kDuplicate,
  // Another claim holds the key and has no outcome yet; another reply follows.
  kInProgress,
  // The claim waits to be written; another reply follows.
  kPending,
  kKeyReused,
  kKeyExpired,
  kStoreUnavailable,
  kTableFull,
};

struct ClaimReply {
  Nonce nonce;
  ClaimStatus status = ClaimStatus::kPending;
  ActionAnswer answer;
  // Claimant of the action in progress.
  NodeId holder;
  Incarnation holder_incarnation;
  // With a refusal: the claim is in a write that may still take effect.
  bool is_in_doubt = false;
};

// Origin to home: appends the outcome of a claim, or voids it.
struct OutcomeRecord {
  TeamId team;
  IdempotencyKey key;
  Nonce nonce;
  bool is_void = false;
  ActionAnswer answer;
};

// Home to origin: the outcome or void is in the log.
struct OutcomeAck {
  Nonce nonce;
};

// Origin to home: asks for the state of an action.
struct ActionLookup {
  RequestId request;
  TeamId team;
  IdempotencyKey key;
};

enum class LookupStatus : uint8_t {
  kCompleted,
  kInProgress,
  kNotFound,
  kKeyExpired,
  kStoreUnavailable,
};

struct ActionLookupReply {
  RequestId request;
  LookupStatus status = LookupStatus::kNotFound;
  ActionAnswer answer;
  NodeId holder;
  Incarnation holder_incarnation;
};

using ActionMessage = std::variant<ClaimRequest,
                                   ClaimReply,
                                   OutcomeRecord,
                                   OutcomeAck,
                                   ActionLookup,
                                   ActionLookupReply>;

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_MESSAGES_ACTION_MESSAGES_H_
