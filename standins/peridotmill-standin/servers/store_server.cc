#include "standins/peridotmill-standin/servers/store_server.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "standins/peridotmill-standin/servers/store_json.h"

namespace peridotmill::standin {
namespace {

using nlohmann::json;

// Codes of google.rpc, as the gateway reports them.
constexpr int kInvalidArgument = 3;
constexpr int kNotFound = 5;

std::string GatewayError(int code, const std::string& message) {
  return json{{"code", code}, {"message", message}, {"error", message}}.dump();
}

bool IsWrite(const Txn& txn) {
  for (const auto* ops : {&txn.success, &txn.failure}) {
    for (const StoreOp& op : *ops) {
      if (!std::holds_alternative<RangeOp>(op)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

StoreServer::StoreServer(const StandIn& settings, uint64_t seed)
    : StandInServer(settings, seed), expiry_timer_([this] { AfterChange(); }) {}

void StoreServer::Serve(const ExchangePtr& exchange) {
  try {
    ServeCall(exchange);
  } catch (const std::exception& error) {
    exchange->Answer(400, GatewayError(kInvalidArgument, error.what()));
  }
}

void StoreServer::OnFaultsChanged() {
  for (const Watch& watch : watches_) {
    if (IsFaulty(FaultKind::kDown, *watch.exchange)) {
      watch.exchange->Cut();
    }
  }
}

void StoreServer::ServeCall(const ExchangePtr& exchange) {
  const std::string path = exchange->path();
  const std::string body = exchange->body();
  ExpireLeases(state_, LoopNow());
  const json request = json::parse(body);
  if (path == "/v3/kv/range") {
    Count("reads");
    AnswerLater(exchange, 200,
                OpResultJson(state_, Range(state_, ReadRange(request))).dump());
  } else if (path == "/v3/kv/txn") {
    ServeTxn(exchange, ReadTxn(request));
  } else if (path == "/v3/kv/put") {
    ServeSingle(exchange, ReadPut(request));
  } else if (path == "/v3/kv/deleterange") {
    ServeSingle(exchange, ReadDelete(request));
  } else if (path == "/v3/lease/grant") {
    const int64_t ttl = ReadInt(request, "TTL");
    const int64_t id =
        GrantLease(state_, ReadInt(request, "ID"), ttl, LoopNow());
    AfterChange();
    AnswerWrite(exchange, true,
                json{{"header", HeaderJson(state_)},
                     {"ID", std::to_string(id)},
                     {"TTL", std::to_string(ttl)}}
                    .dump());
  } else if (path == "/v3/lease/keepalive") {
    ServeKeepAlive(exchange, ReadInt(request, "ID"));
  } else if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
    if (!RevokeLease(state_, ReadInt(request, "ID"))) {
      AnswerError(exchange, StoreError::kLeaseNotFound);
      return;
    }
    AfterChange();
    AnswerWrite(exchange, true, json{{"header", HeaderJson(state_)}}.dump());
  } else if (path == "/v3/watch") {
    OpenWatch(exchange, body);
  } else {
    exchange->Answer(404, GatewayError(kNotFound, "Not Found"));
  }
}

void StoreServer::ServeTxn(const ExchangePtr& exchange, const Txn& txn) {
  const TxnResult result = Apply(state_, txn);
  if (result.error != StoreError::kNone) {
    AnswerError(exchange, result.error);
    return;
  }
  json answer = {{"header", HeaderJson(state_)}};
  if (result.succeeded) {
    answer["succeeded"] = true;
  }
  for (const OpResult& one : result.results) {
    answer["responses"].push_back(
        {{ResponseName(one), OpResultJson(state_, one)}});
  }
  AfterChange();
  AnswerWrite(exchange, IsWrite(txn), answer.dump());
}

void StoreServer::ServeSingle(const ExchangePtr& exchange, const StoreOp& op) {
  Txn txn;
  txn.success.push_back(op);
  const TxnResult result = Apply(state_, txn);
  if (result.error != StoreError::kNone) {
    AnswerError(exchange, result.error);
    return;
  }
  AfterChange();
  AnswerWrite(exchange, true,
              OpResultJson(state_, result.results.front()).dump());
}

void StoreServer::AnswerWrite(const ExchangePtr& exchange,
                              bool is_write,
                              const std::string& body) {
  Count(is_write ? "writes" : "reads");
  if (is_write && IsFaulty(FaultKind::kLostWriteAnswer, *exchange)) {
    exchange->Cut();
    return;
  }
  AnswerLater(exchange, 200, body);
}

void StoreServer::AnswerError(const ExchangePtr& exchange, StoreError error) {
  switch (error) {
    case StoreError::kLeaseNotFound:
      AnswerLater(
          exchange, 404,
          GatewayError(kNotFound, "etcdserver: requested lease not found"));
      break;
    case StoreError::kTooLarge:
      AnswerLater(
          exchange, 400,
          GatewayError(kInvalidArgument, "etcdserver: request is too large"));
      break;
    case StoreError::kDuplicate:
    case StoreError::kNone:
      AnswerLater(exchange, 400,
                  GatewayError(kInvalidArgument,
                               "etcdserver: duplicate key given in txn "
                               "request"));
      break;
  }
}

void StoreServer::ServeKeepAlive(const ExchangePtr& exchange, int64_t lease) {
  json result = {{"header", HeaderJson(state_)}, {"ID", std::to_string(lease)}};
  if (const int64_t ttl = KeepAlive(state_, lease, LoopNow()); ttl > 0) {
    result["TTL"] = std::to_string(ttl);
  }
  AfterChange();
  AnswerWrite(exchange, true, json{{"result", result}}.dump() + "\n");
}

void StoreServer::OpenWatch(const ExchangePtr& exchange,
                            const std::string& body) {
  const json request = json::parse(body).at("create_request");
  Count("watches");
  Watch watch;
  watch.exchange = exchange;
  watch.key = DecodeBytes(request, "key");
  watch.range_end = DecodeBytes(request, "range_end");
  watch.next_revision = ReadInt(request, "start_revision");
  if (watch.next_revision == 0) {
    watch.next_revision = state_.revision + 1;
  }
  exchange->BeginStream("application/json");
  json created = {{"header", HeaderJson(state_)}, {"created", true}};
  if (watch.next_revision <= state_.compacted_revision) {
    created["canceled"] = true;
    created["compact_revision"] = std::to_string(state_.compacted_revision + 1);
    exchange->Write(json{{"result", created}}.dump() + "\n");
    exchange->EndStream();
    return;
  }
  exchange->Write(json{{"result", created}}.dump() + "\n");
  watches_.push_back(std::move(watch));
  const Exchange* key = exchange.get();
  exchange->set_on_gone([this, key] {
    watches_.remove_if(
        [key](const Watch& open) { return open.exchange.get() == key; });
  });
  SendEvents(watches_.back());
}

void StoreServer::AfterChange() {
  ExpireLeases(state_, LoopNow());
  expiry_timer_.Set(NextExpiry(state_));
  for (Watch& watch : watches_) {
    SendEvents(watch);
  }
}

void StoreServer::SendEvents(Watch& watch) {
  if (watch.next_revision > state_.revision) {
    return;
  }
  const std::vector<StoreEvent> events =
      EventsFrom(state_, watch.key, watch.range_end, watch.next_revision);
  watch.next_revision = state_.revision + 1;
  if (events.empty() || IsFaulty(FaultKind::kHang, *watch.exchange) ||
      IsFaulty(FaultKind::kLostWatchEvent, *watch.exchange)) {
    return;
  }
  json list = json::array();
  for (const StoreEvent& event : events) {
    list.push_back(EventJson(event));
  }
  watch.exchange->Write(
      json{{"result", {{"header", HeaderJson(state_)}, {"events", list}}}}
          .dump() +
      "\n");
}

}  // namespace peridotmill::standin
