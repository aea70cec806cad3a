#ifndef STANDINS_SERVERS_HOSTS_SERVER_H_
#define STANDINS_SERVERS_HOSTS_SERVER_H_

#include <cstdint>
#include <map>
#include <string>

#include "standins/peridotmill-standin/servers/load_report.h"
#include "standins/peridotmill-standin/servers/stand_in_server.h"

namespace peridotmill::standin {

// The host list: `GET /v1/hosts` shows the scenario's endpoints and nodes as
// they were `lag` ago. `POST /stand-in/hosts` changes entries:
// [{"id","state":"live|leaving|removed","address","pool","failure_domain",
// "peer_address","incarnation"}]; an unknown id adds an entry.
class HostsServer final : public StandInServer {
 public:
  HostsServer(const StandIn& settings, const Scenario& scenario, uint64_t seed);

 protected:
  void Serve(const ExchangePtr& exchange) override;
  bool ServeAdmin(const ExchangePtr& exchange) override;

 private:
  struct Host {
    std::string address;
    std::string pool;
    std::string failure_domain;
    std::string state = "live";
    // Entry nodes have a peer address instead of an address and a pool.
    std::string peer_address;
    int64_t incarnation = 1;
  };

  void Change(const std::string& text);
  std::string ListJson() const;

  std::map<std::string, Host> hosts_;
  int64_t version_ = 1;
  LoadReport report_;
};

}  // namespace peridotmill::standin

#endif  // STANDINS_SERVERS_HOSTS_SERVER_H_
