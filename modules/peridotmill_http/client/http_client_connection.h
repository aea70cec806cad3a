#ifndef PERIDOTMILL_HTTP_CLIENT_HTTP_CLIENT_CONNECTION_H_
#define PERIDOTMILL_HTTP_CLIENT_HTTP_CLIENT_CONNECTION_H_

#include <glib.h>
#include <http_parser.h>

#include <memory>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/http/http_call.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_http/sockets/stream_socket.h"

namespace peridotmill {

class HttpClient;

// A connection to a server that carries at most one call at a time.
class HttpClientConnection final : public StreamSocket::Listener {
 public:
  explicit HttpClientConnection(HttpClient* client);
  ~HttpClientConnection() override;

  // Starts a call; connects to the server first if there is no connection yet.
  // `listener` receives the response.
  void Begin(HttpCall call, HttpCallListener* listener);
  // Ends the call without a callback to its listener; closes the connection.
  void Cancel();
  void PauseReading();
  void ResumeReading();

  const std::string& address() const { return call_.address; }
  bool is_open() const { return socket_ != nullptr && socket_->is_open(); }
  bool has_unread_input() const { return socket_->has_unread_input(); }
  TimePoint idle_since() const { return idle_since_; }
  // Time after which the idle connection must not be reused.
  TimePoint idle_until() const { return idle_since_ + usable_idle_time_; }

 private:
  void OnSocketConnected() override;
  void OnSocketData(std::string_view bytes) override;
  void OnSocketEnd(SocketEnd end) override;

  static gboolean OnConnectTimeout(gpointer data);
  // Reports a call that failed at once, for example because of a malformed
  // address.
  static gboolean OnConnectNotStarted(gpointer data);
  void StopConnectTimer();
  // Returns the head of the call's request.
  // Errors: those of EncodeRequestHead().
  Result<std::string> EncodeHead() const;
  // Writes the head and the call's body, and releases the body.
  void SendRequest(std::string head);
  void StartParsing();
  // Passes the body bytes of one read to the listener at once: a listener's
  // work for each piece is paid once a read, however small a server's chunks
  // are.
  void DeliverBody();
  void FinishResponse();
  // Closes the connection. Ends the current call with `end` or, if there is
  // none, removes the connection from the client's idle ones.
  void Fail(HttpCallEnd end);

  static int OnStatus(http_parser* parser, const char* data, size_t size);
  static int OnHeaderField(http_parser* parser, const char* data, size_t size);
  static int OnHeaderValue(http_parser* parser, const char* data, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, size_t size);
  static int OnMessageComplete(http_parser* parser);
  void FinishHeaderField();
  static const http_parser_settings& ParserCallbacks();

  HttpClient* client_;
  std::unique_ptr<StreamSocket> socket_;
  HttpCall call_;
  // The head of the request, until the connection is established.
  std::string request_head_;
  HttpCallListener* listener_ = nullptr;
  guint connect_timer_ = 0;
  http_parser parser_ = {};
  HttpResponseHead head_;
  std::string header_name_;
  std::string header_value_;
  bool is_in_header_value_ = false;
  bool is_head_delivered_ = false;
  // The current response is an interim one or belongs to another call.
  bool is_skipped_ = false;
  bool is_message_complete_ = false;
  // The response has neither Content-Length nor chunked encoding, so that the
  // end of the connection ends it.
  bool ends_at_close_ = false;
  // Body bytes received of the call's own response.
  uint64_t response_body_bytes_ = 0;
  // Interim responses and responses of other calls, and the total size of their
  // bodies.
  int skipped_responses_ = 0;
  uint64_t skipped_body_bytes_ = 0;
  TimePoint idle_since_;
  // How long after `idle_since_` the connection may be reused.
  Duration usable_idle_time_ = Duration::zero();
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_CLIENT_HTTP_CLIENT_CONNECTION_H_
