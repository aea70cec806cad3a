#include "peridotmill_gateway/replication/value_fetcher.h"

#include <algorithm>
#include <utility>

#include "peridotmill_gateway/replication/value_transfer.h"

namespace peridotmill {
namespace {

// Bytes that are requested at a time. Two requests are open, so that the sender
// never idles for a round trip.
constexpr size_t kRangeBytes = size_t{32} << 10;
// Time without a chunk after which another source is asked. Doubled each time,
// since a source that is slow for one node is slow for all.
constexpr Duration kProgressTimeout = std::chrono::seconds(1);
constexpr Duration kMaxProgressTimeout = std::chrono::seconds(8);
constexpr size_t kMaxTransferBytes = size_t{32} << 20;

// Returns the update's entry with this key, or null.
StoreEntry* FindEntry(ReplicaUpdate& update, const std::string& key) {
  if (auto* const snapshot = std::get_if<SnapshotMessage>(&update)) {
    const auto found =
        std::find_if(snapshot->entries.begin(), snapshot->entries.end(),
                     [&](const StoreEntry& entry) { return entry.key == key; });
    return found == snapshot->entries.end() ? nullptr : &*found;
  }
  auto& changes = std::get<ChangesMessage>(update).changes.changes;
  // Of several changes of a key, the last one counts.
  const auto found = std::find_if(
      changes.rbegin(), changes.rend(),
      [&](const StoreChange& change) { return change.entry.key == key; });
  return found == changes.rend() ? nullptr : &found->entry;
}

std::vector<ValueVersion>& OmittedValues(ReplicaUpdate& update) {
  return std::visit(
      [](auto& message) -> std::vector<ValueVersion>& {
        return message.omitted_values;
      },
      update);
}

}  // namespace

ReplicaPart UpdatePart(const ReplicaUpdate& update) {
  return std::visit([](const auto& message) { return message.part; }, update);
}

int64_t UpdateRevision(const ReplicaUpdate& update) {
  if (const auto* const snapshot = std::get_if<SnapshotMessage>(&update)) {
    return snapshot->revision;
  }
  return std::get<ChangesMessage>(update).changes.revision;
}

ValueFetcher::ValueFetcher(const Clock& clock,
                           EventSink& log,
                           const PrefixState& state,
                           Callbacks callbacks)
    : clock_(clock),
      log_(log),
      state_(state),
      callbacks_(std::move(callbacks)) {}

void ValueFetcher::Start(ReplicaUpdate update, const NodeId& source) {
  fetch_ = Fetch{.update = std::move(update),
                 .source = source,
                 .progress_timeout = kProgressTimeout};
  FetchNextValue();
}

void ValueFetcher::FetchNextValue() {
  std::vector<ValueVersion>& omitted = OmittedValues(fetch_->update);
  while (!omitted.empty()) {
    const ValueVersion version = omitted.back();
    StoreEntry* const entry = FindEntry(fetch_->update, version.key);
    const StoreEntry* const own =
        FindVersion(state_, version.key, version.mod_revision);
    if (entry == nullptr || entry->mod_revision != version.mod_revision) {
      omitted.pop_back();
    } else if (own != nullptr) {
      entry->value = own->value;
      omitted.pop_back();
    } else {
      fetch_->version = version;
      const auto current = state_.entries.find(version.key);
      Restart(current == state_.entries.end() ? 0
                                              : current->second.mod_revision);
      return;
    }
  }
  // The callback may start another fetch.
  ReplicaUpdate update = std::move(fetch_->update);
  fetch_.reset();
  callbacks_.on_complete(std::move(update));
}

void ValueFetcher::Restart(int64_t requested_base) {
  fetch_->requested_base = requested_base;
  fetch_->transfer_digest = 0;
  fetch_->received.clear();
  fetch_->requested_bytes = 0;
  fetch_->last_progress = clock_.Now();
  RequestUpTo(kRangeBytes);
}

void ValueFetcher::RequestUpTo(size_t end) {
  if (end <= fetch_->requested_bytes) {
    return;
  }
  const FetchValueMessage request = {
      .version = fetch_->version,
      .base_revision = fetch_->requested_base,
      .offset = static_cast<uint32_t>(fetch_->requested_bytes),
      .size = static_cast<uint32_t>(end - fetch_->requested_bytes)};
  fetch_->requested_bytes = end;
  callbacks_.send(fetch_->source, request);
}

void ValueFetcher::OnChunk(const ValueChunkMessage& chunk) {
  if (!fetch_ || chunk.version != fetch_->version) {
    return;
  }
  if (chunk.transfer_size == 0 || chunk.transfer_size > kMaxTransferBytes) {
    fetch_.reset();
    return;
  }
  if (chunk.transfer_digest != fetch_->transfer_digest) {
    if (chunk.offset > 0) {
      // This source's transfer differs from the one that was begun.
      Restart(fetch_->requested_base);
      return;
    }
    fetch_->transfer_digest = chunk.transfer_digest;
    fetch_->received.clear();
  }
  if (chunk.offset != fetch_->received.size() || chunk.bytes.empty()) {
    return;
  }
  fetch_->received += chunk.bytes;
  fetch_->last_progress = clock_.Now();
  if (fetch_->received.size() >= chunk.transfer_size) {
    OnTransferReceived(chunk.base_revision);
  } else if (fetch_->requested_bytes - fetch_->received.size() <= kRangeBytes) {
    RequestUpTo(std::min<size_t>(chunk.transfer_size,
                                 fetch_->requested_bytes + kRangeBytes));
  }
}

void ValueFetcher::OnTransferReceived(int64_t base_revision) {
  const StoreEntry* const base =
      FindVersion(state_, fetch_->version.key, base_revision);
  auto value =
      ReadValueTransfer(base == nullptr ? "" : base->value, fetch_->received);
  if (!value) {
    log_.Write("value_transfer_unreadable",
               {{"key", fetch_->version.key},
                {"peer", fetch_->source.value()},
                {"error", value.error().message()}});
    if (fetch_->requested_base == 0) {
      fetch_.reset();
    } else {
      Restart(/*requested_base=*/0);
    }
    return;
  }
  if (StoreEntry* const entry =
          FindEntry(fetch_->update, fetch_->version.key)) {
    entry->value = *std::move(value);
  }
  OmittedValues(fetch_->update).pop_back();
  FetchNextValue();
}

void ValueFetcher::CheckProgress() {
  if (!fetch_) {
    return;
  }
  const auto own = state_.entries.find(fetch_->version.key);
  if (own != state_.entries.end() &&
      own->second.mod_revision >= fetch_->version.mod_revision) {
    fetch_.reset();
    return;
  }
  const TimePoint now = clock_.Now();
  const std::vector<NodeId> sources = callbacks_.sources();
  const auto current =
      std::find(sources.begin(), sources.end(), fetch_->source);
  if (current != sources.end() &&
      now - fetch_->last_progress <= fetch_->progress_timeout) {
    return;
  }
  if (sources.empty()) {
    fetch_.reset();
    return;
  }
  const bool has_next =
      current != sources.end() && std::next(current) != sources.end();
  fetch_->source = has_next ? *std::next(current) : sources.front();
  fetch_->progress_timeout =
      std::min(2 * fetch_->progress_timeout, kMaxProgressTimeout);
  fetch_->last_progress = now;
  fetch_->requested_bytes = fetch_->received.size();
  log_.Write("value_fetch_moved",
             {{"key", fetch_->version.key},
              {"peer", fetch_->source.value()},
              {"received_bytes", std::to_string(fetch_->received.size())}});
  RequestUpTo(fetch_->received.size() + kRangeBytes);
}

}  // namespace peridotmill
