#ifndef STANDINS_SERVERS_SERVICE_SERVER_H_
#define STANDINS_SERVERS_SERVICE_SERVER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/peridotmill-standin/servers/load_report.h"
#include "standins/peridotmill-standin/servers/stand_in_server.h"

namespace peridotmill::standin {

// A plain service: `POST /call` and any path under it, and `GET /v1/load`.
// A started call runs to its end even if its caller has gone.
class ServiceServer final : public StandInServer {
 public:
  ServiceServer(const StandIn& settings, uint64_t seed);

 protected:
  void Serve(const ExchangePtr& exchange) override;

 private:
  struct Call {
    ExchangePtr exchange;
    std::string attempt;
    std::string key;
    std::string path;
    std::string input;
    std::vector<std::string> markers;
  };

  void Accept(const ExchangePtr& exchange);
  void Run();
  void Finish(const Call& call);
  std::string LoadJson() const;

  ServiceQueue queue_;
  std::map<uint64_t, Call> calls_;
  uint64_t next_number_ = 1;
  int64_t serial_ = 0;
  LoadReport report_;
  WakeTimer timer_;
};

}  // namespace peridotmill::standin

#endif  // STANDINS_SERVERS_SERVICE_SERVER_H_
