#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <string>

#include "peridotmill_membership/peridotmill_membership.h"

namespace peridotmill {
namespace {

using std::chrono::seconds;

constexpr int kNodes = 22;
constexpr int kDomains = 16;
constexpr int kEndpoints = 82;
constexpr int kPools = 12;
constexpr size_t kFramePrefix = 4;

// One domain of the design size on logical time, each node with its knowledge.
// Counts the frames of two nodes: a relay and one that is no relay. The other
// domains' relays are represented by the messages that they send.
class DomainTraffic {
 public:
  explicit DomainTraffic(uint64_t seed, double busy)
      : random_(seed), busy_(busy) {
    for (int i = 0; i < kNodes; ++i) {
      nodes_.emplace_back("node-" + std::to_string(100 + i));
    }
    for (int i = 0; i < kEndpoints; ++i) {
      EndpointRecord record;
      record.id = EndpointId("endpoint-" + std::to_string(i));
      record.pool = PoolId("pool-" + std::to_string(i % kPools));
      record.failure_domain = FailureDomainId("d0");
      record.incarnation = Incarnation(i + 1);
      records_.push_back(record);
      running_.push_back(static_cast<int>(random_.Below(32)));
    }
    for (const NodeId& node : nodes_) {
      State& state = states_[node];
      state.knowledge =
          MakeEndpointKnowledge(node, Incarnation(1), random_.Next(), now_);
      state.assigned =
          AssignedEndpoints(node, FailureDomainId("d0"), nodes_, records_);
    }
  }

  void RunFor(int count) {
    for (int i = 0; i < count; ++i) {
      RunSecond();
    }
  }
  void ResetBytes() { bytes_.clear(); }
  // Sent and received, relay first.
  double RelayRate(int count) const {
    return static_cast<double>(bytes_.at(nodes_[0])) / count;
  }
  double PlainRate(int count) const {
    return static_cast<double>(bytes_.at(nodes_[5])) / count;
  }

 private:
  struct State {
    EndpointKnowledge knowledge;
    TeamUseState team_use;
    CacheHintOutbox hints;
    DomainSummaries summaries;
    std::vector<AssignedEndpoint> assigned;
  };

  static size_t SizeOf(const std::vector<PeerMessage>& messages) {
    return EncodePeerFrame(messages).size() + kFramePrefix;
  }

  // Both are due every 2 s between relays and share a frame; the heartbeat
  // itself is counted in SendHeartbeat.
  static size_t SizeWithHeartbeat(const PeerMessage& message) {
    return SizeOf({HeartbeatMessage{}, message}) - SizeOf({HeartbeatMessage{}});
  }

  void Count(const NodeId& from, const NodeId& to, size_t size) {
    bytes_[from] += size;
    bytes_[to] += size;
  }

  // Messages of one second to all peers share a frame.
  template <typename Receive>
  void ToPeers(const NodeId& from,
               const PeerMessage& message,
               const Receive& receive) {
    outbox_[from].push_back(message);
    for (const NodeId& peer : nodes_) {
      if (peer != from) {
        receive(states_.at(peer));
      }
    }
  }

  void Flush() {
    for (const auto& [from, messages] : outbox_) {
      const size_t size = SizeOf(messages);
      for (const NodeId& peer : nodes_) {
        if (peer != from) {
          Count(from, peer, size);
        }
      }
    }
    outbox_.clear();
  }

  // A busy endpoint's load moves by up to 4 requests in a second.
  void MoveLoad() {
    for (int& running : running_) {
      if (random_.Unit() < busy_) {
        running =
            std::clamp(running + static_cast<int>(random_.Below(9)) - 4, 0, 64);
      }
    }
  }

  void SendHeartbeat(const NodeId& node) {
    State& state = states_.at(node);
    HeartbeatMessage heartbeat;
    heartbeat.incarnation = Incarnation(1790000000000000);
    heartbeat.revision = Revision(100000);
    heartbeat.counter = 70000;
    heartbeat.report_sequence = state.knowledge.sequence;
    ToPeers(node, heartbeat, [&](State& peer) {
      ApplyReportSequence(peer.knowledge, node, Incarnation(1),
                          heartbeat.report_sequence, now_);
    });
    if (node == nodes_[0]) {
      bytes_[node] += 2 * kRelaysPerDomain * (kDomains - 1) *
                      (SizeOf({heartbeat}) / kRemoteHeartbeatEvery);
    }
  }

  void SendReports(const NodeId& node) {
    State& state = states_.at(node);
    for (const AssignedEndpoint& endpoint : state.assigned) {
      const size_t i = std::stoul(endpoint.record.id.value().substr(9));
      EndpointLoad load;
      load.running = running_[i];
      load.memory_use = running_[i] / 64.0;
      load.loaded_models = {"model@1"};
      RecordReading(state.knowledge, endpoint, load, now_);
    }
    if (const auto report = TakeReport(state.knowledge, now_)) {
      ToPeers(node, *report, [&](State& peer) {
        ApplyReports(peer.knowledge, node, *report, now_);
      });
    }
    std::vector<NodeId> peers = nodes_;
    std::erase(peers, node);
    if (const auto digest = TakeDigest(state.knowledge, peers, 1, now_)) {
      const auto reply = AnswerDigest(states_.at(digest->peer).knowledge,
                                      digest->message, now_);
      Count(node, digest->peer, SizeOf({digest->message}) + SizeOf({reply}));
      ApplyDigestReply(state.knowledge, digest->peer, reply, now_);
    }
  }

  void SendUseAndHints(const NodeId& node) {
    State& state = states_.at(node);
    std::vector<TeamUseEntry> use;
    for (Fingerprint team = 0; team < 40; ++team) {
      use.push_back({FingerprintOf(std::to_string(team)),
                     QuantiseUse(random_.Unit() * 8)});
    }
    if (const auto message = TakeTeamUse(state.team_use, use, now_)) {
      ToPeers(node, *message, [&](State& peer) {
        ApplyTeamUse(peer.team_use, node, *message, now_);
      });
    }
    // Five new prefixes a second in each node, 110 in the domain, which is the
    // domain's share of 1,600 requests/s.
    for (int i = 0; i < 5; ++i) {
      QueueHint(state.hints,
                {ShortFingerprintOf("endpoint-1"),
                 static_cast<uint32_t>(random_.Next())},
                false);
    }
    if (const auto message = TakeHints(state.hints, now_)) {
      ToPeers(node, *message, [](State&) {});
    }
  }

  // The first two nodes are the relays; each serves half of the domains.
  void SendSummaries(int relay) {
    State& state = states_.at(nodes_[relay]);
    for (int domain = 1; domain < kDomains; ++domain) {
      DomainSummaryMessage message;
      for (int pool = 0; pool < kPools; ++pool) {
        // The other domains' relays keep to the same bound.
        if (message.pools.size() < kMaxOwnPerMessage &&
            random_.Unit() < busy_) {
          message.pools.push_back(
              {DomainPoolFingerprint(
                   FailureDomainId("d" + std::to_string(domain)),
                   PoolId("pool-" + std::to_string(pool))),
               56, static_cast<uint8_t>(random_.Below(12)), 7});
        }
      }
      if (second_ % 2 == 0 && !message.pools.empty()) {
        bytes_[nodes_[relay]] += SizeWithHeartbeat(message);
        ApplySummary(state.summaries, message, domain % 2 == relay, now_);
      }
    }
    const auto pools =
        SummarisePools(state.knowledge, FailureDomainId("d0"), records_, {});
    const auto messages = TakeSummaries(state.summaries, pools, now_);
    if (!messages) {
      return;
    }
    if (!messages->to_remote_relays.pools.empty()) {
      bytes_[nodes_[relay]] += SizeWithHeartbeat(messages->to_remote_relays) *
                               kRelaysPerDomain * (kDomains - 1) / 2;
    }
    if (!messages->to_domain_peers.pools.empty()) {
      ToPeers(nodes_[relay], messages->to_domain_peers, [](State&) {});
    }
  }

  void RunSecond() {
    now_ += seconds(1);
    ++second_;
    MoveLoad();
    for (const NodeId& node : nodes_) {
      SendHeartbeat(node);
      SendReports(node);
      SendUseAndHints(node);
    }
    SendSummaries(0);
    SendSummaries(1);
    Flush();
  }

  Random random_;
  // Share of endpoints and pools whose load moves in a second.
  double busy_;
  std::vector<NodeId> nodes_;
  std::vector<EndpointRecord> records_;
  std::vector<int> running_;
  std::map<NodeId, State> states_;
  std::map<NodeId, size_t> bytes_;
  std::map<NodeId, std::vector<PeerMessage>> outbox_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  int second_ = 0;
};

// Guards against shared knowledge that costs more than the stated 18 KB/s a
// node at the design size, sent and received, for relays too.
TEST(TrafficTest, ControlBytesPerNodeStayUnderTheBound) {
  for (const double busy : {0.3, 1.0}) {
    double relay = 0;
    double plain = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      DomainTraffic traffic(seed, busy);
      traffic.RunFor(30);
      traffic.ResetBytes();
      traffic.RunFor(60);
      relay = std::max(relay, traffic.RelayRate(60));
      plain = std::max(plain, traffic.PlainRate(60));
    }
    std::cout << "busy " << busy << ": relay " << relay << " B/s, other node "
              << plain << " B/s\n";
    EXPECT_LE(relay, 18 * 1024) << "busy " << busy;
    EXPECT_LE(plain, 18 * 1024) << "busy " << busy;
  }
}

}  // namespace
}  // namespace peridotmill
