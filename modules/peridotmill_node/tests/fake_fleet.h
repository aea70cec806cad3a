#ifndef PERIDOTMILL_NODE_TESTS_FAKE_FLEET_H_
#define PERIDOTMILL_NODE_TESTS_FAKE_FLEET_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_actions/tests/fake_store.h"
#include "peridotmill_node/peridotmill_node.h"

namespace peridotmill {

// An endpoint with scripted behaviour.
struct FakeEndpoint {
  EndpointRecord record;
  bool is_dead = false;
  bool reports_leaving = false;
  Duration service_time = std::chrono::milliseconds(20);
  // The process dies before it sends this token; -1 for never.
  int dies_at_token = -1;
  AttemptOutcome outcome = AttemptOutcome::kCompleted;
};

// What an endpoint ran.
struct Run {
  StartAttempt attempt;
  int node = 0;
  PoolId pool;
  std::string text;
  TimePoint at;
};

struct Ending {
  bool is_answer = false;
  std::string body;
  Reason reason = Reason::kBadRequest;
  Execution execution = Execution::kUnknown;
  Duration after{};
};

enum class Kind : uint8_t { kChat, kPay, kFan };

struct SentRequest {
  int node = 0;
  Incarnation incarnation;
  Kind kind = Kind::kChat;
  std::string key;
  std::string text;
  std::string streamed;
  TimePoint at;
  bool is_gone = false;
  std::vector<Ending> endings;
};

struct FakeNode {
  NodeSettings settings;
  std::unique_ptr<NodeState> state;
  bool is_dead = false;
  bool is_paused = false;
  // Events that wait for a paused process.
  std::deque<NodeEvent> held;
  TimePoint next_tick;
  Revision revision;
  std::vector<int> exit_codes;
};

// Faults of the store. A silent store lets calls time out, else it refuses.
struct StoreFaults {
  bool is_down = false;
  bool is_silent = false;
  bool loses_watch_events = false;
  Duration delay = std::chrono::milliseconds(2);
  double lost_answers = 0;
  std::set<FailureDomainId> unreachable_from;
};

// The objects that all tests use: encode -> answer (chat), encode -> charge
// (pay), encode -> {retrieve, rerank} -> answer (fan).
ObjectSet FleetObjects(int concurrency = 8);
inline constexpr char kToken[] = "guide-token";
inline constexpr int kTokensOfAnswer = 8;
// Text that an engine generates for a prompt.
std::string GeneratedText(const std::string& prompt);

// Nodes in logical time with fakes at their interfaces.
class FakeFleet {
 public:
  FakeFleet(uint64_t seed, int nodes, int domains, int endpoints_per_domain);

  void Run(Duration duration);
  RequestId Send(int node,
                 Kind kind,
                 const std::string& key = "",
                 const std::string& deadline = "");
  // Sends requests of all kinds to random live nodes during `duration` while
  // time runs; some keys are repeated at another node.
  void RunWithTraffic(Duration duration, int requests_per_second);
  // Publishes a set through the store; false when the head had moved.
  bool Publish(const ObjectSet& objects);
  void Inject(int node, const NodeEvent& event) { Step(node, event); }
  void Pause(int node) { nodes[node].is_paused = true; }
  void Resume(int node);
  void Kill(int node);
  void Restart(int node);
  // Ends the connections that cross the border of a cut domain.
  void Cut(const FailureDomainId& domain);
  void Heal() { cut_domains.clear(); }
  void KillEndpoint(FakeEndpoint& endpoint);

  // Checks P1 to P5 and P7 on everything that happened so far.
  void CheckPromises() const;
  int Answered(TimePoint since) const;
  // Whether requests of all kinds to every live node are answered.
  bool IsServingAll();
  int RunsOf(const RequestId& request, const PoolId& pool) const;
  FailureDomainId DomainOf(int node) const {
    return nodes[node].settings.failure_domain;
  }
  TimePoint now() const { return clock.Now(); }
  int domain_count() const { return domains_; }

  ManualClock clock;
  Random random;
  StoreFaults store_faults;
  FakeStore store;
  int store_calls = 0;
  std::vector<FakeNode> nodes;
  std::map<EndpointId, FakeEndpoint> endpoints;
  // Shown instead of the true list while set.
  std::optional<HostList> stale_list;
  std::set<FailureDomainId> cut_domains;
  std::map<RequestId, SentRequest> requests;
  std::vector<peridotmill::Run> runs;
  std::vector<std::string> violations;

 private:
  friend class CommandTaker;
  struct OpenAttempt {
    int node = 0;
    Incarnation incarnation;
    EndpointId endpoint;
    bool is_stream = false;
  };
  struct Watch {
    int node = 0;
    Incarnation incarnation;
    StoreCallId call;
    int64_t after = 0;
  };

  void At(Duration delay, std::function<void()> action);
  void Deliver(int node, Duration delay, NodeEvent event);
  void Step(int node, const NodeEvent& event);
  void Start(int node);
  void Observe(int node, const NodeEvent& event);
  bool Reaches(const FailureDomainId& from, const FailureDomainId& to) const;
  HostList TrueList() const;
  void SendHostList(int node, Incarnation incarnation);
  void Take(int node, const StoreCall& call);
  void AnswerWatches();
  void Take(int node, const StartAttempt& command);
  void RunAttempt(int node, const StartAttempt& command);
  void SendToken(const AttemptId& attempt, const std::string& text, int token);
  void FinishAttempt(const AttemptId& attempt,
                     AttemptOutcome outcome,
                     const std::string& body = "");
  void Connect(int node, int peer);
  void Disconnect(int node, int peer);

  int domains_;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> actions_;
  uint64_t action_count_ = 0;
  std::map<AttemptId, OpenAttempt> attempts_;
  std::vector<Watch> watches_;
  std::set<std::pair<int, int>> links_;
  std::map<std::pair<int, int>, TimePoint> link_times_;
  // When a leaving endpoint was first known within its domain.
  std::map<EndpointId, TimePoint> leaving_since_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_TESTS_FAKE_FLEET_H_
