#ifndef PERIDOTMILL_GATEWAY_STORE_STORE_POSITION_H_
#define PERIDOTMILL_GATEWAY_STORE_STORE_POSITION_H_

#include <cstdint>

namespace peridotmill {

// A store that is restored from a copy goes back to earlier revisions and gives
// them out again, but its era rises. Positions order all of its states: the
// era, in the high bits, goes before the revision, as in the transaction ids of
// ZooKeeper (Junqueira, Reed and Serafini, "Zab", DSN 2011). All store
// revisions of the gateway are positions; that of a store which names no era is
// its revision.
inline constexpr int kStoreRevisionBits = 40;
inline constexpr int64_t kMaxStoreRevision =
    (int64_t{1} << kStoreRevisionBits) - 1;
inline constexpr int64_t kMaxStoreEra = (int64_t{1} << 22) - 1;

// @pre 0 <= era <= kMaxStoreEra, 0 <= revision <= kMaxStoreRevision
constexpr int64_t MakeStorePosition(int64_t era, int64_t revision) {
  return (era << kStoreRevisionBits) | revision;
}

constexpr int64_t StoreEraOf(int64_t position) {
  return position >> kStoreRevisionBits;
}

constexpr int64_t StoreRevisionOf(int64_t position) {
  return position & kMaxStoreRevision;
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STORE_STORE_POSITION_H_
