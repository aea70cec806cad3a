#include "peridotmill_config/publishing/publication.h"

#include <algorithm>
#include <set>
#include <utility>

#include "peridotmill_config/validation/object_validator.h"

namespace peridotmill {
namespace {

// Head and history record take two operations of the last transaction.
constexpr size_t kHeadOperations = 2;

size_t EncodedSize(const std::string& key, size_t value_size) {
  // Base64 makes four bytes of three; the rest is JSON around it.
  return (key.size() + value_size + 4) / 3 * 4 + 64;
}

void Finish(Publication& publication, PublicationStatus status) {
  PublicationResult result;
  result.status = status;
  if (publication.head) {
    result.revision = publication.head->revision;
    result.winner = publication.head->author;
  }
  publication.result = std::move(result);
  publication.stage = PublicationStage::kDone;
}

void FinishPublished(Publication& publication) {
  Finish(publication, PublicationStatus::kPublished);
  publication.result->revision = publication.request.base + Revision(1);
  publication.result->winner.clear();
}

// A lost race is known as such even if its difference cannot be read.
PublicationStatus StatusAfterFailures(const Publication& publication) {
  if (publication.stage == PublicationStage::kReadingChanges) {
    return PublicationStatus::kConflict;
  }
  if (publication.may_be_written) {
    return PublicationStatus::kUnknown;
  }
  return publication.stage == PublicationStage::kReadingHistory
             ? PublicationStatus::kConflict
             : PublicationStatus::kUnavailable;
}

// Repeats the stage's call later, or gives up.
void RetryLater(Publication& publication, TimePoint now) {
  if (++publication.failures > kMaxPublicationFailures) {
    Finish(publication, StatusAfterFailures(publication));
    return;
  }
  const int doublings = std::min(publication.failures - 1, 5);
  const Duration base =
      std::min(kMinPublicationDelay * (1 << doublings), kMaxPublicationDelay);
  publication.retry_at = now + std::chrono::duration_cast<Duration>(
                                   base * (0.5 + publication.random.Unit()));
}

ConfigHead NewHead(const Publication& publication) {
  ConfigHead head;
  head.revision = publication.request.base + Revision(1);
  head.nonce = publication.request.nonce;
  head.author = publication.request.author;
  head.comment = publication.request.comment;
  head.published_at = publication.request.published_at;
  head.parts = publication.references;
  return head;
}

bool IsInHead(const Publication& publication, const Part& part) {
  if (!publication.head) {
    return false;
  }
  const auto& parts = publication.head->parts;
  return std::any_of(parts.begin(), parts.end(), [&part](const auto& known) {
    return known.digest == part.digest;
  });
}

// Contents that the store lacks, up to the bounds of one transaction.
void ChooseBatch(Publication& publication) {
  publication.batch.clear();
  const std::string head = EncodeHead(NewHead(publication));
  size_t bytes = 2 * EncodedSize(kHistoryPrefix, head.size()) + 256;
  size_t next = publication.written;
  for (; next < publication.contents.size(); ++next) {
    const Part& part = publication.contents[next];
    if (IsInHead(publication, part)) {
      continue;
    }
    const size_t size = EncodedSize(PartKey(part.digest), part.content.size());
    if (bytes + size > kMaxTxnBytes ||
        publication.batch.size() + kHeadOperations >= kMaxTxnOperations) {
      break;
    }
    bytes += size;
    publication.batch.push_back(next);
  }
  publication.batch_end = next;
}

void ContinueWriting(Publication& publication) {
  ChooseBatch(publication);
  if (publication.batch_end == publication.contents.size()) {
    publication.stage = PublicationStage::kWritingHead;
  } else if (publication.batch.empty()) {
    Finish(publication, PublicationStatus::kTooLarge);
  } else {
    publication.stage = PublicationStage::kWritingParts;
  }
}

StoreTxn PartsTxn(const Publication& publication) {
  StoreTxn txn;
  for (const size_t index : publication.batch) {
    const Part& part = publication.contents[index];
    txn.puts.push_back({PartKey(part.digest), part.content});
  }
  return txn;
}

StoreTxn HeadTxn(const Publication& publication) {
  StoreTxn txn = PartsTxn(publication);
  const ConfigHead head = NewHead(publication);
  const std::string text = EncodeHead(head);
  txn.compares.push_back({kHeadKey, StoreCompare::Target::kModRevision,
                          publication.head_mod_revision});
  txn.puts.push_back({kHeadKey, text});
  txn.puts.push_back({HistoryKey(head.revision), text});
  return txn;
}

StoreRange BaseHistoryRange(const Publication& publication) {
  // Holds the base and, if it was written, this publication.
  StoreRange range;
  range.key = HistoryKey(publication.request.base);
  range.range_end = HistoryKey(publication.request.base + Revision(2));
  return range;
}

void ApplyHeadRead(Publication& publication, const StoreAnswer& answer) {
  publication.head.reset();
  publication.head_mod_revision = 0;
  if (!answer.entries.empty()) {
    Result<ConfigHead> head = DecodeHead(answer.entries.front().value);
    if (!head) {
      Finish(publication, PublicationStatus::kUnavailable);
      publication.result->findings.push_back(
          {{}, std::string(kHeadKey) + ": " + head.error().message()});
      return;
    }
    publication.head = std::move(*head);
    publication.head_mod_revision = answer.entries.front().mod_revision;
  }
  const Revision current =
      publication.head ? publication.head->revision : Revision(0);
  if (publication.head &&
      publication.head->nonce == publication.request.nonce) {
    FinishPublished(publication);
  } else if (current != publication.request.base) {
    publication.stage = PublicationStage::kReadingHistory;
  } else if (publication.head &&
             publication.head->parts == publication.references) {
    Finish(publication, PublicationStatus::kUnchanged);
  } else {
    ContinueWriting(publication);
  }
}

void FinishConflict(Publication& publication) {
  Finish(publication, PublicationStatus::kConflict);
  publication.result->changes =
      ObjectDifference(publication.base_objects, publication.head_objects);
}

std::set<std::string> DigestsOf(const std::optional<ConfigHead>& head) {
  std::set<std::string> digests;
  if (head) {
    for (const PartReference& part : head->parts) {
      digests.insert(part.digest);
    }
  }
  return digests;
}

void ListChanges(Publication& publication) {
  const std::set<std::string> base = DigestsOf(publication.base_head);
  const std::set<std::string> current = DigestsOf(publication.head);
  std::set_symmetric_difference(base.begin(), base.end(), current.begin(),
                                current.end(),
                                std::back_inserter(publication.unread_changes));
  if (publication.unread_changes.empty()) {
    FinishConflict(publication);
  } else {
    publication.stage = PublicationStage::kReadingChanges;
  }
}

void ApplyHistoryRead(Publication& publication, const StoreAnswer& answer) {
  for (ConfigHead& record : ReadHistory(answer)) {
    if (record.nonce == publication.request.nonce) {
      FinishPublished(publication);
      return;
    }
    if (record.revision == publication.request.base) {
      publication.base_head = std::move(record);
    }
  }
  ListChanges(publication);
}

void ApplyChangeRead(Publication& publication, const StoreAnswer& answer) {
  const std::string digest = publication.unread_changes.back();
  publication.unread_changes.pop_back();
  if (!answer.entries.empty()) {
    const bool is_new = DigestsOf(publication.head).contains(digest);
    // A part that cannot be read only makes the report less complete.
    (void)MergePart(
        answer.entries.front().value,
        is_new ? publication.head_objects : publication.base_objects);
  }
  if (publication.unread_changes.empty()) {
    FinishConflict(publication);
  }
}

void ApplyPartsWritten(Publication& publication) {
  publication.written = publication.batch_end;
  ContinueWriting(publication);
}

// Another head is in force, or it is not known whether this one is: both are
// settled by reading back.
void ApplyHeadWritten(Publication& publication,
                      const StoreAnswer& answer,
                      TimePoint now) {
  if (answer.status == StoreStatus::kOk) {
    FinishPublished(publication);
    return;
  }
  if (answer.status == StoreStatus::kUnknown) {
    publication.may_be_written = true;
  }
  publication.stage = PublicationStage::kReadingHead;
  if (answer.status != StoreStatus::kConflict) {
    RetryLater(publication, now);
  }
}

}  // namespace

Publication StartPublication(const PublicationRequest& request,
                             const ObjectSet& objects,
                             uint64_t seed) {
  Publication publication;
  publication.request = request;
  publication.random = Random(seed);
  Findings findings = ValidateObjects(objects, {});
  if (!findings.empty()) {
    Finish(publication, PublicationStatus::kInvalid);
    publication.result->findings = std::move(findings);
    return publication;
  }
  publication.contents = SplitIntoParts(objects);
  for (const Part& part : publication.contents) {
    publication.references.push_back({part.name, part.digest});
  }
  return publication;
}

Publication StartRollback(const PublicationRequest& request,
                          const ConfigHead& target,
                          uint64_t seed) {
  Publication publication;
  publication.request = request;
  publication.random = Random(seed);
  publication.references = target.parts;
  return publication;
}

std::optional<StoreRequest> NextPublicationCall(Publication& publication,
                                                TimePoint now) {
  if (publication.retry_at && now < *publication.retry_at) {
    return std::nullopt;
  }
  publication.retry_at.reset();
  switch (publication.stage) {
    case PublicationStage::kReadingHead:
      return StoreRange{kHeadKey};
    case PublicationStage::kWritingParts:
      return PartsTxn(publication);
    case PublicationStage::kWritingHead:
      return HeadTxn(publication);
    case PublicationStage::kReadingHistory:
      return BaseHistoryRange(publication);
    case PublicationStage::kReadingChanges:
      return StoreRange{PartKey(publication.unread_changes.back())};
    case PublicationStage::kDone:
      return std::nullopt;
  }
  return std::nullopt;
}

void ApplyPublicationAnswer(Publication& publication,
                            const StoreAnswer& answer,
                            TimePoint now) {
  if (publication.stage == PublicationStage::kWritingHead) {
    ApplyHeadWritten(publication, answer, now);
    return;
  }
  // Reads and immutable parts are repeated without harm.
  if (answer.status != StoreStatus::kOk) {
    RetryLater(publication, now);
    return;
  }
  switch (publication.stage) {
    case PublicationStage::kReadingHead:
      ApplyHeadRead(publication, answer);
      return;
    case PublicationStage::kWritingParts:
      ApplyPartsWritten(publication);
      return;
    case PublicationStage::kReadingHistory:
      ApplyHistoryRead(publication, answer);
      return;
    case PublicationStage::kReadingChanges:
      ApplyChangeRead(publication, answer);
      return;
    case PublicationStage::kWritingHead:
    case PublicationStage::kDone:
      return;
  }
}

StoreRange HistoryRange(Revision from, int64_t limit) {
  StoreRange range;
  range.key = HistoryKey(from);
  range.range_end = PrefixRangeEnd(kHistoryPrefix);
  range.limit = limit;
  return range;
}

std::vector<ConfigHead> ReadHistory(const StoreAnswer& answer) {
  std::vector<ConfigHead> heads;
  for (const StoreEntry& entry : answer.entries) {
    Result<ConfigHead> head = DecodeHead(entry.value);
    if (head) {
      heads.push_back(std::move(*head));
    }
  }
  return heads;
}

}  // namespace peridotmill
