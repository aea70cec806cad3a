#include "peridotmill_net/store/store_codec.h"

#include <glib.h>

#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <type_traits>

namespace peridotmill {
namespace {

using nlohmann::json;

struct GFree {
  void operator()(gpointer memory) const { g_free(memory); }
};

std::string EncodeBase64(const std::string& data) {
  const std::unique_ptr<gchar, GFree> text(g_base64_encode(
      reinterpret_cast<const guchar*>(data.data()), data.size()));
  return text.get();
}

std::string DecodeBase64(const std::string& text) {
  gsize size = 0;
  const std::unique_ptr<guchar, GFree> data(
      g_base64_decode(text.c_str(), &size));
  std::string decoded(reinterpret_cast<const char*>(data.get()), size);
  // GLib skips characters that are not base64; encoding again finds them.
  if (EncodeBase64(decoded) != text) {
    throw std::invalid_argument("not base64");
  }
  return decoded;
}

// Absent members mean the default value, as in proto3 JSON.
std::string GetBytes(const json& from, const char* field) {
  const auto found = from.find(field);
  return found == from.end() ? std::string()
                             : DecodeBase64(found->get<std::string>());
}

// The gateway writes 64-bit numbers as strings.
int64_t GetNumber(const json& from, const char* field) {
  const auto found = from.find(field);
  if (found == from.end()) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<int64_t>();
  }
  const auto& text = found->get_ref<const std::string&>();
  int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || last != end) {
    throw std::invalid_argument("not a number");
  }
  return value;
}

bool GetBool(const json& from, const char* field) {
  const auto found = from.find(field);
  return found != from.end() && found->get<bool>();
}

// Every complete answer names the store's revision, which is never 0.
int64_t GetStoreRevision(const json& from) {
  const int64_t revision = GetNumber(from.at("header"), "revision");
  if (revision <= 0) {
    throw std::invalid_argument("no store revision");
  }
  return revision;
}

StoreEntry ReadEntry(const json& from) {
  StoreEntry entry;
  entry.key = GetBytes(from, "key");
  entry.value = GetBytes(from, "value");
  entry.create_revision = GetNumber(from, "create_revision");
  entry.mod_revision = GetNumber(from, "mod_revision");
  if (entry.key.empty() || entry.mod_revision <= 0) {
    throw std::invalid_argument("not an entry");
  }
  return entry;
}

void ReadEntries(const json& from, std::vector<StoreEntry>& entries) {
  const auto found = from.find("kvs");
  if (found == from.end()) {
    return;
  }
  if (!found->is_array()) {
    throw std::invalid_argument("kvs is not a list");
  }
  for (const json& element : *found) {
    entries.push_back(ReadEntry(element));
  }
}

json EncodeRange(const StoreRange& range) {
  json encoded = {{"key", EncodeBase64(range.key)}};
  if (!range.range_end.empty()) {
    encoded["range_end"] = EncodeBase64(range.range_end);
  }
  if (range.limit > 0) {
    encoded["limit"] = std::to_string(range.limit);
  }
  return encoded;
}

json EncodeCompare(const StoreCompare& compare) {
  const bool is_create =
      compare.target == StoreCompare::Target::kCreateRevision;
  return {{"key", EncodeBase64(compare.key)},
          {"target", is_create ? "CREATE" : "MOD"},
          {"result", "EQUAL"},
          {is_create ? "create_revision" : "mod_revision",
           std::to_string(compare.expected)}};
}

json EncodeTxn(const StoreTxn& txn) {
  json compares = json::array();
  json success = json::array();
  json failure = json::array();
  for (const StoreCompare& compare : txn.compares) {
    compares.push_back(EncodeCompare(compare));
    failure.push_back({{"request_range", EncodeRange({compare.key, "", 0})}});
  }
  for (const StorePut& put : txn.puts) {
    json encoded = {{"key", EncodeBase64(put.key)},
                    {"value", EncodeBase64(put.value)}};
    if (put.lease != 0) {
      encoded["lease"] = std::to_string(put.lease);
    }
    success.push_back({{"request_put", std::move(encoded)}});
  }
  for (const StoreDelete& removal : txn.deletes) {
    success.push_back({{"request_delete_range",
                        EncodeRange({removal.key, removal.range_end, 0})}});
  }
  return {{"compare", std::move(compares)},
          {"success", std::move(success)},
          {"failure", std::move(failure)}};
}

json EncodeWatch(const StoreWatch& watch) {
  json create = EncodeRange({watch.key, watch.range_end, 0});
  create["start_revision"] = std::to_string(watch.after_revision + 1);
  return {{"create_request", std::move(create)}};
}

StoreAnswer ReadAnswer(const StoreRange& request, const json& from) {
  (void)request;
  StoreAnswer answer;
  answer.status = StoreStatus::kOk;
  answer.store_revision = GetStoreRevision(from);
  ReadEntries(from, answer.entries);
  return answer;
}

StoreAnswer ReadAnswer(const StoreTxn& txn, const json& from) {
  StoreAnswer answer;
  answer.store_revision = GetStoreRevision(from);
  if (GetBool(from, "succeeded")) {
    answer.status = StoreStatus::kOk;
    return answer;
  }
  // Without its reads, a failed comparison cannot be told from a cut answer.
  const json& responses = from.at("responses");
  if (txn.compares.empty() || !responses.is_array() ||
      responses.size() != txn.compares.size()) {
    throw std::invalid_argument("responses do not match the comparisons");
  }
  answer.status = StoreStatus::kConflict;
  for (const json& response : responses) {
    ReadEntries(response.at("response_range"), answer.entries);
  }
  return answer;
}

StoreAnswer ReadAnswer(const StoreLeaseGrant& request, const json& from) {
  (void)request;
  StoreAnswer answer;
  answer.status = StoreStatus::kOk;
  answer.store_revision = GetStoreRevision(from);
  answer.lease = GetNumber(from, "ID");
  answer.ttl_seconds = GetNumber(from, "TTL");
  if (answer.lease == 0 || answer.ttl_seconds <= 0) {
    throw std::invalid_argument("not a lease");
  }
  return answer;
}

StoreAnswer ReadAnswer(const StoreLeaseKeepAlive& request, const json& from) {
  const json& result = from.at("result");
  StoreAnswer answer;
  answer.store_revision = GetStoreRevision(result);
  answer.lease = GetNumber(result, "ID");
  answer.ttl_seconds = GetNumber(result, "TTL");
  if (answer.lease != request.lease || answer.ttl_seconds < 0) {
    throw std::invalid_argument("not the renewed lease");
  }
  answer.status =
      answer.ttl_seconds > 0 ? StoreStatus::kOk : StoreStatus::kConflict;
  return answer;
}

StoreAnswer ReadAnswer(const StoreWatch& request, const json& from) {
  (void)request;
  (void)from;
  throw std::invalid_argument("a watch is read by lines");
}

struct Encoder {
  StoreHttpRequest operator()(const StoreRange& range) const {
    return {"/v3/kv/range", EncodeRange(range).dump()};
  }
  StoreHttpRequest operator()(const StoreTxn& txn) const {
    return {"/v3/kv/txn", EncodeTxn(txn).dump()};
  }
  StoreHttpRequest operator()(const StoreLeaseGrant& grant) const {
    return {"/v3/lease/grant",
            json{{"TTL", std::to_string(grant.ttl_seconds)}}.dump()};
  }
  StoreHttpRequest operator()(const StoreLeaseKeepAlive& renewal) const {
    return {"/v3/lease/keepalive",
            json{{"ID", std::to_string(renewal.lease)}}.dump()};
  }
  StoreHttpRequest operator()(const StoreWatch& watch) const {
    return {"/v3/watch", EncodeWatch(watch).dump()};
  }
};

}  // namespace

StoreHttpRequest EncodeStoreRequest(const StoreRequest& request) {
  return std::visit(Encoder(), request);
}

Result<StoreAnswer> DecodeStoreAnswer(const StoreRequest& request,
                                      std::string_view body) {
  const json from = json::parse(body, nullptr, /*allow_exceptions=*/false);
  try {
    return std::visit(
        [&from](const auto& call) { return ReadAnswer(call, from); }, request);
  } catch (const json::exception&) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  } catch (const std::invalid_argument&) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
}

Result<std::optional<StoreAnswer>> DecodeWatchLine(std::string_view line) {
  const json from = json::parse(line, nullptr, /*allow_exceptions=*/false);
  try {
    if (from.contains("error")) {
      return tl::unexpected(make_error_code(Error::kUnavailable));
    }
    const json& result = from.at("result");
    // A store that has compacted the start revision cancels the watch.
    if (GetBool(result, "canceled")) {
      return tl::unexpected(make_error_code(Error::kUnavailable));
    }
    StoreAnswer answer;
    answer.status = StoreStatus::kOk;
    answer.store_revision = GetStoreRevision(result);
    const auto events = result.find("events");
    if (events == result.end()) {
      return std::optional<StoreAnswer>();
    }
    if (!events->is_array()) {
      return tl::unexpected(make_error_code(Error::kMalformed));
    }
    for (const json& event : *events) {
      answer.entries.push_back(ReadEntry(event.at("kv")));
    }
    return answer.entries.empty() ? std::optional<StoreAnswer>()
                                  : std::optional<StoreAnswer>(answer);
  } catch (const json::exception&) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  } catch (const std::invalid_argument&) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
}

bool IsRead(const StoreRequest& request) {
  return std::holds_alternative<StoreRange>(request) ||
         std::holds_alternative<StoreWatch>(request);
}

StoreStatus StatusWithoutAnswer(const StoreRequest& request, bool sent) {
  return sent && !IsRead(request) ? StoreStatus::kUnknown
                                  : StoreStatus::kUnavailable;
}

StoreStatus StatusOfHttpError(const StoreRequest& request, int http_status) {
  switch (http_status) {
    // The gateway refused the request before it took effect. Other statuses,
    // such as 408, 409 and 5xx, may follow a write that took effect.
    case 400:
    case 401:
    case 403:
    case 404:
    case 413:
    case 429:
      return StoreStatus::kUnavailable;
    default:
      return StatusWithoutAnswer(request, /*sent=*/true);
  }
}

}  // namespace peridotmill
