#ifndef PERIDOTMILL_GATEWAY_PEERS_STAGE_SERVICE_H_
#define PERIDOTMILL_GATEWAY_PEERS_STAGE_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/peers/peer_link.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

// Works on the stage tasks that other nodes hand to this one as coordinator.
class StageService {
 public:
  // Makes the accepted link with its listener.
  using LinkMaker =
      std::function<std::unique_ptr<PeerLink>(PeerLinkListener* listener)>;

  // `suspected_domains` tells which failure domains no longer answer this node.
  StageService(StageWorker& worker,
               const Clock& clock,
               TimerQueue& timers,
               std::function<std::vector<FailureDomainId>()> suspected_domains);
  ~StageService();
  StageService(const StageService&) = delete;
  StageService& operator=(const StageService&) = delete;

  void Accept(const LinkMaker& make_link);

  // Gives up all tasks of other nodes: this process was paused for so long that
  // their owners have handed them to another node.
  void CloseAllSessions();

  size_t session_count() const { return sessions_.size(); }

 private:
  class Session;

  void Release(Session* session);

  StageWorker& worker_;
  const Clock& clock_;
  TimerQueue& timers_;
  std::function<std::vector<FailureDomainId>()> suspected_domains_;
  std::map<Session*, std::unique_ptr<Session>> sessions_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_STAGE_SERVICE_H_
