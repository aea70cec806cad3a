#include "standins/peridotmill-standin/servers/hosts_server.h"

#include <nlohmann/json.hpp>

namespace peridotmill::standin {

using nlohmann::json;

HostsServer::HostsServer(const StandIn& settings,
                         const Scenario& scenario,
                         uint64_t seed)
    : StandInServer(settings, seed),
      report_(settings.lag, [this] { return ListJson(); }) {
  for (const StandIn& one : scenario.stand_ins) {
    if (one.kind == StandInKind::kEngine || one.kind == StandInKind::kService) {
      hosts_[one.id] = {one.address, one.pool, one.failure_domain};
    }
  }
  for (const EntryNode& node : scenario.nodes) {
    Host& host = hosts_[node.id];
    host.failure_domain = node.failure_domain;
    host.peer_address = node.peer_address;
  }
}

void HostsServer::Serve(const ExchangePtr& exchange) {
  if (exchange->path() != "/v1/hosts") {
    exchange->Answer(404, ErrorBody("not_found", "not_run"));
    return;
  }
  AnswerLater(exchange, 200,
              report_.Shown(LoopNow(), IsFaulty(FaultKind::kStale, *exchange)));
}

bool HostsServer::ServeAdmin(const ExchangePtr& exchange) {
  if (exchange->path() != "/stand-in/hosts") {
    return false;
  }
  try {
    Change(exchange->body());
    exchange->Answer(200, ListJson());
  } catch (const json::exception& error) {
    exchange->Answer(400, json{{"error", error.what()}}.dump());
  }
  return true;
}

void HostsServer::Change(const std::string& text) {
  for (const json& change : json::parse(text)) {
    const auto id = change.at("id").get<std::string>();
    const std::string state = change.value("state", "live");
    if (state == "removed") {
      hosts_.erase(id);
      continue;
    }
    Host& host = hosts_[id];
    host.state = state;
    host.address = change.value("address", host.address);
    host.pool = change.value("pool", host.pool);
    host.failure_domain = change.value("failure_domain", host.failure_domain);
    host.peer_address = change.value("peer_address", host.peer_address);
    host.incarnation = change.value("incarnation", host.incarnation);
  }
  ++version_;
  report_.Record(LoopNow());
}

std::string HostsServer::ListJson() const {
  json list = {{"version", version_},
               {"endpoints", json::array()},
               {"nodes", json::array()}};
  for (const auto& [id, host] : hosts_) {
    if (!host.peer_address.empty()) {
      list["nodes"].push_back({{"id", id},
                               {"peer_address", host.peer_address},
                               {"failure_domain", host.failure_domain},
                               {"state", host.state}});
    } else {
      list["endpoints"].push_back({{"id", id},
                                   {"address", host.address},
                                   {"pool", host.pool},
                                   {"failure_domain", host.failure_domain},
                                   {"state", host.state},
                                   {"incarnation", host.incarnation}});
    }
  }
  return list.dump();
}

}  // namespace peridotmill::standin
