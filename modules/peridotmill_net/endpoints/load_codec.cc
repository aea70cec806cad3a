#include "peridotmill_net/endpoints/load_codec.h"

#include <nlohmann/json.hpp>

namespace peridotmill {
namespace {

using nlohmann::json;

constexpr size_t kMaxCacheEvents = 10'000;
constexpr size_t kMaxLoadedModels = 64;

}  // namespace

Result<EndpointLoad> DecodeLoad(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  try {
    EndpointLoad load;
    load.running = parsed.at("running").get<int32_t>();
    load.waiting = parsed.at("waiting").get<int32_t>();
    load.memory_use = parsed.value("memory_use", 0.0);
    load.is_leaving = parsed.value("is_leaving", false);
    load.fence = parsed.value("fence", int64_t{0});
    for (const json& model :
         parsed.value("loaded_models", json(json::array()))) {
      if (load.loaded_models.size() < kMaxLoadedModels) {
        load.loaded_models.push_back(model.get<std::string>());
      }
    }
    if (load.running < 0 || load.waiting < 0) {
      return tl::unexpected(make_error_code(Error::kMalformed));
    }
    return load;
  } catch (const json::exception&) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
}

Result<std::vector<CacheEvent>> DecodeCacheEvents(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("events") ||
      !parsed["events"].is_array()) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  if (parsed["events"].size() > kMaxCacheEvents) {
    return tl::unexpected(make_error_code(Error::kTooLarge));
  }
  try {
    std::vector<CacheEvent> events;
    for (const json& element : parsed["events"]) {
      CacheEvent event;
      event.sequence = element.at("sequence").get<uint64_t>();
      event.prefix_hash = element.at("prefix_hash").get<uint64_t>();
      event.is_evicted = element.at("is_evicted").get<bool>();
      events.push_back(event);
    }
    return events;
  } catch (const json::exception&) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
}

}  // namespace peridotmill
