#ifndef PERIDOTMILL_GATEWAY_TESTS_PEER_NETWORK_H_
#define PERIDOTMILL_GATEWAY_TESTS_PEER_NETWORK_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "peridotmill_core/time/clock.h"
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

  PeerNetwork(TimerQueue& timers, const Clock& clock)
      : timers_(timers), clock_(clock) {}

  void AddNode(const std::string& address, Acceptor acceptor) {
    acceptors_[address] = std::move(acceptor);
  }
  void Isolate(const std::string& address) { isolated_nodes_.insert(address); }
  void Reconnect(const std::string& address) { isolated_nodes_.erase(address); }
  // Ends all links of a node, as the end of its process does.
  void BreakLinks(const std::string& address) {
    for (const auto& pair : std::vector(pairs_)) {
      if (pair->nodes[0] != address && pair->nodes[1] != address) {
        continue;
      }
      for (PeerLinkListener*& end : pair->ends) {
        if (auto* const listener = std::exchange(end, nullptr)) {
          listener->OnLinkLost();
        }
      }
    }
  }
  // Limits what a node sends and what it receives, over all its links. Frames
  // of nodes without a limit take no time to send.
  void SetBandwidth(const std::string& address, double bytes_per_second) {
    interfaces_[address].bytes_per_second = bytes_per_second;
  }
  // Bytes of all frames that were delivered to a node.
  size_t received_bytes(const std::string& address) {
    return interfaces_[address].received_bytes;
  }
  // Replaces all frames that are sent from now on.
  void set_rewrite(std::function<std::string(std::string_view)> rewrite) {
    rewrite_ = std::move(rewrite);
  }
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
      const auto deliver = [network = network_, pair = pair_, other = 1 - side_,
                            bytes = network_->rewrite_
                                        ? network_->rewrite_(frame)
                                        : std::string(frame)] {
        if (pair->ends[other] != nullptr && !network->HasIsolatedNode(*pair)) {
          network->interfaces_[pair->nodes[other]].received_bytes +=
              bytes.size();
          pair->ends[other]->OnLinkFrame(bytes);
        }
      };
      network_->Transmit(pair_, side_, frame.size(), deliver);
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

  // The network interface of a node. Frames wait until the ones before them
  // have passed it.
  struct Interface {
    double bytes_per_second = 0;
    Duration send_backlog_end = Duration::zero();
    Duration receive_backlog_end = Duration::zero();
    size_t received_bytes = 0;
  };

  // Passes a frame through the interfaces of the sender and the receiver. The
  // frames of a link that the receiver has closed take none of its bandwidth.
  void Transmit(const std::shared_ptr<Pair>& pair,
                size_t side,
                size_t bytes,
                std::function<void()> deliver) {
    Interface& sender = interfaces_[pair->nodes[side]];
    const Duration sent = Occupy(sender, sender.send_backlog_end, bytes);
    Schedule(
        [this, pair, other = 1 - side, bytes, deliver = std::move(deliver)] {
          if (pair->ends[other] == nullptr) {
            return;
          }
          Interface& receiver = interfaces_[pair->nodes[other]];
          const Duration received =
              Occupy(receiver, receiver.receive_backlog_end, bytes);
          if (received == Duration::zero()) {
            deliver();
          } else {
            Schedule(deliver, received);
          }
        },
        sent);
  }
  // Appends a frame to a backlog and returns the time until it has passed.
  Duration Occupy(const Interface& interface,
                  Duration& backlog_end,
                  size_t bytes) {
    if (interface.bytes_per_second <= 0) {
      return Duration::zero();
    }
    const Duration now = clock_.Now() - TimePoint();
    backlog_end =
        std::max(backlog_end, now) +
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(bytes) / interface.bytes_per_second));
    return backlog_end - now;
  }

  void Schedule(std::function<void()> action,
                Duration delay = Duration::zero()) {
    const uint64_t id = next_delivery_id_++;
    deliveries_[id] = timers_.After(delay + std::chrono::milliseconds(1),
                                    [this, id, action = std::move(action)] {
                                      const auto timer =
                                          std::move(deliveries_[id]);
                                      deliveries_.erase(id);
                                      action();
                                    });
  }

  TimerQueue& timers_;
  const Clock& clock_;
  std::map<std::string, Interface> interfaces_;
  std::map<std::string, Acceptor> acceptors_;
  std::set<std::string> isolated_nodes_;
  std::function<std::string(std::string_view)> rewrite_;
  std::vector<std::shared_ptr<Pair>> pairs_;
  std::map<uint64_t, std::unique_ptr<Timer>> deliveries_;
  uint64_t next_delivery_id_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_PEER_NETWORK_H_
