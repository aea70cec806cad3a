#include "peridotctl/publish_command.h"

#include <set>
#include <utility>
#include <vector>

#include "peridotctl/object_diff.h"
#include "peridotmill_config/peridotmill_config.h"
#include "peridotmill_net/settings/settings_checker.h"

namespace peridotmill {
namespace {

// The store takes values up to 1 MB; the rest is room for keys and encoding.
constexpr size_t kMaxBatch = 900'000;
// Each try may wait for the timeout of a call.
constexpr int kMaxTries = 4;

int Fail(const Console& console,
         const std::string& what,
         const std::error_code& error) {
  console.err << what << ": " << error.message() << "\n";
  return kExitFailure;
}

bool SendPuts(const StoreCaller& store, std::vector<StorePut> puts) {
  const StoreTxn txn{{}, std::move(puts), {}};
  // Parts never change, so a put whose answer was lost may be repeated.
  for (int i = 0; i < kMaxTries; ++i) {
    if (store(txn).status == StoreStatus::kOk) {
      return true;
    }
  }
  return false;
}

// Puts the parts that `head` does not name, in batches.
bool PutParts(const StoreCaller& store,
              const std::vector<Part>& parts,
              const ConfigHead& head) {
  std::set<std::string> known;
  for (const PartReference& part : head.parts) {
    known.insert(part.digest);
  }
  std::vector<StorePut> batch;
  size_t batch_size = 0;
  for (const Part& part : parts) {
    if (!known.insert(part.digest).second) {
      continue;
    }
    if (!batch.empty() && batch_size + part.content.size() > kMaxBatch) {
      if (!SendPuts(store, std::exchange(batch, {}))) {
        return false;
      }
      batch_size = 0;
    }
    batch_size += part.content.size();
    batch.push_back({PartKey(part.digest), part.content});
  }
  return batch.empty() || SendPuts(store, std::move(batch));
}

// Whether the publication is in the store. Its history entry stays when a later
// one replaces the head. kNotFound means that nobody wrote the revision.
Result<bool> IsPublished(const StoreCaller& store, const ConfigHead& head) {
  const auto entry = ReadHistoryEntry(store, head.revision);
  if (!entry) {
    return tl::unexpected(entry.error());
  }
  return entry->nonce == head.nonce;
}

enum class SwapOutcome : uint8_t {
  kPublished,
  kConflict,
  kNotPublished,
  kUnknown
};

SwapOutcome SwapHead(const StoreCaller& store,
                     const StoredHead& base,
                     const ConfigHead& next) {
  const std::string text = EncodeHead(next);
  const StoreTxn txn{
      {{kHeadKey, StoreCompare::Target::kModRevision, base.mod_revision}},
      {{kHeadKey, text}, {HistoryKey(next.revision), text}},
      {}};
  bool in_doubt = false;
  for (int i = 0; i < kMaxTries; ++i) {
    const StoreStatus status = store(txn).status;
    if (status == StoreStatus::kOk) {
      return SwapOutcome::kPublished;
    }
    if (status == StoreStatus::kConflict && !in_doubt) {
      return SwapOutcome::kConflict;
    }
    if (status == StoreStatus::kUnavailable) {
      continue;
    }
    // Without an answer the write may have taken effect, or may still do so.
    // Sending it again is safe: only one of the two can find the old head.
    in_doubt = true;
    const auto published = IsPublished(store, next);
    if (published) {
      return *published ? SwapOutcome::kPublished : SwapOutcome::kConflict;
    }
  }
  return in_doubt ? SwapOutcome::kUnknown : SwapOutcome::kNotPublished;
}

// Tells what others changed between `base` and the head in force.
int ReportConflict(const StoreCaller& store,
                   Revision base,
                   const Console& console) {
  console.err << "another publisher was first; revision " << base.value()
              << " is no longer in force\n";
  const auto head = ReadHead(store);
  if (!head) {
    Fail(console, "reading the head", head.error());
    return kExitConflict;
  }
  console.err << "revision " << head->head.revision.value() << " by "
              << head->head.author << ": " << head->head.comment << "\n";
  ConfigHead base_head;
  if (base.value() > 0) {
    auto entry = ReadHistoryEntry(store, base);
    if (!entry) {
      Fail(console, "reading the base revision", entry.error());
      return kExitConflict;
    }
    base_head = std::move(*entry);
  }
  const auto before = ReadObjectSet(store, base_head);
  const auto after = ReadObjectSet(store, head->head);
  if (!before || !after) {
    Fail(console, "reading the objects",
         before ? after.error() : before.error());
    return kExitConflict;
  }
  for (const std::string& line : DiffObjects(*before, *after)) {
    console.err << line << "\n";
  }
  return kExitConflict;
}

ConfigHead NextHead(const StoredHead& base, const PublishOptions& options) {
  ConfigHead next;
  next.revision = base.head.revision + Revision(1);
  next.nonce = options.nonce;
  next.author = options.author;
  next.comment = options.comment;
  next.published_at = options.published_at;
  return next;
}

int Finish(const StoreCaller& store,
           const StoredHead& base,
           const ConfigHead& next,
           const Console& console) {
  switch (SwapHead(store, base, next)) {
    case SwapOutcome::kPublished:
      console.out << "published revision " << next.revision.value() << "\n";
      return kExitOk;
    case SwapOutcome::kConflict:
      return ReportConflict(store, base.head.revision, console);
    case SwapOutcome::kNotPublished:
      console.err << "the store does not answer; nothing was published\n";
      return kExitFailure;
    case SwapOutcome::kUnknown:
      break;
  }
  console.err << "it is unknown whether revision " << next.revision.value()
              << " was published; see `history` for nonce "
              << next.nonce.value() << "\n";
  return kExitFailure;
}

bool IsBase(const StoredHead& head, const PublishOptions& options) {
  return !options.base_revision || *options.base_revision == head.head.revision;
}

}  // namespace

int Publish(const StoreCaller& store,
            const ObjectSet& objects,
            const PublishOptions& options,
            const Console& console) {
  const auto base = ReadHead(store);
  if (!base) {
    return Fail(console, "reading the head", base.error());
  }
  if (!IsBase(*base, options)) {
    return ReportConflict(store, *options.base_revision, console);
  }
  const std::vector<Part> parts = SplitIntoParts(objects);
  ConfigHead next = NextHead(*base, options);
  for (const Part& part : parts) {
    if (part.content.size() > kMaxBatch) {
      console.err << "part " << part.name << " has " << part.content.size()
                  << " bytes; the store takes " << kMaxBatch << "\n";
      return kExitFindings;
    }
    next.parts.push_back({part.name, part.digest});
  }
  if (next.parts == base->head.parts) {
    console.out << "nothing to publish; revision "
                << base->head.revision.value() << " has the same objects\n";
    return kExitOk;
  }
  if (!PutParts(store, parts, base->head)) {
    console.err << "the store did not take the parts; nothing was published\n";
    return kExitFailure;
  }
  return Finish(store, *base, next, console);
}

int Rollback(const StoreCaller& store,
             Revision revision,
             const PublishOptions& options,
             const Console& console) {
  const auto base = ReadHead(store);
  if (!base) {
    return Fail(console, "reading the head", base.error());
  }
  if (!IsBase(*base, options)) {
    return ReportConflict(store, *options.base_revision, console);
  }
  const auto old = ReadHistoryEntry(store, revision);
  if (!old) {
    return Fail(console, "reading the revision", old.error());
  }
  // A part that is missing or damaged must not come into force.
  const auto objects = ReadObjectSet(store, *old);
  if (!objects) {
    return Fail(console, "reading the objects", objects.error());
  }
  const Findings findings = ValidateObjects(*objects, {});
  if (!findings.empty()) {
    console.err << ToString(findings);
    return kExitFindings;
  }
  ConfigHead next = NextHead(*base, options);
  next.parts = old->parts;
  return Finish(store, *base, next, console);
}

}  // namespace peridotmill
