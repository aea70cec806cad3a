#ifndef PERIDOTCTL_READ_COMMANDS_H_
#define PERIDOTCTL_READ_COMMANDS_H_

#include <optional>
#include <string>
#include <vector>

#include "peridotctl/config_store.h"
#include "peridotctl/exit_codes.h"

namespace peridotmill {

// Prints all findings on the files, one a line, to console.err.
int Validate(const std::vector<std::string>& paths, const Console& console);

// Prints what publishing `objects` would change against the head in force.
int Plan(const StoreCaller& store,
         const ObjectSet& objects,
         const Console& console);

// Prints the objects of a revision, or of the head in force, as YAML.
int Get(const StoreCaller& store,
        std::optional<Revision> revision,
        const Console& console);

// Prints the newest `count` publications, one a line, newest first.
int History(const StoreCaller& store, int64_t count, const Console& console);

}  // namespace peridotmill

#endif  // PERIDOTCTL_READ_COMMANDS_H_
