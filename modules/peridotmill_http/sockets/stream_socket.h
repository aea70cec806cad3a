#ifndef PERIDOTMILL_HTTP_SOCKETS_STREAM_SOCKET_H_
#define PERIDOTMILL_HTTP_SOCKETS_STREAM_SOCKET_H_

#include <glib.h>

#include <memory>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/error.h"

namespace peridotmill {

// How the other side ended a connection.
enum class SocketEnd : uint8_t { kOrderly, kReset, kConnectFailed };

// A non-blocking TCP connection on the default GLib main context.
class StreamSocket {
 public:
  // Callbacks come from the main loop, never within a call of StreamSocket. A
  // listener may close the socket in a callback; it destroys it with
  // DeleteLater.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnSocketConnected() {}
    virtual void OnSocketData(std::string_view bytes) = 0;
    // The queue of unsent bytes has become empty.
    virtual void OnSocketDrained() {}
    virtual void OnSocketEnd(SocketEnd end) = 0;
  };

  // Starts to connect to "a.b.c.d:port".
  // Errors: kMalformed for an address that cannot be read, kUnavailable when
  // no socket can be had.
  static Result<std::unique_ptr<StreamSocket>> Connect(std::string_view address,
                                                       Listener* listener);

  // Takes over an accepted connection.
  static std::unique_ptr<StreamSocket> Accepted(int descriptor,
                                                Listener* listener);

  ~StreamSocket();
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  // Sends as much as the connection takes now and queues the rest. Errors show
  // as OnSocketEnd later.
  void Write(std::string_view bytes);

  // Stops and resumes reading; while paused the end is not noticed.
  void PauseReading();
  void ResumeReading();

  // Closes at once; no callback follows. Unsent bytes are lost.
  void Close();
  // Closes with a reset, so that the other side sees an incomplete message.
  void Abort();

  bool is_open() const { return descriptor_ >= 0; }
  bool is_connected() const { return is_connected_; }
  size_t unsent_bytes() const { return unsent_.size() - unsent_start_; }
  // Whether the other side has sent bytes that were not read yet.
  bool has_unread_bytes() const;

 private:
  StreamSocket(int descriptor, bool is_connected, Listener* listener);

  static gboolean OnReadable(gint fd, GIOCondition condition, gpointer data);
  static gboolean OnWritable(gint fd, GIOCondition condition, gpointer data);
  void FinishConnecting();
  void FlushUnsent();
  void ReportEnd(SocketEnd end);
  void WatchWritable();

  int descriptor_;
  bool is_connected_;
  Listener* listener_;
  guint read_source_ = 0;
  guint write_source_ = 0;
  std::string unsent_;
  // Bytes of `unsent_` before this have been sent.
  size_t unsent_start_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SOCKETS_STREAM_SOCKET_H_
