#ifndef PERIDOTMILL_HTTP_SERVER_HTTP_EXCHANGE_H_
#define PERIDOTMILL_HTTP_SERVER_HTTP_EXCHANGE_H_

#include <functional>
#include <string_view>
#include <utility>

#include "peridotmill_core/http/http_message.h"
#include "peridotmill_core/http/response_writer.h"

namespace peridotmill {

class HttpServerConnection;

// One request of a caller and the way back to it.
class HttpExchange final : public ResponseWriter {
 public:
  HttpExchange(HttpServerConnection* connection, HttpRequest request)
      : connection_(connection), request_(std::move(request)) {}

  const HttpRequest& request() const { return request_; }
  // Moves the request out; what is left is empty.
  HttpRequest TakeRequest() { return std::exchange(request_, HttpRequest()); }

  void SendHead(const HttpResponseHead& head) override;
  void SendBody(std::string_view bytes) override;
  void Finish() override;
  void Abort() override;
  void set_on_caller_gone(std::function<void()> callback) override {
    on_caller_gone_ = std::move(callback);
  }
  size_t unsent_bytes() const override;
  void set_on_drained(std::function<void()> callback) override {
    on_drained_ = std::move(callback);
  }

 private:
  friend class HttpServerConnection;

  // The connection has ended or gone on to the next request.
  void Detach() { connection_ = nullptr; }

  HttpServerConnection* connection_;
  HttpRequest request_;
  std::function<void()> on_caller_gone_;
  std::function<void()> on_drained_;
  bool is_chunked_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SERVER_HTTP_EXCHANGE_H_
