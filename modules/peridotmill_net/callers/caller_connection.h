#ifndef PERIDOTMILL_NET_CALLERS_CALLER_CONNECTION_H_
#define PERIDOTMILL_NET_CALLERS_CALLER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "peridotmill_net/callers/caller_limits.h"
#include "peridotmill_net/soup/soup_pointers.h"

namespace peridotmill {

// One connection of a caller: its time limits, the body being received and the
// response bytes that the caller has not read yet.
class CallerConnection {
 public:
  struct Handlers {
    // The request did not arrive in time.
    std::function<void(CallerConnection&)> on_slow_request;
    // The connection no longer exists. Destroying it here is allowed.
    std::function<void(CallerConnection&)> on_closed;
  };

  // `stream` is what HTTP runs over: `connection` or TLS on top of it.
  // `remote` identifies the connection in libsoup's messages.
  CallerConnection(const CallerLimits& limits,
                   GSocketConnection* connection,
                   GIOStream* stream,
                   GSocketAddress* remote,
                   Handlers handlers);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // What libsoup reports, in this order for each request.
  void OnHead();
  // False once the body exceeds the limit.
  bool AddToBody(std::string_view bytes);
  // The request has arrived completely.
  std::string TakeBody();
  void OnWritten(size_t bytes);
  void OnAnswered();

  // Counts response bytes until they are written. False, and the connection is
  // closed, when the caller has left too many unread.
  bool AddUnsent(size_t bytes);

  // Sends `body` outside libsoup, which reads a request to its end before it
  // answers, and closes the connection. Further bytes are discarded.
  void Refuse(int http_status, const std::string& body);
  void Close();
  // Closes a connection on which no part of a request has arrived.
  void CloseIfIdle();

  bool is_refused() const { return is_refused_; }
  bool is_answering() const { return phase_ == Phase::kAnswering; }
  GSocket* socket() const { return socket_.get(); }
  GSocketAddress* remote() const { return remote_.get(); }

 private:
  enum class Phase : uint8_t { kIdle, kReading, kAnswering };

  static void OnStreamGone(gpointer data, GObject* stream);
  static gboolean OnFirstByte(gint fd, GIOCondition condition, gpointer data);
  void WaitForRequest(guint timeout_ms);
  void StopWaiting();
  void BeginReading();
  void StartTimeout(guint timeout_ms);
  void OnTimeout();
  // Closes the connection when a waiting response made no progress.
  void CheckProgress();

  const CallerLimits& limits_;
  Handlers handlers_;
  // Owned by libsoup; null once it has let go of it.
  GIOStream* stream_;
  ObjectPtr<GSocket> socket_;
  ObjectPtr<GSocketAddress> remote_;
  Phase phase_ = Phase::kIdle;
  bool is_refused_ = false;
  std::string body_;
  size_t unsent_ = 0;
  // By the end of the request before.
  uint64_t received_before_ = 0;
  uint64_t written_ = 0;
  uint64_t written_at_last_check_ = 0;
  GSource* first_byte_ = nullptr;
  ScopedTimeout timeout_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_CALLERS_CALLER_CONNECTION_H_
