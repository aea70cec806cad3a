#include "peridotmill_membership/knowledge/endpoint_value.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <string>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {

Fingerprint FingerprintOf(std::string_view name) {
  return Hash64(name);
}

uint32_t ShortFingerprintOf(std::string_view name) {
  return static_cast<uint32_t>(Hash64(name));
}

uint32_t DomainPoolFingerprint(const FailureDomainId& domain,
                               const PoolId& pool) {
  return static_cast<uint32_t>(Hash64(pool.value(), Hash64(domain.value())));
}

uint16_t IncarnationTag(Incarnation incarnation) {
  return static_cast<uint16_t>(Hash64(std::to_string(incarnation.value())));
}

uint16_t QuantiseCount(int64_t count) {
  const auto value = static_cast<uint64_t>(
      std::clamp<int64_t>(count, 0, std::numeric_limits<uint16_t>::max()));
  const auto bits = static_cast<int>(std::bit_width(value));
  // Four significant bits remain.
  const int dropped = std::max(0, bits - 4);
  return static_cast<uint16_t>(value <= 16 ? value
                                           : (value >> dropped) << dropped);
}

EndpointValue QuantiseLoad(const EndpointRecord& record,
                           const std::optional<EndpointLoad>& load) {
  EndpointValue value;
  value.endpoint = FingerprintOf(record.id.value());
  value.incarnation_tag = IncarnationTag(record.incarnation);
  value.is_leaving = record.is_leaving;
  if (!load) {
    value.is_unreachable = true;
    return value;
  }
  value.running = QuantiseCount(load->running);
  value.waiting = QuantiseCount(load->waiting);
  // Sixteen steps.
  const double share = std::clamp(load->memory_use, 0.0, 1.0);
  value.memory_use = static_cast<uint8_t>(static_cast<int>(share * 15) * 17);
  value.is_leaving = value.is_leaving || load->is_leaving;
  return value;
}

EndpointModels ModelsOf(const EndpointRecord& record,
                        const EndpointLoad& load) {
  EndpointModels models;
  models.endpoint = FingerprintOf(record.id.value());
  for (const std::string& model : load.loaded_models) {
    models.models.push_back(FingerprintOf(model));
  }
  std::sort(models.models.begin(), models.models.end());
  return models;
}

uint32_t ValueHash(const EndpointValue& value,
                   const std::vector<Fingerprint>& models) {
  const uint64_t load = uint64_t{value.running} << 32 |
                        uint64_t{value.waiting} << 16 | value.incarnation_tag;
  const uint64_t rest = uint64_t{value.memory_use} << 2 |
                        (value.is_leaving ? 2U : 0U) |
                        (value.is_unreachable ? 1U : 0U);
  uint64_t hash = load * 0x9e3779b97f4a7c15ULL ^ rest;
  for (const Fingerprint model : models) {
    hash = (hash ^ model) * 0xbf58476d1ce4e5b9ULL;
  }
  return static_cast<uint32_t>(hash ^ (hash >> 32));
}

}  // namespace peridotmill
