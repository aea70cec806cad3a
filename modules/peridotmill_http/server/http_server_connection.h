#ifndef PERIDOTMILL_HTTP_SERVER_HTTP_SERVER_CONNECTION_H_
#define PERIDOTMILL_HTTP_SERVER_HTTP_SERVER_CONNECTION_H_

#include <http_parser.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "peridotmill_core/http/http_message.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_http/memory/memory_charge.h"
#include "peridotmill_http/memory/yielding.h"
#include "peridotmill_http/server/http_exchange.h"
#include "peridotmill_http/sockets/stream_socket.h"

namespace peridotmill {

class HttpServer;

// A caller's connection to an HttpServer. Reads a request, passes it to the
// server's handler, and reads the next one when the response is complete.
class HttpServerConnection final : public StreamSocket::Listener {
 public:
  HttpServerConnection(HttpServer* server, int descriptor);
  ~HttpServerConnection() override;

  // Rejects a request whose head or body has exceeded its read timeout, and
  // closes a connection that has exceeded the idle timeout.
  void CheckTimeout(TimePoint now);
  // Returns whether no request is being received or handled, no request bytes
  // are waiting in the socket, and no response bytes are unsent. A caller that
  // has just connected is about to send a request, so its connection becomes
  // idle only after a while.
  bool IsIdle(TimePoint now) const;
  // See HttpServer::EndAllConnections.
  void EndBeforeExit();
  // The request that is being received, if any.
  std::optional<UnfinishedRequest> unfinished_request() const;
  OpenConnection GetState(TimePoint now) const;
  // Responds to the request that is being received as not run, since memory is
  // short, and closes the connection.
  void RefuseForMemory();
  // Closes a connection without an open request to make room for a new one.
  void CloseForNew();
  size_t unsent_bytes() const { return socket_->unsent_bytes(); }
  size_t unsent_limit() const;
  // Closes the connection and removes it from its server. Calls the exchange's
  // disconnect callback if a response is incomplete.
  void CloseAndRemove();

 private:
  friend class HttpExchange;

  enum class State : uint8_t {
    kHead,
    kBody,
    kResponding,
    // The response is complete; the connection closes once all bytes are sent.
    kClosing,
  };

  void OnSocketData(std::string_view bytes) override;
  void OnSocketDrained() override;
  void OnSocketEnd(SocketEnd end) override;

  void ReadRequests();
  // Returns whether the buffer holds a complete and valid head. Rejects the
  // request if the head is invalid or too large.
  bool ReadHead();
  // Parses a part of the request whose head is complete, and passes the request
  // on if it is complete too. Returns the number of bytes parsed, or nullopt if
  // the request was rejected.
  std::optional<size_t> ParseRequest(std::string_view bytes);
  // Parses the received bytes, and keeps those that follow the request.
  void ReadBody(std::string_view bytes);
  // Passes the request on if it is complete, after its bytes were parsed.
  void FinishRead();
  // Charges the memory of a request whose head is complete. Returns whether it
  // fits.
  bool ReserveForHead();
  // Charges the memory of the request's body before it grows to `size` bytes.
  // Returns whether it fits.
  bool ReserveForBody(size_t size);
  void ChargeReceiveBuffer();
  // Returns the received body and its charge.
  MessageBody TakeBody();
  void ReleaseRequest();
  // Ends the charge of the request without its body.
  void EndOpenRequest();
  // Passes the complete request to the server's handler.
  void DispatchRequest();
  // Sends an error response and closes the connection after it.
  void Reject(int status, std::string_view message);
  // Closes the connection whose last response has been sent; after a refusal,
  // reads and drops what the caller is still sending first, for a while, since
  // the reset of a connection with unread bytes may overtake the response.
  void CloseAfterResponse();

  // Called by HttpExchange.
  // Sets `is_chunked` if the body is to be sent in chunks.
  void SendHead(const HttpResponseHead& head, bool has_body, bool& is_chunked);
  void Send(std::string_view bytes);
  void FinishResponse();
  void AbortResponse();

  static int OnUrl(http_parser* parser, const char* data, size_t size);
  static int OnHeaderField(http_parser* parser, const char* data, size_t size);
  static int OnHeaderValue(http_parser* parser, const char* data, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, size_t size);
  static int OnMessageComplete(http_parser* parser);
  void FinishHeader();

  HttpServer* server_;
  std::unique_ptr<StreamSocket> socket_;
  State state_ = State::kHead;
  http_parser parser_ = {};
  // Bytes received and not parsed yet.
  std::string receive_buffer_;
  HttpRequest request_;
  // The part of the request's body that has been received.
  std::string body_;
  size_t head_bytes_ = 0;
  // Charges of the connection with its unparsed bytes, of the request without
  // its body until the response is complete, of the body while it is being
  // received, and of the unsent bytes of the response.
  MemoryCharge connection_charge_;
  MemoryCharge request_charge_;
  MemoryCharge body_charge_;
  MemoryCharge unsent_charge_;
  std::string header_name_;
  std::string header_value_;
  bool is_in_header_value_ = false;
  bool is_message_complete_ = false;
  bool is_body_too_large_ = false;
  bool has_too_many_fields_ = false;
  bool is_refused_for_memory_ = false;
  // Whether the request counts as open in its server.
  bool is_counted_ = false;
  bool is_keep_alive_ = true;
  bool is_http_1_0_ = false;
  // Whether the first byte of a request has arrived.
  bool has_received_bytes_ = false;
  // When the head timeout started (first byte of the current head) or else the
  // idle timeout (last byte received, or end of the last response).
  TimePoint timeout_start_;
  // When the current head was complete and reading of its body began.
  TimePoint body_start_;
  // When the last byte was received.
  TimePoint last_receive_;
  // Until when, after a refusal, received bytes are dropped, and how many have
  // been. No value before.
  std::optional<TimePoint> drop_end_;
  size_t dropped_bytes_ = 0;
  std::shared_ptr<HttpExchange> exchange_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SERVER_HTTP_SERVER_CONNECTION_H_
