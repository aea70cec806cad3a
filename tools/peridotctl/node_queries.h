#ifndef PERIDOTCTL_NODE_QUERIES_H_
#define PERIDOTCTL_NODE_QUERIES_H_

#include <string>
#include <vector>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

struct HttpReply {
  // 0 when there was no complete answer.
  int status = 0;
  std::string body;
};

// Requests "http://<address><path>" of all addresses at the same time and waits
// for them, running the default main context. Replies come in the order of the
// addresses; a body over 1 MB counts as no answer.
std::vector<HttpReply> GetFromAll(const std::vector<std::string>& addresses,
                                  const std::string& path,
                                  const std::string& bearer_token,
                                  Duration timeout);

// Reads the HTTP addresses of the nodes from the host list's JSON: a node's
// "address" or, without one, the host of its "peer_address" with `http_port`.
// Errors: kMalformed.
Result<std::vector<std::string>> NodeAddressesOf(const std::string& host_list,
                                                 int http_port);

}  // namespace peridotmill

#endif  // PERIDOTCTL_NODE_QUERIES_H_
