#ifndef PERIDOTMILL_GATEWAY_TESTS_REPLICA_NODE_H_
#define PERIDOTMILL_GATEWAY_TESTS_REPLICA_NODE_H_

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_gateway/peers/node_registration.h"
#include "peridotmill_gateway/replication/replica_service.h"
#include "peridotmill_gateway/replication/replica_sources.h"
#include "peridotmill_gateway/replication/store_replica.h"
#include "peridotmill_gateway/tests/manual_timer_queue.h"
#include "peridotmill_gateway/tests/memory_store.h"
#include "peridotmill_gateway/tests/peer_network.h"
#include "peridotmill_gateway/tests/recording_events.h"

namespace peridotmill {

// A node with the components that replicate the store.
class ReplicaNode {
 public:
  ReplicaNode(const std::string& name,
              const std::string& domain,
              double processor_share,
              ManualClock& clock,
              ManualTimerQueue& timers,
              MemoryStore& store,
              PeerNetwork& network)
      : id(name),
        record{.peer_address = name,
               .failure_domain = FailureDomainId(domain),
               .processor_share = processor_share,
               .replica_address = name},
        channel(store, timers, name),
        retry_queue(timers, Hash64(name, 1)),
        replica({clock, timers, channel, retry_queue, events},
                {{{.prefix = "config",
                   .watch_timeout = std::chrono::seconds(2),
                   .watch_delay = std::chrono::milliseconds(200)},
                  {.prefix = "endpoints/",
                   .watch_timeout = std::chrono::seconds(2),
                   .watch_delay = std::chrono::milliseconds(300)},
                  {.prefix = kNodeKeyPrefix,
                   .watch_timeout = std::chrono::seconds(5),
                   .watch_delay = std::chrono::seconds(3)}}},
                {.on_snapshot =
                     [this](ReplicaPart part,
                            const std::vector<StoreEntry>& entries,
                            bool was_unreachable) {
                       const bool is_registration_outage =
                           was_unreachable &&
                           part == ReplicaPart::kRegistrations;
                       outage_snapshots += is_registration_outage ? 1 : 0;
                       OnSnapshot(part, entries);
                     },
                 .on_change =
                     [this](ReplicaPart part, const StoreChange& change) {
                       OnChange(part, change);
                     }}),
        service(replica, clock, timers, events),
        dialer(network, name),
        sources({clock, timers, dialer, directory, replica, service, events, id,
                 record, [this] { Renew(); }, [this] { replica.ReadNodes(); }}),
        registration(
            id,
            record,
            channel,
            timers,
            events,
            {.on_store_response = [this] { sources.OnStoreResponded(); },
             .on_store_contact_lost =
                 [this] {
                   sources.OnStoreUnresponsive();
                   replica.ReloadAll();
                 },
             .is_watching = [this] { return replica.is_watching(); }}) {
    network.AddNode(name, [this](const PeerNetwork::MakeLink& make) {
      service.Accept(make);
    });
  }

  void Start() {
    replica.ReadNodes();
    registration.Start();
  }
  void Renew() { registration.RenewNow(); }

  // The configuration and the endpoints as this node sees them.
  std::string configuration;
  std::set<std::string> endpoints;
  // The failure domains that this node believes to be evacuated: those of the
  // keys that begin with kEvacuationKeyPrefix.
  std::set<std::string> evacuated;
  static constexpr std::string_view kEvacuationKeyPrefix = "config-evacuate/";
  // Number of configurations that arrived after a later one.
  int reverts = 0;
  // Number of registration snapshots marked as following an outage.
  int outage_snapshots = 0;

  NodeId id;
  NodeRecord record;
  RecordingEvents events;
  NodeDirectory directory;
  MemoryStoreChannel channel;
  StoreRetryQueue retry_queue;
  StoreReplica replica;
  ReplicaService service;
  PeerNetwork::Dialer dialer;
  ReplicaSources sources;
  NodeRegistration registration;

 private:
  void OnSnapshot(ReplicaPart part, const std::vector<StoreEntry>& entries) {
    if (part == ReplicaPart::kNodes) {
      directory.Replace(entries, false);
      sources.OnNodesChanged();
    } else if (part == ReplicaPart::kRegistrations) {
      endpoints.clear();
      for (const StoreEntry& entry : entries) {
        endpoints.insert(entry.key);
      }
    } else {
      evacuated.clear();
      for (const StoreEntry& entry : entries) {
        SetOperatorEntry({.entry = entry});
      }
    }
  }
  void OnChange(ReplicaPart part, const StoreChange& change) {
    if (part == ReplicaPart::kNodes) {
      directory.Apply(change);
      sources.OnNodesChanged();
    } else if (part == ReplicaPart::kRegistrations) {
      if (change.is_removed) {
        endpoints.erase(change.entry.key);
      } else {
        endpoints.insert(change.entry.key);
      }
    } else {
      SetOperatorEntry(change);
    }
  }
  void SetOperatorEntry(const StoreChange& change) {
    const std::string& key = change.entry.key;
    if (!key.starts_with(kEvacuationKeyPrefix)) {
      SetConfiguration(change.entry.value);
    } else if (change.is_removed) {
      evacuated.erase(key.substr(kEvacuationKeyPrefix.size()));
    } else {
      evacuated.insert(key.substr(kEvacuationKeyPrefix.size()));
    }
  }
  void SetConfiguration(const std::string& value) {
    reverts += value < configuration ? 1 : 0;
    configuration = value;
  }
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_REPLICA_NODE_H_
