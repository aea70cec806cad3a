#ifndef PERIDOTMILL_HTTP_SERVER_HTTP_SERVER_CONNECTION_H_
#define PERIDOTMILL_HTTP_SERVER_HTTP_SERVER_CONNECTION_H_

#include <http_parser.h>

#include <memory>
#include <string>
#include <string_view>

#include "peridotmill_core/http/http_message.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_http/server/http_exchange.h"
#include "peridotmill_http/sockets/stream_socket.h"

namespace peridotmill {

class HttpServer;

// One connection of a caller. Reads a request, hands it on, and reads the next
// one when its answer is complete.
class HttpServerConnection final : public StreamSocket::Listener {
 public:
  HttpServerConnection(HttpServer* server, int descriptor);
  ~HttpServerConnection() override;

  // Applies the time limits for reading.
  void CheckTimeout(TimePoint now);
  // No request is open, has begun, or waits in the socket.
  bool is_idle() const {
    return state_ == State::kHead && received_.empty() &&
           socket_->unsent_bytes() == 0 && !socket_->has_unread_bytes();
  }
  size_t unsent_bytes() const { return socket_->unsent_bytes(); }
  // Closes and releases the connection.
  void End();

 private:
  friend class HttpExchange;

  enum class State : uint8_t {
    kHead,
    kBody,
    kAnswering,
    // The answer is complete, unsent bytes remain and the connection closes.
    kClosing,
  };

  void OnSocketData(std::string_view bytes) override;
  void OnSocketDrained() override;
  void OnSocketEnd(SocketEnd end) override;

  void ReadRequests();
  // Returns whether a whole head was there and accepted.
  bool ReadHead();
  void ReadBody();
  void HandOver();
  void Reject(int status, std::string_view message);

  // The exchange's side.
  void SendHead(const HttpResponseHead& head, bool& is_chunked);
  void Send(std::string_view bytes) { socket_->Write(bytes); }
  void FinishAnswer();
  void AbortAnswer();

  static int OnUrl(http_parser* parser, const char* data, size_t size);
  static int OnField(http_parser* parser, const char* data, size_t size);
  static int OnValue(http_parser* parser, const char* data, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, size_t size);
  static int OnMessageComplete(http_parser* parser);
  void FinishField();

  HttpServer* server_;
  std::unique_ptr<StreamSocket> socket_;
  State state_ = State::kHead;
  http_parser parser_ = {};
  std::string received_;
  HttpRequest request_;
  std::string field_name_;
  std::string field_value_;
  bool is_in_value_ = false;
  bool is_message_complete_ = false;
  bool is_body_too_large_ = false;
  bool keeps_alive_ = true;
  bool is_http_1_0_ = false;
  // Start of the current head, or of the last byte otherwise.
  TimePoint waiting_since_;
  // Since when the current body is read.
  TimePoint body_since_;
  std::shared_ptr<HttpExchange> exchange_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SERVER_HTTP_SERVER_CONNECTION_H_
