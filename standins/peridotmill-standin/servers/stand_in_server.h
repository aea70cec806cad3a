#ifndef STANDINS_SERVERS_STAND_IN_SERVER_H_
#define STANDINS_SERVERS_STAND_IN_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "peridotmill_core/maths/random.h"
#include "standins/peridotmill-standin/http/http_server.h"
#include "standins/peridotmill-standin/http/wake_timer.h"
#include "standins/peridotmill-standin/logic/fault_table.h"
#include "standins/peridotmill-standin/logic/run_record.h"
#include "standins/peridotmill-standin/scenario/scenario.h"

namespace peridotmill::standin {

using ExchangePtr = std::shared_ptr<Exchange>;

// What all stand-ins share: the listener, the fault table, the counts and the
// /stand-in/ calls. The caller's failure domain is the X-Failure-Domain header.
class StandInServer {
 public:
  StandInServer(StandIn settings, uint64_t seed);
  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;
  virtual ~StandInServer();

  // Returns an error text, empty on success.
  std::string Start();
  void SetFaults(FaultTable faults);
  // Ends all exchanges. Call before the destructor, since exchanges call back
  // into the derived class when they end.
  void Stop();

  const StandIn& settings() const { return settings_; }
  const RunRecord& runs() const { return runs_; }
  const std::map<std::string, int64_t>& counts() const { return counts_; }

 protected:
  // Serves a request that no fault has ended.
  virtual void Serve(const ExchangePtr& exchange) = 0;
  // Serves paths under /stand-in/ that only this kind has.
  virtual bool ServeAdmin(const ExchangePtr& exchange);
  // Called when a fault begins or ends.
  virtual void OnFaultsChanged() {}

  void Count(const std::string& kind) { ++counts_[kind]; }
  RunRecord& mutable_runs() { return runs_; }
  Random& random() { return random_; }

  // Draws a fault for this exchange and counts it.
  bool IsFaulty(FaultKind kind, const Exchange& exchange);
  bool IsActive(FaultKind kind) const;
  double slow_factor(const Exchange& exchange) const;
  // Factor of the slow faults that affect all callers.
  double active_slow_factor() const;
  // Answers after the latency, under the faults on answers.
  void AnswerLater(const ExchangePtr& exchange, int status, std::string body);
  // Applies the faults on complete answers of endpoints.
  void AnswerCall(const ExchangePtr& exchange,
                  const std::string& attempt,
                  std::string body);

 private:
  void Handle(const ExchangePtr& exchange);
  void ServeStandInPath(const ExchangePtr& exchange);
  void ApplyFaults();

  StandIn settings_;
  Random random_;
  RunRecord runs_;
  std::map<std::string, int64_t> counts_;
  FaultTable faults_;
  std::string previous_answer_;
  HttpServer http_;
  WakeTimer fault_timer_;
};

// {"error":{"code","execution"}}
std::string ErrorBody(const std::string& code, const std::string& execution);

}  // namespace peridotmill::standin

#endif  // STANDINS_SERVERS_STAND_IN_SERVER_H_
