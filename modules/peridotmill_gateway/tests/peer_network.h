#ifndef PERIDOTMILL_GATEWAY_TESTS_PEER_NETWORK_H_
#define PERIDOTMILL_GATEWAY_TESTS_PEER_NETWORK_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/peers/peer_link.h"

namespace peridotmill {

// In-memory links between many nodes. A test can isolate a node, so that all
// frames from and to it are lost.
class PeerNetwork {
 public:
  using MakeLink =
      std::function<std::unique_ptr<PeerLink>(PeerLinkListener* listener)>;
  using Acceptor = std::function<void(MakeLink)>;

  explicit PeerNetwork(TimerQueue& timers) : timers_(timers) {}

  void AddNode(const std::string& address, Acceptor acceptor) {
    acceptors_[address] = std::move(acceptor);
  }
  void Isolate(const std::string& address) { isolated_nodes_.insert(address); }
  void Reconnect(const std::string& address) { isolated_nodes_.erase(address); }
  // Delivers `frame` to the accepting end of every link.
  void SendToAll(const std::string& frame) {
    for (const auto& pair : std::vector(pairs_)) {
      if (PeerLinkListener* const end = pair->ends[1]) {
        end->OnLinkFrame(frame);
      }
    }
  }

  // Opens links from one node to others.
  class Dialer final : public PeerDialer {
   public:
    Dialer(PeerNetwork& network, std::string node)
        : network_(network), node_(std::move(node)) {}
    std::unique_ptr<PeerLink> Dial(const std::string& address,
                                   PeerLinkListener* listener) override {
      return network_.Open(node_, address, listener);
    }

   private:
    PeerNetwork& network_;
    std::string node_;
  };

 private:
  struct Pair {
    std::array<PeerLinkListener*, 2> ends = {};
    std::array<std::string, 2> nodes;
  };

  class Link final : public PeerLink {
   public:
    Link(PeerNetwork* network, std::shared_ptr<Pair> pair, size_t side)
        : network_(network), pair_(std::move(pair)), side_(side) {}
    ~Link() override {
      pair_->ends[side_] = nullptr;
      network_->Schedule([pair = pair_, other = 1 - side_] {
        if (auto* const end = std::exchange(pair->ends[other], nullptr)) {
          end->OnLinkLost();
        }
      });
    }
    void Send(std::string_view frame) override {
      network_->Schedule([network = network_, pair = pair_, other = 1 - side_,
                          bytes = std::string(frame)] {
        if (pair->ends[other] != nullptr && !network->HasIsolatedNode(*pair)) {
          pair->ends[other]->OnLinkFrame(bytes);
        }
      });
    }

   private:
    PeerNetwork* network_;
    std::shared_ptr<Pair> pair_;
    size_t side_;
  };

  std::unique_ptr<PeerLink> Open(const std::string& from,
                                 const std::string& to,
                                 PeerLinkListener* listener) {
    auto pair = std::make_shared<Pair>();
    pair->ends[0] = listener;
    pair->nodes = {from, to};
    pairs_.push_back(pair);
    const auto acceptor = acceptors_.find(to);
    if (acceptor != acceptors_.end() && !HasIsolatedNode(*pair)) {
      acceptor->second([&](PeerLinkListener* accepted) {
        pair->ends[1] = accepted;
        return std::make_unique<Link>(this, pair, 1);
      });
    }
    return std::make_unique<Link>(this, pair, 0);
  }

  bool HasIsolatedNode(const Pair& pair) const {
    return isolated_nodes_.contains(pair.nodes[0]) ||
           isolated_nodes_.contains(pair.nodes[1]);
  }

  void Schedule(std::function<void()> action) {
    const uint64_t id = next_delivery_id_++;
    deliveries_[id] = timers_.After(
        std::chrono::milliseconds(1), [this, id, action = std::move(action)] {
          const auto timer = std::move(deliveries_[id]);
          deliveries_.erase(id);
          action();
        });
  }

  TimerQueue& timers_;
  std::map<std::string, Acceptor> acceptors_;
  std::set<std::string> isolated_nodes_;
  std::vector<std::shared_ptr<Pair>> pairs_;
  std::map<uint64_t, std::unique_ptr<Timer>> deliveries_;
  uint64_t next_delivery_id_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_PEER_NETWORK_H_
