#ifndef PERIDOTMILL_ACTIONS_HOME_BUCKET_WRITER_H_
#define PERIDOTMILL_ACTIONS_HOME_BUCKET_WRITER_H_

#include "peridotmill_actions/home/home_context.h"

namespace peridotmill {

// Adds an entry to the next segment. False when the table is full.
bool Enqueue(HomeContext& context, int32_t index, LogEntry entry);

// Writes the pending entries as one segment, or repeats an unsettled write,
// when the bucket's pace allows.
void ContinueWriting(HomeContext& context, int32_t index);

// Compares the open write with a segment that was read at or before its place:
// it is the write itself, or the race is lost and its entries wait again.
void SettleWrite(HomeContext& context, int32_t index, const Segment& segment);

// After a complete read, gives back a write whose place no longer exists.
void ReleaseStaleWrite(HomeContext& context, int32_t index);

void OnWritten(HomeContext& context,
               int32_t index,
               int64_t sequence,
               const StoreAnswer& answer);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_HOME_BUCKET_WRITER_H_
