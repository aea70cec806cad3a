#ifndef PERIDOTMILL_CONFIG_PUBLISHING_PUBLICATION_H_
#define PERIDOTMILL_CONFIG_PUBLISHING_PUBLICATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_config/parts/head.h"
#include "peridotmill_config/parts/part.h"
#include "peridotmill_config/publishing/object_difference.h"
#include "peridotmill_core/errors/finding.h"
#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/store/store_call.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Bounds of one store transaction, counted as sent (base64).
inline constexpr size_t kMaxTxnBytes = 1 << 20;
inline constexpr size_t kMaxTxnOperations = 100;
// Failed or unanswered store calls before a publication gives up.
inline constexpr int kMaxPublicationFailures = 8;
inline constexpr Duration kMinPublicationDelay = std::chrono::milliseconds(100);
inline constexpr Duration kMaxPublicationDelay = std::chrono::seconds(2);

// Who publishes what, and on top of which revision.
struct PublicationRequest {
  // Revision that the operator edited from; 0 for the first publication.
  Revision base;
  // Random; identifies this publication in the store.
  Nonce nonce;
  std::string author;
  std::string comment;
  // Seconds since the Unix epoch.
  int64_t published_at = 0;
};

enum class PublicationStatus : uint8_t {
  kPublished,
  // The head already names exactly these parts; nothing was written.
  kUnchanged,
  // The head is not the base any more. `changes` tell what happened to it.
  kConflict,
  // `findings` tell why; nothing was written.
  kInvalid,
  // A part is too large for the store; nothing was put in force.
  kTooLarge,
  // Nothing was put in force.
  kUnavailable,
  // The head may have been written; a later look at the history by nonce tells.
  kUnknown,
};

struct PublicationResult {
  PublicationStatus status = PublicationStatus::kUnavailable;
  // Published revision, or the head's for kConflict and kUnchanged.
  Revision revision;
  // From the base to the head that won, for kConflict.
  std::vector<ObjectChange> changes;
  // Author of the head that won, for kConflict.
  std::string winner;
  Findings findings;
};

enum class PublicationStage : uint8_t {
  kReadingHead,
  kWritingParts,
  kWritingHead,
  // Looks for the own nonce and the base in the history.
  kReadingHistory,
  // Fetches the parts by which base and head differ.
  kReadingChanges,
  kDone,
};

// State of one publication; one store call is under way at a time.
struct Publication {
  PublicationRequest request;
  std::vector<PartReference> references;
  // Contents to be written; none for a rollback.
  std::vector<Part> contents;
  PublicationStage stage = PublicationStage::kReadingHead;
  // Position in `contents` up to which parts were written.
  size_t written = 0;
  // The batch under way ends here.
  size_t batch_end = 0;
  std::vector<size_t> batch;
  int64_t head_mod_revision = 0;
  std::optional<ConfigHead> head;
  std::optional<ConfigHead> base_head;
  // A head write was sent whose effect is not known.
  bool may_be_written = false;
  int failures = 0;
  std::vector<std::string> unread_changes;
  ObjectSet base_objects;
  ObjectSet head_objects;
  std::optional<TimePoint> retry_at;
  std::optional<PublicationResult> result;
  Random random{0};
};

// Starts a publication of a whole set. An invalid set gives a finished
// publication.
Publication StartPublication(const PublicationRequest& request,
                             const ObjectSet& objects,
                             uint64_t seed);

// Starts a publication of the parts of an earlier head as a new revision.
// @see HistoryRange
Publication StartRollback(const PublicationRequest& request,
                          const ConfigHead& target,
                          uint64_t seed);

// The next store call, if one is due: at the start, after each answer and when
// `retry_at` is reached. Each call must be answered by ApplyPublicationAnswer
// before the next is taken.
std::optional<StoreRequest> NextPublicationCall(Publication& publication,
                                                TimePoint now);
void ApplyPublicationAnswer(Publication& publication,
                            const StoreAnswer& answer,
                            TimePoint now);

// Reads up to `limit` heads from revision `from` on, in ascending order.
StoreRange HistoryRange(Revision from, int64_t limit);
// Leaves out records that are malformed.
std::vector<ConfigHead> ReadHistory(const StoreAnswer& answer);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_PUBLISHING_PUBLICATION_H_
