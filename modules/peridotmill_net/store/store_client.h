#ifndef PERIDOTMILL_NET_STORE_STORE_CLIENT_H_
#define PERIDOTMILL_NET_STORE_STORE_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/store/store_call.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Largest answer that is read; the store's values are at most 1 MB each.
inline constexpr size_t kMaxStoreAnswer = size_t{4} << 20;

// Calls the platform's key-value service on the default GLib main context.
class StoreClient {
 public:
  using Done = std::function<void(StoreAnswer)>;

  // `addresses` are "ip:port" of equal servers. A request that was not sent to
  // one is tried on the next within the call's timeout.
  // Errors: kMalformed when there is no address or one has no host or port.
  static Result<std::unique_ptr<StoreClient>> Create(
      std::vector<std::string> addresses);

  // Open calls are cancelled; their `done` does not run.
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // Runs `done` once, from the main loop, never within Call. Status without a
  // complete answer: kUnavailable for reads and for writes of which no byte was
  // sent, kUnknown for other writes. A watch answers the first change or, after
  // `timeout`, kUnavailable.
  void Call(const StoreRequest& request, Duration timeout, Done done);

  size_t open_calls() const;

 private:
  class State;
  class Exchange;

  explicit StoreClient(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_STORE_STORE_CLIENT_H_
