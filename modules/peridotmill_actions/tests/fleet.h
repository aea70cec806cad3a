#ifndef PERIDOTMILL_ACTIONS_TESTS_FLEET_H_
#define PERIDOTMILL_ACTIONS_TESTS_FLEET_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_store.h"
#include "peridotmill_actions/peridotmill_actions.h"

namespace peridotmill {

// How the store treats the calls of one node.
struct StoreFault {
  bool is_down = false;
  // Percent of calls that take effect and lose their answer.
  int lost_percent = 0;
  // Percent of calls that are reported unknown and take effect later.
  int late_percent = 0;
};

// Several nodes, a store and callers on logical time.
class Fleet {
 public:
  Fleet(int size, uint64_t seed) : random_(seed), nodes_(size) {
    for (int i = 0; i < size; ++i) {
      Start(i);
    }
    ShareView();
  }

  struct Call {
    RequestId request;
    std::string scoped_key;
    Nonce nonce;
    int node = 0;
    std::vector<ActionResult> results;
    bool is_sent = false;
    bool is_voided = false;
  };

  static NodeId NameOf(int node) { return NodeId("n" + std::to_string(node)); }
  ActionTime now() const { return {now_, wall_}; }
  FakeStore& store() { return store_; }
  Random& random() { return random_; }
  ActionsState& state(int node) { return nodes_[node].state; }
  StoreFault& fault(int node) { return nodes_[node].fault; }
  const std::vector<Call>& calls() const { return calls_; }
  const std::vector<std::string>& violations() const { return violations_; }
  std::set<std::pair<int, int>>& cuts() { return cuts_; }

  void After(Duration delay, std::function<void()> action) {
    events_.emplace(std::pair(now_ + delay, ++order_), std::move(action));
  }

  void RunFor(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      MoveTo(event.key().first);
      event.mapped()();
    }
    MoveTo(end);
  }

  // Puts the whole fleet's clocks forward while nothing runs.
  void SkipWallTime(std::chrono::seconds amount) { wall_ += amount; }

  // Tells `viewer` that only these nodes are live.
  void SetView(int viewer, const std::vector<int>& live) {
    std::vector<ActionNode> nodes;
    nodes.reserve(live.size());
    for (const int node : live) {
      nodes.push_back({NameOf(node), Incarnation(nodes_[node].life), false});
    }
    Run(viewer, [this, nodes](ActionsState& state) {
      return SetActionNodes(state, nodes, now());
    });
  }
  void ShareView() {
    std::vector<int> live;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].is_live) {
        live.push_back(static_cast<int>(i));
      }
    }
    for (const int node : live) {
      SetView(node, live);
    }
  }

  void Kill(int node) { nodes_[node].is_live = false; }
  void Restart(int node) {
    ++nodes_[node].life;
    Start(node);
  }
  void Pause(int node, Duration duration) {
    nodes_[node].paused_until = now_ + duration;
  }

  // Begins an action; once granted it is sent after `before_send`, or voided,
  // and its outcome is recorded after another `run_time`.
  size_t Begin(int node,
               const std::string& key,
               const std::string& digest,
               Duration time_left,
               Duration before_send = std::chrono::milliseconds(1),
               bool is_voided_after_grant = false) {
    Call call;
    call.request = RequestId("r" + std::to_string(calls_.size()));
    call.nonce = Nonce(random_.HexToken());
    call.node = node;
    call.scoped_key = ScopedKey(TeamId("team"), IdempotencyKey(key));
    behaviours_.push_back(
        {before_send, is_voided_after_grant, nodes_[node].life});
    calls_.push_back(call);
    const BeginAction begin{call.request, TeamId("team"), IdempotencyKey(key),
                            digest,       call.nonce,     now_ + time_left};
    Run(node, [this, begin](ActionsState& state) {
      return peridotmill::Begin(state, begin, now());
    });
    return calls_.size() - 1;
  }

  void LookUp(int node, const std::string& key) {
    Call call;
    call.request = RequestId("r" + std::to_string(calls_.size()));
    call.node = node;
    behaviours_.push_back({});
    calls_.push_back(call);
    const ActionLookup lookup{call.request, TeamId("team"),
                              IdempotencyKey(key)};
    Run(node, [this, lookup](ActionsState& state) {
      return LookUpAction(state, lookup, now_ + std::chrono::seconds(1), now());
    });
  }

  int SentCount(const std::string& key) const {
    int count = 0;
    for (const Call& call : calls_) {
      count +=
          call.scoped_key == ScopedKey(TeamId("team"), IdempotencyKey(key)) &&
                  call.is_sent
              ? 1
              : 0;
    }
    return count;
  }

 private:
  struct Node {
    ActionsState state;
    StoreFault fault;
    bool is_live = false;
    int64_t life = 1;
    TimePoint paused_until;
  };
  struct Behaviour {
    Duration before_send{};
    bool is_voided = false;
    int64_t life = 0;
  };

  void MoveTo(TimePoint time) {
    wall_ += std::chrono::duration_cast<WallTime::duration>(time - now_);
    now_ = time;
  }

  void Start(int node) {
    ActionsSettings settings;
    settings.self = NameOf(node);
    settings.incarnation = Incarnation(nodes_[node].life);
    settings.seed = random_.Next();
    nodes_[node].state = MakeActionsState(settings, now());
    nodes_[node].is_live = true;
    ScheduleTick(node, nodes_[node].life);
  }

  void ScheduleTick(int node, int64_t life) {
    After(std::chrono::milliseconds(10), [this, node, life] {
      if (!nodes_[node].is_live || nodes_[node].life != life) {
        return;
      }
      if (nodes_[node].state.next_tick <= now_) {
        Run(node,
            [this](ActionsState& state) { return OnActionTick(state, now()); });
      }
      ScheduleTick(node, life);
    });
  }

  // Runs a step on a node; a paused node runs it when it resumes, a dead one
  // never.
  void Run(int node, const std::function<ActionCommands(ActionsState&)>& step) {
    Node& target = nodes_[node];
    if (!target.is_live) {
      return;
    }
    if (now_ < target.paused_until) {
      const int64_t life = target.life;
      After(target.paused_until - now_, [this, node, step, life] {
        if (nodes_[node].life == life) {
          Run(node, step);
        }
      });
      return;
    }
    for (const ActionCommand& command : step(target.state)) {
      Perform(node, command);
    }
  }

  void Perform(int node, const ActionCommand& command) {
    if (const auto* call = std::get_if<ActionStoreCall>(&command)) {
      CallStore(node, *call);
    } else if (const auto* send = std::get_if<ActionSend>(&command)) {
      Deliver(node, *send);
    } else {
      OnResult(node, std::get<ActionResult>(command));
    }
  }

  Duration SomeDelay() {
    return std::chrono::microseconds(500 + random_.Below(3000));
  }

  void AnswerStoreCall(int node,
                       ActionOperation operation,
                       const StoreAnswer& answer) {
    const int64_t life = nodes_[node].life;
    After(SomeDelay(), [this, node, operation, answer, life] {
      if (nodes_[node].life == life) {
        Run(node, [this, operation, answer](ActionsState& state) {
          return OnActionStoreAnswer(state, operation, answer, now());
        });
      }
    });
  }

  void CallStore(int node, const ActionStoreCall& call) {
    const StoreFault& fault = nodes_[node].fault;
    if (fault.is_down) {
      AnswerStoreCall(node, call.operation, StoreAnswer());
      return;
    }
    StoreAnswer unknown;
    unknown.status = StoreStatus::kUnknown;
    const auto draw = static_cast<int>(random_.Below(100));
    if (draw < fault.late_percent) {
      After(std::chrono::milliseconds(random_.Below(3000)),
            [this, request = call.request] { store_.Execute(request); });
      AnswerStoreCall(node, call.operation, unknown);
      return;
    }
    After(SomeDelay(), [this, node, call, draw, unknown, fault] {
      const StoreAnswer answer = store_.Execute(call.request);
      const bool is_lost = draw < fault.late_percent + fault.lost_percent;
      AnswerStoreCall(node, call.operation, is_lost ? unknown : answer);
    });
  }

  void Deliver(int from, const ActionSend& send) {
    for (size_t to = 0; to < nodes_.size(); ++to) {
      const int target = static_cast<int>(to);
      if (NameOf(target) != send.to || cuts_.contains({from, target})) {
        continue;
      }
      After(SomeDelay(), [this, from, target, message = send.message] {
        Run(target, [this, from, message](ActionsState& state) {
          return OnActionMessage(state, NameOf(from), message, now());
        });
      });
    }
  }

  void OnResult(int node, const ActionResult& result) {
    const size_t index = std::stoul(result.request.value().substr(1));
    Call& call = calls_[index];
    call.results.push_back(result);
    if (call.results.size() > 1) {
      violations_.push_back("second result of " + call.request.value());
    }
    if (result.kind != ActionResultKind::kGranted) {
      return;
    }
    for (const Call& other : calls_) {
      if (&other != &call && other.scoped_key == call.scoped_key &&
          !other.is_voided && !other.results.empty() &&
          other.results.front().kind == ActionResultKind::kGranted) {
        violations_.push_back("granted twice: " + call.scoped_key);
      }
    }
    const Behaviour behaviour = behaviours_[index];
    After(behaviour.before_send,
          [this, node, index] { AfterGrant(node, index); });
  }

  void AfterGrant(int node, size_t index) {
    if (nodes_[node].life != behaviours_[index].life || !nodes_[node].is_live) {
      return;
    }
    if (now_ < nodes_[node].paused_until) {
      After(nodes_[node].paused_until - now_,
            [this, node, index] { AfterGrant(node, index); });
      return;
    }
    Call& call = calls_[index];
    const Nonce nonce = call.nonce;
    if (behaviours_[index].is_voided) {
      call.is_voided = true;
      Run(node, [this, nonce](ActionsState& state) {
        return VoidClaim(state, nonce, now());
      });
      return;
    }
    call.is_sent = true;
    After(std::chrono::milliseconds(20), [this, node, nonce] {
      Run(node, [this, nonce](ActionsState& state) {
        ActionAnswer answer;
        answer.body = "answer of " + nonce.value();
        return RecordOutcome(state, nonce, answer, now());
      });
    });
  }

  Random random_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  WallTime wall_ = WallTime(std::chrono::hours(24 * 365 * 50));
  FakeStore store_;
  std::vector<Node> nodes_;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> events_;
  uint64_t order_ = 0;
  std::vector<Call> calls_;
  std::vector<Behaviour> behaviours_;
  std::vector<std::string> violations_;
  std::set<std::pair<int, int>> cuts_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_TESTS_FLEET_H_
