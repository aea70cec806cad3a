#ifndef STANDINS_SERVERS_STORE_JSON_H_
#define STANDINS_SERVERS_STORE_JSON_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "standins/peridotmill-standin/logic/store_state.h"

namespace peridotmill::standin {

// JSON forms of the etcd v3 gateway: bytes are base64, 64-bit numbers are
// strings, and members with their default value are left out.

std::string DecodeBytes(const nlohmann::json& object, const char* field);
// Accepts numbers and strings; 0 when absent.
int64_t ReadInt(const nlohmann::json& object, const char* field);

// Throw nlohmann::json::exception or std::invalid_argument when malformed.
RangeOp ReadRange(const nlohmann::json& object);
PutOp ReadPut(const nlohmann::json& object);
DeleteOp ReadDelete(const nlohmann::json& object);
Txn ReadTxn(const nlohmann::json& object);

nlohmann::json HeaderJson(const StoreState& state);
nlohmann::json OpResultJson(const StoreState& state, const OpResult& result);
nlohmann::json EventJson(const StoreEvent& event);
// "response_range", "response_put" or "response_delete_range".
const char* ResponseName(const OpResult& result);

}  // namespace peridotmill::standin

#endif  // STANDINS_SERVERS_STORE_JSON_H_
