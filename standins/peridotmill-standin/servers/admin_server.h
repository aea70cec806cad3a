#ifndef STANDINS_SERVERS_ADMIN_SERVER_H_
#define STANDINS_SERVERS_ADMIN_SERVER_H_

#include <memory>
#include <string>
#include <vector>

#include "standins/peridotmill-standin/servers/stand_in_server.h"

namespace peridotmill::standin {

// Reads all stand-ins of the process together: /stand-in/runs, /markers and
// /counts are sums. `POST /stand-in/faults?id=..&pool=..&domain=..` sets the
// table of each stand-in that matches all given parameters.
class AdminServer final : public StandInServer {
 public:
  using Servers = std::vector<std::unique_ptr<StandInServer>>;

  AdminServer(const StandIn& settings, const Servers& servers);

 protected:
  void Serve(const ExchangePtr& exchange) override;
  bool ServeAdmin(const ExchangePtr& exchange) override;

 private:
  void SetFaultsOfMatching(const ExchangePtr& exchange);

  const Servers& servers_;
};

}  // namespace peridotmill::standin

#endif  // STANDINS_SERVERS_ADMIN_SERVER_H_
