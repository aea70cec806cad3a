#include "standins/peridotmill-standin/servers/admin_server.h"

#include <nlohmann/json.hpp>

#include "standins/peridotmill-standin/servers/admin_json.h"

namespace peridotmill::standin {
namespace {

// Value of `name` in a query string; empty when absent.
std::string Parameter(const std::string& query, const std::string& name) {
  const std::string text = "&" + query + "&";
  const size_t at = text.find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const size_t begin = at + name.size() + 2;
  return text.substr(begin, text.find('&', begin) - begin);
}

}  // namespace

AdminServer::AdminServer(const StandIn& settings, const Servers& servers)
    : StandInServer(settings, 1), servers_(servers) {}

void AdminServer::Serve(const ExchangePtr& exchange) {
  exchange->Answer(404, ErrorBody("not_found", "not_run"));
}

bool AdminServer::ServeAdmin(const ExchangePtr& exchange) {
  const std::string path = exchange->path();
  RunRecord runs;
  nlohmann::json counts = nlohmann::json::object();
  if (path == "/stand-in/faults") {
    SetFaultsOfMatching(exchange);
    return true;
  }
  for (const auto& server : servers_) {
    Merge(server->runs(), runs);
    counts[server->settings().id] = server->counts();
  }
  if (path == "/stand-in/runs") {
    exchange->Answer(200, RunsJson(runs));
  } else if (path == "/stand-in/markers") {
    exchange->Answer(200, MarkersJson(runs));
  } else if (path == "/stand-in/counts") {
    exchange->Answer(200, nlohmann::json{{"counts", counts}}.dump());
  } else {
    return false;
  }
  return true;
}

void AdminServer::SetFaultsOfMatching(const ExchangePtr& exchange) {
  std::string error;
  const auto faults = ReadFaults(exchange->body(), LoopNow(), error);
  if (!faults) {
    exchange->Answer(400, nlohmann::json{{"error", error}}.dump());
    return;
  }
  const std::string query = exchange->query();
  const auto matches = [&](const char* name, const std::string& value) {
    const std::string wanted = Parameter(query, name);
    return wanted.empty() || wanted == value;
  };
  nlohmann::json affected = nlohmann::json::array();
  for (const auto& server : servers_) {
    const StandIn& stand_in = server->settings();
    if (server.get() != this && matches("id", stand_in.id) &&
        matches("pool", stand_in.pool) &&
        matches("domain", stand_in.failure_domain)) {
      server->SetFaults(*faults);
      affected.push_back(stand_in.id);
    }
  }
  exchange->Answer(200, nlohmann::json{{"affected", affected}}.dump());
}

}  // namespace peridotmill::standin
