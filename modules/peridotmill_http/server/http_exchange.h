#ifndef PERIDOTMILL_HTTP_SERVER_HTTP_EXCHANGE_H_
#define PERIDOTMILL_HTTP_SERVER_HTTP_EXCHANGE_H_

#include <functional>
#include <string_view>
#include <utility>

#include "peridotmill_core/http/http_message.h"
#include "peridotmill_core/http/response_writer.h"

namespace peridotmill {

class HttpServerConnection;

// A complete request received on a connection, and the writer of its response.
// Once the connection has closed or the response has finished, calls that send
// do nothing.
class HttpExchange final : public ResponseWriter {
 public:
  HttpExchange(HttpServerConnection* connection, HttpRequest request)
      : connection_(connection),
        request_(std::move(request)),
        is_head_request_(request_.method == "HEAD") {}

  const HttpRequest& request() const { return request_; }
  // Moves the request out; request() is empty afterwards.
  HttpRequest TakeRequest() { return std::exchange(request_, HttpRequest()); }

  void SendHead(const HttpResponseHead& head) override;
  void SendBody(std::string_view bytes) override;
  void Finish() override;
  void Abort() override;
  void set_on_caller_gone(std::function<void()> callback) override {
    on_caller_disconnected_ = std::move(callback);
  }
  size_t unsent_bytes() const override;
  size_t unsent_limit() const override;
  void set_on_drained(std::function<void()> callback) override {
    on_drained_ = std::move(callback);
  }

 private:
  friend class HttpServerConnection;

  // Called when the connection closes or the response is complete: the exchange
  // sends nothing afterwards.
  void Detach() { connection_ = nullptr; }

  // Null after Detach.
  HttpServerConnection* connection_;
  HttpRequest request_;
  bool is_head_request_;
  // Whether the response has a body. Without one, SendBody sends nothing.
  bool has_body_ = true;
  std::function<void()> on_caller_disconnected_;
  std::function<void()> on_drained_;
  // Whether the response body is sent with the chunked transfer coding.
  bool is_chunked_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SERVER_HTTP_EXCHANGE_H_
