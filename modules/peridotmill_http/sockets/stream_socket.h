#ifndef PERIDOTMILL_HTTP_SOCKETS_STREAM_SOCKET_H_
#define PERIDOTMILL_HTTP_SOCKETS_STREAM_SOCKET_H_

#include <glib.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/http/message_body.h"

namespace peridotmill {

// How a connection ended: closed by the other side, failed while it was open,
// or not established.
enum class SocketEnd : uint8_t { kOrderly, kReset, kConnectFailed };

// A non-blocking TCP connection on the default GLib main context.
class StreamSocket {
 public:
  // Receives the events of a socket. The main loop makes the calls, never a
  // method that the listener itself calls on the socket. A callback may close
  // the socket, but must use DeleteLater to destroy it.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnSocketConnected() {}
    virtual void OnSocketData(std::string_view bytes) = 0;
    // Called when the last queued byte has been passed to the kernel.
    virtual void OnSocketDrained() {}
    // Called once, after the socket was closed because its connection ended.
    virtual void OnSocketEnd(SocketEnd end) = 0;
  };

  // Starts to connect to "a.b.c.d:port". The listener receives the outcome and
  // must outlive the socket.
  // Errors: kMalformed if the address cannot be parsed, kUnavailable if no
  // socket can be created or the connection fails immediately.
  static Result<std::unique_ptr<StreamSocket>> Connect(std::string_view address,
                                                       Listener* listener);

  // Takes ownership of the descriptor of an accepted connection and starts to
  // read from it.
  static std::unique_ptr<StreamSocket> Accepted(int descriptor,
                                                Listener* listener);

  ~StreamSocket();
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  // Sends as many bytes as the kernel accepts and queues the rest. Errors are
  // reported later through OnSocketEnd.
  void Write(std::string_view bytes);
  // Like Write, without a copy of the body: it is shared until its last byte
  // has been sent.
  void Write(const MessageBody& body);
  // Tells the other side that no bytes follow. Reading goes on.
  void ShutDownWriting();

  // Stop and resume reading. While reading is paused, a connection that the
  // other side closes is not detected.
  void PauseReading();
  void ResumeReading();

  // Closes the socket immediately and discards unsent bytes. No callback
  // follows.
  void Close();
  // Like Close, but resets the connection, so that the other side cannot take
  // an incomplete message for a complete one.
  void Abort();

  bool is_open() const { return descriptor_ >= 0; }
  bool is_connected() const { return is_connected_; }
  size_t unsent_bytes() const { return unsent_bytes_; }
  // Returns whether received bytes wait in the kernel's buffer.
  bool has_unread_bytes() const;
  // Returns whether received bytes, the end of the connection or an error wait
  // to be read.
  bool has_unread_input() const;

 private:
  // Bytes of the queue of unsent ones: either its own or those of a body.
  struct Piece {
    std::string_view bytes() const { return body.empty() ? own : body.bytes(); }
    std::string own;
    MessageBody body;
  };

  StreamSocket(int descriptor, bool is_connected, Listener* listener);

  static gboolean OnReadable(gint fd, GIOCondition condition, gpointer data);
  static gboolean OnWritable(gint fd, GIOCondition condition, gpointer data);
  // Sends what the kernel accepts if nothing is queued. Returns the number of
  // bytes sent, or nullopt if the connection has failed.
  std::optional<size_t> SendAtOnce(std::string_view bytes);
  void FinishConnecting();
  void FlushUnsent();
  // Closes the socket, then calls OnSocketEnd.
  void CloseAndReportEnd(SocketEnd end);
  // Calls OnWritable from the main loop when the socket becomes writable.
  void StartWriteWatch();

  // -1 after Close.
  int descriptor_;
  bool is_connected_;
  // A write that found the connection broken; see OnReadable.
  bool has_write_failed_ = false;
  Listener* listener_;
  // GLib source ids; 0 while not watched.
  guint read_source_ = 0;
  guint write_source_ = 0;
  // Empty if all bytes have been sent.
  std::vector<Piece> unsent_;
  // Number of bytes of the first piece that have been sent.
  size_t unsent_start_ = 0;
  size_t unsent_bytes_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SOCKETS_STREAM_SOCKET_H_
