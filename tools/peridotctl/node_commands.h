#ifndef PERIDOTCTL_NODE_COMMANDS_H_
#define PERIDOTCTL_NODE_COMMANDS_H_

#include <string>
#include <vector>

#include "peridotctl/exit_codes.h"
#include "peridotctl/node_queries.h"

namespace peridotmill {

// Prints a table with one row a node from the answers to GET /admin/status,
// in the order of `addresses`. Fails when a node did not answer.
int Status(const std::vector<std::string>& addresses,
           const std::vector<HttpReply>& replies,
           const Console& console);

// Path of the explanation of a request on a node.
std::string ExplainPath(const std::string& request);

// Prints each node's explanation of the request. Fails when none knows it.
int Explain(const std::vector<std::string>& addresses,
            const std::vector<HttpReply>& replies,
            const Console& console);

}  // namespace peridotmill

#endif  // PERIDOTCTL_NODE_COMMANDS_H_
