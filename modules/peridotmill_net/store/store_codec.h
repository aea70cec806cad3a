#ifndef PERIDOTMILL_NET_STORE_STORE_CODEC_H_
#define PERIDOTMILL_NET_STORE_STORE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/store/store_call.h"

namespace peridotmill {

// One POST to the store's JSON gateway.
struct StoreHttpRequest {
  std::string path;
  std::string body;
};

// @see https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
StoreHttpRequest EncodeStoreRequest(const StoreRequest& request);

// Reads the complete body of a successful response to `request`, which is not
// a watch. A lapsed lease gives kConflict with a TTL of 0. Keys that do not
// exist have no entry.
// Errors: kMalformed.
Result<StoreAnswer> DecodeStoreAnswer(const StoreRequest& request,
                                      std::string_view body);

// Reads one line of a watch. Lines that report no change give nullopt. A
// deleted key has an entry without value and with create revision 0.
// Errors: kMalformed; kUnavailable when the store ended the watch.
Result<std::optional<StoreAnswer>> DecodeWatchLine(std::string_view line);

// What is known after a call that has no usable answer. `sent` tells whether a
// byte of the request may have left.
StoreStatus StatusWithoutAnswer(const StoreRequest& request, bool sent);

// What is known after an HTTP status other than 200.
StoreStatus StatusOfHttpError(const StoreRequest& request, int http_status);

// Whether repeating the request has no effect beyond that of sending it once.
bool IsRead(const StoreRequest& request);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_STORE_STORE_CODEC_H_
