#ifndef PERIDOTMILL_GATEWAY_PEERS_STAGE_SERVICE_H_
#define PERIDOTMILL_GATEWAY_PEERS_STAGE_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/limits/permit_buckets.h"
#include "peridotmill_gateway/peers/peer_link.h"
#include "peridotmill_gateway/quarantine/crash_quarantine.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

// Runs the stage tasks that other nodes submit to this one as their
// coordinator, and grants them permits to call endpoints with a limit.
class StageService {
 public:
  // Creates the link of an accepted connection for the given listener.
  using LinkMaker =
      std::function<std::unique_ptr<PeerLink>(PeerLinkListener* listener)>;

  // `suspected_domains` returns the failure domains that no longer respond to
  // this node. `quarantine` is exchanged with the other nodes; may be null.
  // Without `permits`, no permits are granted to other nodes.
  StageService(StageTaskExecutor& executor,
               const Clock& clock,
               TimerQueue& timers,
               std::function<std::vector<FailureDomainId>()> suspected_domains,
               CrashQuarantine* quarantine = nullptr,
               PermitBuckets* permits = nullptr);
  ~StageService();
  StageService(const StageService&) = delete;
  StageService& operator=(const StageService&) = delete;

  // Starts a session for an accepted connection. The session ends when the link
  // is lost or a malformed frame arrives.
  void Accept(const LinkMaker& make_link);

  // Cancels all tasks of other nodes and closes their links. Called after this
  // process was paused for so long that the other nodes have reassigned the
  // tasks.
  void CloseAllSessions();

  // Tasks of other nodes that have not ended.
  size_t unfinished_task_count() const;
  size_t session_count() const { return sessions_.size(); }

 private:
  class Session;

  void CloseSession(Session* session);

  StageTaskExecutor& executor_;
  const Clock& clock_;
  TimerQueue& timers_;
  std::function<std::vector<FailureDomainId>()> suspected_domains_;
  CrashQuarantine* quarantine_;
  PermitBuckets* permits_;
  std::map<Session*, std::unique_ptr<Session>> sessions_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_STAGE_SERVICE_H_
