#ifndef PERIDOTCTL_PUBLISH_COMMAND_H_
#define PERIDOTCTL_PUBLISH_COMMAND_H_

#include <optional>
#include <string>

#include "peridotctl/config_store.h"
#include "peridotctl/exit_codes.h"

namespace peridotmill {

struct PublishOptions {
  std::string author;
  std::string comment;
  // Revision that the new objects were made from; the head in force if absent.
  std::optional<Revision> base_revision;
  // Unique to this publication.
  Nonce nonce;
  // Seconds since the Unix epoch.
  int64_t published_at = 0;
};

// Puts a checked set in force as the next revision.
int Publish(const StoreCaller& store,
            const ObjectSet& objects,
            const PublishOptions& options,
            const Console& console);

// Puts the parts of an earlier revision in force as the next revision.
int Rollback(const StoreCaller& store,
             Revision revision,
             const PublishOptions& options,
             const Console& console);

}  // namespace peridotmill

#endif  // PERIDOTCTL_PUBLISH_COMMAND_H_
