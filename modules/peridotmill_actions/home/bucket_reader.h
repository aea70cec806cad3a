#ifndef PERIDOTMILL_ACTIONS_HOME_BUCKET_READER_H_
#define PERIDOTMILL_ACTIONS_HOME_BUCKET_READER_H_

#include "peridotmill_actions/home/home_context.h"

namespace peridotmill {

// Starts reading a closed bucket.
void OpenBucket(HomeContext& context, int32_t index);

// Forgets what was read and reads the whole log again.
void ReloadBucket(HomeContext& context, int32_t index);

// Starts the read that the bucket needs next, if any is due.
void ContinueReading(HomeContext& context, int32_t index);

// Reads at once, whatever is known of the store: to settle a write in doubt.
void ReadBack(HomeContext& context, int32_t index);

void OnTombstonesRead(HomeContext& context,
                      int32_t index,
                      const StoreAnswer& answer);

// Returns whether the log was read to its end.
bool OnLogRead(HomeContext& context, int32_t index, const StoreAnswer& answer);

// Takes over a base record. Reloads when the log was deleted beyond what this
// node has read.
void ApplyBase(HomeContext& context, int32_t index, const StoreEntry& entry);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_HOME_BUCKET_READER_H_
