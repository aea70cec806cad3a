#ifndef PERIDOTMILL_ACTIONS_HOME_BUCKET_PRUNER_H_
#define PERIDOTMILL_ACTIONS_HOME_BUCKET_PRUNER_H_

#include "peridotmill_actions/home/home_context.h"

namespace peridotmill {

// Deletes segments past retention in one transaction with their tombstones and
// the new base record, when due.
void ContinuePruning(HomeContext& context, int32_t index);

void OnPruned(HomeContext& context,
              int32_t index,
              int64_t floor,
              const StoreAnswer& answer);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_HOME_BUCKET_PRUNER_H_
