#ifndef STANDINS_SERVERS_STORE_SERVER_H_
#define STANDINS_SERVERS_STORE_SERVER_H_

#include <list>
#include <string>

#include "standins/peridotmill-standin/logic/store_state.h"
#include "standins/peridotmill-standin/servers/stand_in_server.h"

namespace peridotmill::standin {

// The key-value service: the subset of the etcd v3 JSON gateway that StoreState
// models. A watch counts as one call for as long as it waits.
class StoreServer final : public StandInServer {
 public:
  StoreServer(const StandIn& settings, uint64_t seed);

 protected:
  void Serve(const ExchangePtr& exchange) override;
  // Breaks the watches of callers that can no longer reach the store.
  void OnFaultsChanged() override;

 private:
  struct Watch {
    ExchangePtr exchange;
    std::string key;
    std::string range_end;
    int64_t next_revision = 0;
  };

  void ServeCall(const ExchangePtr& exchange);
  void ServeTxn(const ExchangePtr& exchange, const Txn& txn);
  // Applies a txn of one operation and answers with that operation's result.
  void ServeSingle(const ExchangePtr& exchange, const StoreOp& op);
  void AnswerWrite(const ExchangePtr& exchange,
                   bool is_write,
                   const std::string& body);
  void AnswerError(const ExchangePtr& exchange, StoreError error);
  void ServeKeepAlive(const ExchangePtr& exchange, int64_t lease);
  void OpenWatch(const ExchangePtr& exchange, const std::string& body);
  void AfterChange();
  void SendEvents(Watch& watch);

  StoreState state_;
  std::list<Watch> watches_;
  WakeTimer expiry_timer_;
};

}  // namespace peridotmill::standin

#endif  // STANDINS_SERVERS_STORE_SERVER_H_
