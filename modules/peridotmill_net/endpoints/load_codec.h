#ifndef PERIDOTMILL_NET_ENDPOINTS_LOAD_CODEC_H_
#define PERIDOTMILL_NET_ENDPOINTS_LOAD_CODEC_H_

#include <string>
#include <vector>

#include "peridotmill_core/peridotmill_core.h"

namespace peridotmill {

// Reads an endpoint's `GET /v1/load` answer. Errors: kMalformed.
Result<EndpointLoad> DecodeLoad(const std::string& body);

// Reads an engine's `GET /v1/cache-events` answer. Errors: kMalformed,
// kTooLarge.
Result<std::vector<CacheEvent>> DecodeCacheEvents(const std::string& body);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_ENDPOINTS_LOAD_CODEC_H_
