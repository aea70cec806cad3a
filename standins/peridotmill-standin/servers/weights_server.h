#ifndef STANDINS_SERVERS_WEIGHTS_SERVER_H_
#define STANDINS_SERVERS_WEIGHTS_SERVER_H_

#include "standins/peridotmill-standin/servers/stand_in_server.h"

namespace peridotmill::standin {

// The weight store: `GET /v1/weights/{model}`, limited by a token bucket.
class WeightsServer final : public StandInServer {
 public:
  WeightsServer(const StandIn& settings, uint64_t seed);

 protected:
  void Serve(const ExchangePtr& exchange) override;

 private:
  double tokens_;
  TimePoint refilled_;
};

}  // namespace peridotmill::standin

#endif  // STANDINS_SERVERS_WEIGHTS_SERVER_H_
