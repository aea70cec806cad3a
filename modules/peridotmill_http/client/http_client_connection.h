#ifndef PERIDOTMILL_HTTP_CLIENT_HTTP_CLIENT_CONNECTION_H_
#define PERIDOTMILL_HTTP_CLIENT_HTTP_CLIENT_CONNECTION_H_

#include <glib.h>
#include <http_parser.h>

#include <memory>
#include <string>
#include <string_view>

#include "peridotmill_core/http/http_call.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_http/sockets/stream_socket.h"

namespace peridotmill {

class HttpClient;

// One connection to a server, with at most one call at a time.
class HttpClientConnection final : public StreamSocket::Listener {
 public:
  explicit HttpClientConnection(HttpClient* client) : client_(client) {}
  ~HttpClientConnection() override;

  // Begins a call on a new connection or, with an established one, on that.
  void Begin(HttpCall call, HttpCallListener* listener);
  // Ends the call without a callback and closes the connection.
  void Cancel();
  void PauseReading();
  void ResumeReading();

  const std::string& address() const { return call_.address; }
  bool is_open() const { return socket_ != nullptr && socket_->is_open(); }
  TimePoint idle_since() const { return idle_since_; }
  // Until when the connection may be kept idle.
  TimePoint idle_until() const { return idle_since_ + idle_limit_; }

 private:
  void OnSocketConnected() override;
  void OnSocketData(std::string_view bytes) override;
  void OnSocketEnd(SocketEnd end) override;

  static gboolean OnConnectTimeout(gpointer data);
  static gboolean OnConnectRefused(gpointer data);
  void StopTimer();
  std::string EncodeRequest() const;
  void StartParsing();
  void FinishAnswer();
  // Closes the connection and ends the call, or the time it was kept.
  void Fail(HttpCallEnd end);

  static int OnStatus(http_parser* parser, const char* data, size_t size);
  static int OnField(http_parser* parser, const char* data, size_t size);
  static int OnValue(http_parser* parser, const char* data, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, size_t size);
  static int OnMessageComplete(http_parser* parser);
  void FinishField();
  static const http_parser_settings& Callbacks();

  HttpClient* client_;
  std::unique_ptr<StreamSocket> socket_;
  HttpCall call_;
  HttpCallListener* listener_ = nullptr;
  guint timer_ = 0;
  http_parser parser_ = {};
  HttpResponseHead head_;
  std::string field_name_;
  std::string field_value_;
  bool is_in_value_ = false;
  bool is_head_delivered_ = false;
  // The current answer is an interim one or belongs to another call.
  bool is_skipped_ = false;
  bool is_message_complete_ = false;
  bool is_unsized_ = false;
  // Body bytes of the call's own answer.
  uint64_t answer_bytes_ = 0;
  // Interim answers and those of other calls, and the bytes of their bodies.
  int skipped_answers_ = 0;
  uint64_t skipped_bytes_ = 0;
  TimePoint idle_since_;
  Duration idle_limit_ = Duration::zero();
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_CLIENT_HTTP_CLIENT_CONNECTION_H_
