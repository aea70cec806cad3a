#ifndef PERIDOTMILL_MEMBERSHIP_TESTS_MESH_LOOP_H_
#define PERIDOTMILL_MEMBERSHIP_TESTS_MESH_LOOP_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_membership/peridotmill_membership.h"

namespace peridotmill {

// Passes messages between a few membership states on logical time, in steps of
// 50 ms. Every message is encoded and decoded and takes one step.
class MeshLoop {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(50);

  MeshLoop(int domains, int nodes_per_domain, uint64_t seed)
      : random_(seed), seed_(seed) {
    for (int domain = 0; domain < domains; ++domain) {
      for (int i = 0; i < nodes_per_domain; ++i) {
        NodeRecord record;
        record.id = Name(domain, i);
        record.peer_address = record.id.value() + ":7000";
        record.failure_domain = Domain(domain);
        list.nodes.push_back(record);
      }
    }
    for (const NodeRecord& record : list.nodes) {
      Start(record);
    }
  }

  static NodeId Name(int domain, int i) {
    return NodeId("n" + std::to_string(domain) + "-" + std::to_string(i));
  }
  static FailureDomainId Domain(int domain) {
    return FailureDomainId("d" + std::to_string(domain));
  }

  // Starts a new process of a node.
  void Start(const NodeRecord& record) {
    MembershipSettings settings;
    settings.node = record.id;
    settings.address = record.peer_address;
    settings.failure_domain = record.failure_domain;
    settings.incarnation = Incarnation(++incarnations_);
    settings.seed = seed_ * 1000 + static_cast<uint64_t>(incarnations_);
    states[record.id] = MakeMembership(settings, now);
    Run(record.id, ApplyHostList(states[record.id], list, now));
  }

  void Kill(const NodeId& node) {
    for (auto& [other, state] : states) {
      if (links_.erase(Link(node, other)) > 0 && other != node) {
        Run(other, PeerDown(state, node, now));
      }
    }
    states.erase(node);
  }

  void GiveHostList() {
    for (auto& [node, state] : states) {
      Run(node, ApplyHostList(state, list, now));
    }
  }

  void Leave(const NodeId& node) { Run(node, StartLeaving(states[node], now)); }

  void RunFor(Duration duration) {
    for (const TimePoint end = now + duration; now < end;) {
      Step();
    }
  }

  MemberState StateOf(const NodeId& at, const NodeId& of) const {
    const auto found = states.at(at).entries.find(of);
    return found == states.at(at).entries.end() ? MemberState::kDead
                                                : found->second.member.state;
  }

  bool IsLinked(const NodeId& a, const NodeId& b) const {
    return links_.contains(Link(a, b));
  }

  std::map<NodeId, MembershipState> states;
  HostList list;
  TimePoint now = TimePoint(std::chrono::hours(1));
  // Domain that no message enters or leaves.
  FailureDomainId cut;
  // Node that does not run; its messages wait.
  NodeId paused;
  // Deliver messages of one step in random order, and some twice.
  bool is_disordered = false;
  std::vector<std::pair<NodeId, MemberChanged>> changes;
  uint64_t dials = 0;

 private:
  struct Frame {
    NodeId from;
    NodeId to;
    std::string payload;
  };

  static std::pair<NodeId, NodeId> Link(const NodeId& a, const NodeId& b) {
    return std::minmax(a, b);
  }

  bool IsCut(const NodeId& a, const NodeId& b) const {
    const auto domain = [this](const NodeId& node) {
      return states.at(node).self.failure_domain;
    };
    return domain(a) != domain(b) && (domain(a) == cut || domain(b) == cut);
  }

  void Run(const NodeId& node, const MembershipCommands& commands) {
    for (const MembershipCommand& command : commands) {
      if (const auto* send = std::get_if<SendToPeer>(&command)) {
        if (IsLinked(node, send->peer)) {
          sent_.push_back({node, send->peer, EncodePeerMessage(send->message)});
        }
      } else if (const auto* dial = std::get_if<DialPeer>(&command)) {
        ++dials;
        dialled_.emplace_back(node, dial->peer);
      } else if (const auto* changed = std::get_if<MemberChanged>(&command)) {
        changes.emplace_back(node, *changed);
      } else if (const auto* drop = std::get_if<DropPeer>(&command)) {
        Disconnect(node, drop->peer);
      }
    }
  }

  void Disconnect(const NodeId& a, const NodeId& b) {
    links_.erase(Link(a, b));
    Run(a, PeerDown(states.at(a), b, now));
    Run(b, PeerDown(states.at(b), a, now));
  }

  void Connect() {
    for (const auto& [from, to] : std::exchange(dialled_, {})) {
      if (states.contains(from) && states.contains(to) && !IsCut(from, to) &&
          to != paused && links_.insert(Link(from, to)).second) {
        Run(from, PeerUp(states.at(from), to, now));
        Run(to, PeerUp(states.at(to), from, now));
      }
    }
  }

  void Deliver(const Frame& frame) {
    const auto state = states.find(frame.to);
    if (state == states.end() || !IsLinked(frame.from, frame.to) ||
        IsCut(frame.from, frame.to)) {
      return;
    }
    const Result<PeerMessage> message = DecodePeerMessage(frame.payload);
    if (!message) {
      return;
    }
    if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&*message)) {
      Run(frame.to, ApplyHeartbeat(state->second, frame.from, *heartbeat, now));
    } else if (const auto* delta = std::get_if<MemberDeltaMessage>(&*message)) {
      Run(frame.to, ApplyMemberDelta(state->second, frame.from, *delta, now));
    } else if (const auto* leaving = std::get_if<LeavingMessage>(&*message)) {
      Run(frame.to, ApplyLeaving(state->second, frame.from, *leaving, now));
    }
  }

  void Step() {
    now += kStep;
    Connect();
    std::vector<Frame> frames = std::exchange(sent_, {});
    if (is_disordered) {
      for (size_t i = frames.size(); i > 1; --i) {
        std::swap(frames[i - 1], frames[random_.Below(i)]);
      }
    }
    for (const Frame& frame : frames) {
      if (frame.to == paused) {
        sent_.push_back(frame);
        continue;
      }
      Deliver(frame);
      if (is_disordered && random_.Below(4) == 0) {
        Deliver(frame);
      }
    }
    for (auto& [node, state] : states) {
      if (node != paused && NextMembershipWakeup(state) <= now) {
        Run(node, TickMembership(state, {}, now));
      }
    }
  }

  Random random_;
  uint64_t seed_;
  int64_t incarnations_ = 0;
  std::set<std::pair<NodeId, NodeId>> links_;
  std::vector<Frame> sent_;
  std::vector<std::pair<NodeId, NodeId>> dialled_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_TESTS_MESH_LOOP_H_
