#include "peridotmill_gateway/quarantine/suspect_id.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

constexpr int kFingerprintBits = 16;
constexpr int kFingerprintShift = 64 - kFingerprintBits;

}  // namespace

std::vector<SuspectId> HashSharedParts(const GenerationDemand& generation) {
  std::vector<SuspectId> hashes;
  const auto& parts = generation.parts;
  for (size_t i = 0; i + 1 < parts.size() && i < kMaxTrackedParts; ++i) {
    hashes.emplace_back(Hash64(parts[i].id));
  }
  return hashes;
}

RequestFingerprint ComputeFingerprint(const TeamId& team,
                                      const CallerRequest& request) {
  const HttpRequest& message = request.message;
  uint64_t hash = Hash64(team.value(), message.body.size());
  for (const std::string* const field :
       {&request.host, &message.method, &message.target}) {
    hash = Hash64(*field, hash);
  }
  return static_cast<RequestFingerprint>(hash);
}

SuspectId IdentifyRequest(const TeamId& team, const CallerRequest& request) {
  const HttpRequest& message = request.message;
  const uint64_t hash =
      SecureHash64({team.value(), request.host, message.method, message.target,
                    message.body.bytes()});
  const RequestFingerprint fingerprint = ComputeFingerprint(team, request);
  return SuspectId(LowestIdWith(fingerprint).value() |
                   (hash >> kFingerprintBits));
}

SuspectId LowestIdWith(RequestFingerprint fingerprint) {
  return SuspectId(uint64_t{fingerprint} << kFingerprintShift);
}

RequestFingerprint FingerprintOf(SuspectId request) {
  return static_cast<RequestFingerprint>(request.value() >> kFingerprintShift);
}

std::string ToString(SuspectId id) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, id.value());
  return text;
}

}  // namespace peridotmill
