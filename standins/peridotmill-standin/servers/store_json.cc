#include "standins/peridotmill-standin/servers/store_json.h"

#include <glib.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace peridotmill::standin {
namespace {

using nlohmann::json;

std::string Encode(const std::string& bytes) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()),
                                bytes.size());
  std::string encoded = text;
  g_free(text);
  return encoded;
}

void SetInt(json& object, const char* field, int64_t value) {
  if (value != 0) {
    object[field] = std::to_string(value);
  }
}

json EntryJson(const KeyValue& entry) {
  json object = {{"key", Encode(entry.key)}};
  SetInt(object, "create_revision", entry.create_revision);
  SetInt(object, "mod_revision", entry.mod_revision);
  SetInt(object, "version", entry.version);
  SetInt(object, "lease", entry.lease);
  if (!entry.value.empty()) {
    object["value"] = Encode(entry.value);
  }
  return object;
}

Compare ReadCompare(const json& object) {
  Compare compare;
  compare.key = DecodeBytes(object, "key");
  const std::string target = object.value("target", "VERSION");
  if (target == "VERSION") {
    compare.number = ReadInt(object, "version");
  } else if (target == "CREATE") {
    compare.target = CompareTarget::kCreate;
    compare.number = ReadInt(object, "create_revision");
  } else if (target == "MOD") {
    compare.target = CompareTarget::kMod;
    compare.number = ReadInt(object, "mod_revision");
  } else if (target == "VALUE") {
    compare.target = CompareTarget::kValue;
    compare.value = DecodeBytes(object, "value");
  } else {
    throw std::invalid_argument("unknown target");
  }
  const std::string result = object.value("result", "EQUAL");
  if (result == "GREATER") {
    compare.result = CompareResult::kGreater;
  } else if (result == "LESS") {
    compare.result = CompareResult::kLess;
  } else if (result == "NOT_EQUAL") {
    compare.result = CompareResult::kNotEqual;
  } else if (result != "EQUAL") {
    throw std::invalid_argument("unknown result");
  }
  return compare;
}

std::vector<StoreOp> ReadOps(const json& txn, const char* field) {
  std::vector<StoreOp> ops;
  for (const json& op : txn.value(field, json::array())) {
    if (op.contains("request_put")) {
      ops.emplace_back(ReadPut(op.at("request_put")));
    } else if (op.contains("request_range")) {
      ops.emplace_back(ReadRange(op.at("request_range")));
    } else if (op.contains("request_delete_range")) {
      ops.emplace_back(ReadDelete(op.at("request_delete_range")));
    } else {
      throw std::invalid_argument("unknown request");
    }
  }
  return ops;
}

}  // namespace

std::string DecodeBytes(const json& object, const char* field) {
  const std::string text = object.value(field, "");
  gsize size = 0;
  guchar* bytes = g_base64_decode(text.c_str(), &size);
  std::string decoded(reinterpret_cast<const char*>(bytes), size);
  g_free(bytes);
  return decoded;
}

int64_t ReadInt(const json& object, const char* field) {
  const auto value = object.find(field);
  if (value == object.end()) {
    return 0;
  }
  return value->is_string() ? std::stoll(value->get<std::string>())
                            : value->get<int64_t>();
}

RangeOp ReadRange(const json& object) {
  return {DecodeBytes(object, "key"), DecodeBytes(object, "range_end"),
          ReadInt(object, "limit"), object.value("keys_only", false),
          object.value("count_only", false)};
}

PutOp ReadPut(const json& object) {
  return {DecodeBytes(object, "key"), DecodeBytes(object, "value"),
          ReadInt(object, "lease")};
}

DeleteOp ReadDelete(const json& object) {
  return {DecodeBytes(object, "key"), DecodeBytes(object, "range_end")};
}

Txn ReadTxn(const json& object) {
  Txn txn;
  for (const json& compare : object.value("compare", json::array())) {
    txn.compares.push_back(ReadCompare(compare));
  }
  txn.success = ReadOps(object, "success");
  txn.failure = ReadOps(object, "failure");
  return txn;
}

json HeaderJson(const StoreState& state) {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(state.revision)},
          {"raft_term", "1"}};
}

json OpResultJson(const StoreState& state, const OpResult& result) {
  json object = {{"header", HeaderJson(state)}};
  if (const auto* range = std::get_if<RangeResult>(&result)) {
    for (const KeyValue& entry : range->entries) {
      object["kvs"].push_back(EntryJson(entry));
    }
    SetInt(object, "count", range->count);
    if (range->has_more) {
      object["more"] = true;
    }
  } else if (const auto* removal = std::get_if<DeleteResult>(&result)) {
    SetInt(object, "deleted", removal->deleted);
  }
  return object;
}

json EventJson(const StoreEvent& event) {
  json object = {{"kv", EntryJson(event.entry)}};
  if (event.is_delete) {
    object["type"] = "DELETE";
  }
  return object;
}

const char* ResponseName(const OpResult& result) {
  constexpr const char* kNames[] = {"response_range", "response_put",
                                    "response_delete_range"};
  return kNames[result.index()];
}

}  // namespace peridotmill::standin
