#include "peridotmill_node/tests/fake_fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotmill {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Carries out the commands of one node; one overload for each kind.
class CommandTaker {
 public:
  CommandTaker(FakeFleet& fleet, int node) : fleet_(fleet), node_(node) {}

  void operator()(const StartAttempt& command) { fleet_.Take(node_, command); }
  void operator()(const CancelAttempt& command) {
    fleet_.attempts_.erase(command.attempt);
  }
  void operator()(const CallerFragment& command) {
    const json chunk = json::parse(command.data);
    fleet_.requests.at(command.request).streamed +=
        chunk["choices"][0]["delta"]["content"].get<std::string>();
  }
  void operator()(const CallerAnswer& command) {
    SentRequest& request = fleet_.requests.at(command.request);
    request.endings.push_back(
        {true, command.body, {}, {}, fleet_.now() - request.at});
  }
  void operator()(const CallerRefusal& command) {
    SentRequest& request = fleet_.requests.at(command.request);
    request.endings.push_back({false, command.message, command.reason,
                               command.execution, fleet_.now() - request.at});
  }
  void operator()(const StoreCall& command) { fleet_.Take(node_, command); }
  void operator()(const SendPeerFrame& command) {
    const int peer = IndexOf(command.peer);
    if (!fleet_.links_.contains({node_, peer})) {
      return;
    }
    // Frames of one connection stay in order.
    TimePoint& last = fleet_.link_times_[{node_, peer}];
    last = std::max(last,
                    fleet_.now() + milliseconds(1) +
                        std::chrono::microseconds(fleet_.random.Below(1000)));
    FakeFleet& fleet = fleet_;
    fleet_.At(last - fleet_.now(), [&fleet, node = node_, peer, command] {
      if (fleet.links_.contains({node, peer})) {
        fleet.Deliver(
            peer, Duration::zero(),
            PeerFrame{fleet.nodes[node].settings.id, command.payload});
      }
    });
  }
  void operator()(const ConnectPeer& command) {
    fleet_.Connect(node_, IndexOf(command.peer));
  }
  void operator()(const ClosePeer& command) {
    const int peer = IndexOf(command.peer);
    if (fleet_.links_.erase({node_, peer}) > 0) {
      fleet_.links_.erase({peer, node_});
      fleet_.Deliver(peer, milliseconds(1),
                     PeerDisconnected{fleet_.nodes[node_].settings.id});
    }
  }
  void operator()(const RejectPeerFrame&) {
    fleet_.violations.push_back("a node sent a malformed frame");
  }
  void operator()(const ReadLoad& command) {
    const FakeEndpoint& endpoint = fleet_.endpoints.at(command.endpoint);
    LoadRead read{command.endpoint, std::nullopt};
    if (!endpoint.is_dead && fleet_.Reaches(fleet_.DomainOf(node_),
                                            endpoint.record.failure_domain)) {
      read.load = EndpointLoad();
      read.load->is_leaving = endpoint.reports_leaving;
      read.load->loaded_models = {"guide@1"};
      read.load->running = static_cast<int32_t>(
          std::ranges::count_if(fleet_.attempts_, [&](const auto& open) {
            return open.second.endpoint == command.endpoint;
          }));
    }
    fleet_.Deliver(node_, milliseconds(2), read);
  }
  void operator()(const SendOrder&) {}
  void operator()(const ReadWeights&) {}
  void operator()(const LogEvent&) {}
  void operator()(const ExitNode& command) {
    fleet_.nodes[node_].exit_codes.push_back(command.code);
  }

 private:
  static int IndexOf(const NodeId& node) {
    return std::stoi(node.value().substr(1));
  }

  FakeFleet& fleet_;
  int node_;
};

FakeFleet::FakeFleet(uint64_t seed,
                     int node_count,
                     int domains,
                     int endpoints_per_domain)
    : random(seed), domains_(domains) {
  for (int domain = 0; domain < domains; ++domain) {
    for (const char* pool : {"encoders", "engines", "ledger"}) {
      for (int i = 0; i < endpoints_per_domain; ++i) {
        const std::string id = std::string(pool) + "-d" +
                               std::to_string(domain) + "-" + std::to_string(i);
        FakeEndpoint& endpoint = endpoints[EndpointId(id)];
        endpoint.record = {
            EndpointId(id), id,
            PoolId(pool),   FailureDomainId("d" + std::to_string(domain)),
            false,          Incarnation(1)};
      }
    }
  }
  Publish(FleetObjects());
  nodes.resize(node_count);
  for (int i = 0; i < node_count; ++i) {
    const std::string id = "n" + std::to_string(i);
    nodes[i].settings.id = NodeId(id);
    nodes[i].settings.peer_address = id;
    nodes[i].settings.failure_domain =
        FailureDomainId("d" + std::to_string(i % domains));
    Start(i);
  }
  Run(seconds(3));
}

void FakeFleet::Start(int node) {
  NodeSettings& settings = nodes[node].settings;
  settings.incarnation = Incarnation(settings.incarnation.value() + 1);
  settings.seed = random.Next();
  settings.started_at = clock.Now();
  settings.wall_started_at = clock.WallNow();
  nodes[node].state = std::make_unique<NodeState>(*MakeNode(settings));
  nodes[node].next_tick = clock.Now();
  nodes[node].revision = Revision(0);
  nodes[node].exit_codes.clear();
  SendHostList(node, settings.incarnation);
}

void FakeFleet::At(Duration delay, std::function<void()> action) {
  actions_.emplace(std::make_pair(now() + delay, ++action_count_),
                   std::move(action));
}

void FakeFleet::Deliver(int node, Duration delay, NodeEvent event) {
  At(delay, [this, node, incarnation = nodes[node].settings.incarnation,
             event = std::move(event)] {
    if (nodes[node].settings.incarnation == incarnation) {
      Step(node, event);
    }
  });
}

void FakeFleet::Step(int node, const NodeEvent& event) {
  FakeNode& target = nodes[node];
  if (target.is_dead || !target.exit_codes.empty()) {
    return;
  }
  if (target.is_paused) {
    target.held.push_back(event);
    return;
  }
  Observe(node, event);
  const auto commands = peridotmill::Step(*target.state, event, now());
  const Revision revision = target.state->config.revision;
  if (revision < target.revision) {
    violations.push_back("the configuration went back");
  }
  target.revision = revision;
  CommandTaker taker(*this, node);
  for (const NodeCommand& command : commands) {
    std::visit(taker, command);
  }
  // Exact to the wakeup, but never at once again: a wakeup that stays in the
  // past would hold up the logical time.
  const TimePoint wakeup = NextWakeup(*target.state);
  target.next_tick = wakeup > now() ? wakeup : now() + milliseconds(1);
}

void FakeFleet::Observe(int node, const NodeEvent& event) {
  const auto note = [&](const EndpointId& id) {
    if (endpoints.at(id).record.failure_domain == DomainOf(node)) {
      leaving_since_.emplace(id, now());
    }
  };
  if (const auto* list = std::get_if<HostListRead>(&event)) {
    for (const EndpointRecord& record : list->list.endpoints) {
      if (record.is_leaving) {
        note(record.id);
      }
    }
  } else if (const auto* read = std::get_if<LoadRead>(&event)) {
    if (read->load && read->load->is_leaving) {
      note(read->endpoint);
    }
  }
}

void FakeFleet::Run(Duration duration) {
  const TimePoint end = now() + duration;
  while (true) {
    TimePoint next = end;
    int ticking = -1;
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (!nodes[i].is_dead && !nodes[i].is_paused &&
          nodes[i].exit_codes.empty() && nodes[i].next_tick < next) {
        next = nodes[i].next_tick;
        ticking = static_cast<int>(i);
      }
    }
    const bool is_action = !actions_.empty() &&
                           actions_.begin()->first.first <= next &&
                           actions_.begin()->first.first < end;
    if (is_action) {
      next = actions_.begin()->first.first;
    }
    clock.Advance(std::max(Duration::zero(), next - now()));
    if (is_action) {
      const auto action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    } else if (ticking >= 0) {
      Step(ticking, Tick{});
    } else {
      return;
    }
  }
}

bool FakeFleet::Reaches(const FailureDomainId& from,
                        const FailureDomainId& to) const {
  return from == to ||
         (!cut_domains.contains(from) && !cut_domains.contains(to));
}

HostList FakeFleet::TrueList() const {
  HostList list;
  for (const auto& [id, endpoint] : endpoints) {
    if (!endpoint.is_dead) {
      list.endpoints.push_back(endpoint.record);
    }
  }
  for (const FakeNode& node : nodes) {
    if (!node.is_dead) {
      list.nodes.push_back({node.settings.id, node.settings.peer_address,
                            node.settings.failure_domain, false});
    }
  }
  return list;
}

void FakeFleet::SendHostList(int node, Incarnation incarnation) {
  if (nodes[node].settings.incarnation != incarnation) {
    return;
  }
  Deliver(node, milliseconds(1),
          HostListRead{stale_list ? *stale_list : TrueList()});
  At(milliseconds(900 + random.Below(200)),
     [=, this] { SendHostList(node, incarnation); });
}

void FakeFleet::Take(int node, const StoreCall& call) {
  ++store_calls;
  const auto answer = [=, this](StoreAnswer value, Duration delay) {
    Deliver(node, delay, StoreAnswered{call.call, std::move(value)});
  };
  StoreAnswer unknown;
  unknown.status = StoreStatus::kUnknown;
  if (store_faults.is_down ||
      store_faults.unreachable_from.contains(DomainOf(node))) {
    if (store_faults.is_silent) {
      answer(unknown, call.timeout);
    } else {
      answer(StoreAnswer(), milliseconds(1));
    }
    return;
  }
  if (const auto* watch = std::get_if<StoreWatch>(&call.request)) {
    watches_.push_back({node, nodes[node].settings.incarnation, call.call,
                        watch->after_revision});
    AnswerWatches();
    return;
  }
  // The call takes effect somewhere between its start and its answer.
  const Duration delay =
      store_faults.delay / 2 +
      Duration(random.Below(std::max<int64_t>(1, store_faults.delay.count())));
  At(delay / 2, [=, this] {
    const StoreAnswer value = store.Execute(call.request);
    const bool is_write = std::holds_alternative<StoreTxn>(call.request);
    const bool is_lost = is_write && random.Unit() < store_faults.lost_answers;
    if (is_lost || delay > call.timeout) {
      answer(unknown, call.timeout - delay / 2);
    } else {
      answer(value, delay / 2);
    }
    AnswerWatches();
  });
}

void FakeFleet::AnswerWatches() {
  const auto head = store.entries().find(kHeadKey);
  if (head == store.entries().end() || store_faults.loses_watch_events) {
    return;
  }
  std::erase_if(watches_, [&](const Watch& watch) {
    if (head->second.mod_revision <= watch.after || store_faults.is_down ||
        store_faults.unreachable_from.contains(DomainOf(watch.node))) {
      return false;
    }
    StoreAnswer answer;
    answer.status = StoreStatus::kOk;
    answer.entries = {head->second};
    answer.store_revision = head->second.mod_revision;
    if (nodes[watch.node].settings.incarnation == watch.incarnation) {
      Deliver(watch.node, milliseconds(2), StoreAnswered{watch.call, answer});
    }
    return true;
  });
}

void FakeFleet::Take(int node, const StartAttempt& command) {
  const FakeEndpoint& endpoint = endpoints.at(command.endpoint);
  attempts_[command.attempt] = {node, nodes[node].settings.incarnation,
                                command.endpoint, command.is_stream};
  At(milliseconds(1), [=, this] { RunAttempt(node, command); });
  At(command.timeout, [=, this] {
    const auto open = attempts_.find(command.attempt);
    if (open != attempts_.end()) {
      attempts_.erase(open);
      Deliver(node, Duration::zero(),
              AttemptFinished{command.attempt, "",
                              AttemptOutcome::kOutcomeUnknown});
    }
  });
  static_cast<void>(endpoint);
}

void FakeFleet::RunAttempt(int node, const StartAttempt& command) {
  FakeEndpoint& endpoint = endpoints.at(command.endpoint);
  if (endpoint.is_dead || endpoint.outcome == AttemptOutcome::kRefused ||
      !Reaches(DomainOf(node), endpoint.record.failure_domain)) {
    FinishAttempt(command.attempt, endpoint.outcome == AttemptOutcome::kRefused
                                       ? AttemptOutcome::kRefused
                                       : AttemptOutcome::kNotSent);
    return;
  }
  const json body = json::parse(command.body);
  std::string text = command.is_stream ? body["messages"][0]["content"]
                     : body["input"].is_string()
                         ? body["input"]
                         : body["input"]["messages"][0]["content"];
  runs.push_back({command, node, endpoint.record.pool, text, now()});
  const auto left = leaving_since_.find(command.endpoint);
  if (left != leaving_since_.end() && now() - left->second > seconds(2)) {
    violations.push_back("P5: " + command.endpoint.value() + " got work " +
                         std::to_string(ToMilliseconds(now() - left->second)) +
                         " ms after the news");
  }
  At(endpoint.service_time, [=, this] {
    const FakeEndpoint& runner = endpoints.at(command.endpoint);
    if (command.is_stream && runner.outcome == AttemptOutcome::kCompleted) {
      SendToken(command.attempt, text, body.value("resume_from", 0));
    } else {
      FinishAttempt(command.attempt, runner.outcome,
                    json{{"result", {{"echo", text}}}}.dump());
    }
  });
}

void FakeFleet::SendToken(const AttemptId& attempt,
                          const std::string& text,
                          int token) {
  const auto open = attempts_.find(attempt);
  if (open == attempts_.end()) {
    return;
  }
  FakeEndpoint& endpoint = endpoints.at(open->second.endpoint);
  if (endpoint.dies_at_token == token) {
    KillEndpoint(endpoint);
    return;
  }
  if (token == kTokensOfAnswer) {
    FinishAttempt(attempt, AttemptOutcome::kCompleted);
    return;
  }
  if (Reaches(DomainOf(open->second.node), endpoint.record.failure_domain)) {
    // Out of order and sometimes twice.
    for (uint64_t copy = 0; copy <= random.Below(10) / 9; ++copy) {
      Deliver(open->second.node, std::chrono::microseconds(random.Below(8000)),
              AttemptFragment{attempt, attempt.value(),
                              static_cast<uint64_t>(token),
                              text + ":" + std::to_string(token) + " "});
    }
  }
  At(milliseconds(5), [=, this] { SendToken(attempt, text, token + 1); });
}

void FakeFleet::FinishAttempt(const AttemptId& attempt,
                              AttemptOutcome outcome,
                              const std::string& body) {
  const auto open = attempts_.find(attempt);
  if (open == attempts_.end()) {
    return;
  }
  const OpenAttempt& ended = open->second;
  const bool is_reachable = Reaches(
      DomainOf(ended.node), endpoints.at(ended.endpoint).record.failure_domain);
  if (!is_reachable && outcome != AttemptOutcome::kNotSent) {
    // The answer is lost; the attempt's time-out ends it.
    return;
  }
  AttemptFinished finished{attempt, attempt.value(), outcome, body};
  if (ended.is_stream && outcome == AttemptOutcome::kCompleted) {
    finished.output_tokens = TokenCount(kTokensOfAnswer);
  }
  // After all fragments.
  Deliver(ended.node, milliseconds(ended.is_stream ? 9 : 1), finished);
  attempts_.erase(open);
}

void FakeFleet::KillEndpoint(FakeEndpoint& endpoint) {
  endpoint.is_dead = true;
  std::vector<AttemptId> broken;
  for (const auto& [id, open] : attempts_) {
    if (open.endpoint == endpoint.record.id) {
      broken.push_back(id);
    }
  }
  for (const AttemptId& id : broken) {
    FinishAttempt(id, AttemptOutcome::kOutcomeUnknown);
  }
}

void FakeFleet::Connect(int node, int peer) {
  At(milliseconds(1), [=, this] {
    if (nodes[node].is_dead || nodes[peer].is_dead ||
        links_.contains({node, peer}) ||
        !Reaches(DomainOf(node), DomainOf(peer))) {
      return;
    }
    links_.insert({{node, peer}, {peer, node}});
    Deliver(node, Duration::zero(), PeerConnected{nodes[peer].settings.id});
    Deliver(peer, Duration::zero(), PeerConnected{nodes[node].settings.id});
  });
}

void FakeFleet::Disconnect(int node, int peer) {
  if (links_.erase({node, peer}) + links_.erase({peer, node}) == 2) {
    Deliver(node, Duration::zero(), PeerDisconnected{nodes[peer].settings.id});
    Deliver(peer, Duration::zero(), PeerDisconnected{nodes[node].settings.id});
  }
}

void FakeFleet::Cut(const FailureDomainId& domain) {
  cut_domains.insert(domain);
  const auto links = links_;
  for (const auto& [from, to] : links) {
    if (!Reaches(DomainOf(from), DomainOf(to))) {
      Disconnect(from, to);
    }
  }
}

void FakeFleet::Resume(int node) {
  nodes[node].is_paused = false;
  auto held = std::exchange(nodes[node].held, {});
  for (const NodeEvent& event : held) {
    Step(node, event);
  }
  nodes[node].next_tick = now();
}

void FakeFleet::Kill(int node) {
  for (size_t peer = 0; peer < nodes.size(); ++peer) {
    Disconnect(node, static_cast<int>(peer));
  }
  nodes[node].is_dead = true;
  std::erase_if(attempts_,
                [&](const auto& open) { return open.second.node == node; });
}

void FakeFleet::Restart(int node) {
  Kill(node);
  nodes[node].is_dead = false;
  nodes[node].is_paused = false;
  nodes[node].held.clear();
  Start(node);
}

}  // namespace peridotmill
