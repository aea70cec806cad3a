#include "peridotctl/config_store.h"

#include <glib.h>

#include <algorithm>
#include <utility>

#include "peridotmill_config/peridotmill_config.h"
#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

auto Failure(Error error) {
  return tl::unexpected(make_error_code(error));
}

Result<StoreEntry> ReadKey(const StoreCaller& store, const std::string& key) {
  StoreAnswer answer = store(StoreRange{key, "", 0});
  if (answer.status != StoreStatus::kOk) {
    return Failure(Error::kUnavailable);
  }
  if (answer.entries.empty()) {
    return Failure(Error::kNotFound);
  }
  return std::move(answer.entries.front());
}

}  // namespace

StoreCaller MakeStoreCaller(StoreClient& client, Duration timeout) {
  return [&client, timeout](const StoreRequest& request) {
    std::optional<StoreAnswer> received;
    client.Call(request, timeout, [&received](StoreAnswer answer) {
      received = std::move(answer);
    });
    // Ends, because the client answers each call within its timeout.
    while (!received) {
      g_main_context_iteration(nullptr, TRUE);
    }
    return std::move(*received);
  };
}

Result<StoredHead> ReadHead(const StoreCaller& store) {
  const auto entry = ReadKey(store, kHeadKey);
  if (!entry) {
    if (entry.error() == Error::kNotFound) {
      return StoredHead();
    }
    return tl::unexpected(entry.error());
  }
  auto head = DecodeHead(entry->value);
  if (!head) {
    return tl::unexpected(head.error());
  }
  return StoredHead{std::move(*head), entry->mod_revision};
}

Result<ConfigHead> ReadHistoryEntry(const StoreCaller& store,
                                    Revision revision) {
  const auto entry = ReadKey(store, HistoryKey(revision));
  if (!entry) {
    return tl::unexpected(entry.error());
  }
  return DecodeHead(entry->value);
}

Result<std::vector<ConfigHead>> ReadHistory(const StoreCaller& store,
                                            Revision newest,
                                            int64_t count) {
  // A head with 71 parts takes about 6 KB, so a page stays below the bound of
  // an answer.
  constexpr int64_t kPage = 200;
  std::vector<ConfigHead> heads;
  int64_t next = std::max<int64_t>(1, newest.value() - count + 1);
  while (next <= newest.value()) {
    const int64_t end = std::min(next + kPage, newest.value() + 1);
    const StoreAnswer answer = store(
        StoreRange{HistoryKey(Revision(next)), HistoryKey(Revision(end)), 0});
    if (answer.status != StoreStatus::kOk) {
      return Failure(Error::kUnavailable);
    }
    for (const StoreEntry& entry : answer.entries) {
      auto head = DecodeHead(entry.value);
      if (!head) {
        return tl::unexpected(head.error());
      }
      heads.push_back(std::move(*head));
    }
    next = end;
  }
  return heads;
}

Result<ObjectSet> ReadObjectSet(const StoreCaller& store,
                                const ConfigHead& head) {
  ObjectSet objects;
  for (const PartReference& part : head.parts) {
    const auto entry = ReadKey(store, PartKey(part.digest));
    if (!entry) {
      return tl::unexpected(entry.error());
    }
    if (ContentDigest(entry->value) != part.digest) {
      return Failure(Error::kDigestMismatch);
    }
    if (const auto merged = MergePart(entry->value, objects); !merged) {
      return tl::unexpected(merged.error());
    }
  }
  return objects;
}

}  // namespace peridotmill
