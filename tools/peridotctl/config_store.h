#ifndef PERIDOTCTL_CONFIG_STORE_H_
#define PERIDOTCTL_CONFIG_STORE_H_

#include <functional>
#include <optional>
#include <vector>

#include "peridotmill_config/objects/object_set.h"
#include "peridotmill_config/parts/head.h"
#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/store/store_call.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_net/store/store_client.h"

namespace peridotmill {

// Makes one store call and waits for its answer.
using StoreCaller = std::function<StoreAnswer(const StoreRequest&)>;

// Calls through `client`, which must outlive the result, running the default
// main context meanwhile.
StoreCaller MakeStoreCaller(StoreClient& client, Duration timeout);

// Head in force. Revision and mod revision are 0 when nothing was published.
struct StoredHead {
  ConfigHead head;
  int64_t mod_revision = 0;
};

// Errors of all reads: kUnavailable, kMalformed for content that cannot be
// read, kNotFound, and kDigestMismatch for a part.
Result<StoredHead> ReadHead(const StoreCaller& store);
Result<ConfigHead> ReadHistoryEntry(const StoreCaller& store,
                                    Revision revision);
// The newest `count` heads up to `newest`, oldest first.
Result<std::vector<ConfigHead>> ReadHistory(const StoreCaller& store,
                                            Revision newest,
                                            int64_t count);
// Reads all parts of a head. A head of revision 0 has none.
Result<ObjectSet> ReadObjectSet(const StoreCaller& store,
                                const ConfigHead& head);

}  // namespace peridotmill

#endif  // PERIDOTCTL_CONFIG_STORE_H_
