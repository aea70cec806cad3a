#ifndef PERIDOTMILL_NET_PEERS_PEER_CONNECTION_H_
#define PERIDOTMILL_NET_PEERS_PEER_CONNECTION_H_

#include <gio/gio.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "peridotmill_core/framing/frame_decoder.h"
#include "peridotmill_core/reasons/reason.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_net/glib/object_ptr.h"
#include "peridotmill_net/peers/handshake.h"

namespace peridotmill {

// One TCP connection to another node, dialled or accepted: handshake first,
// frames afterwards. Must be held by a shared_ptr. Callbacks run from the main
// loop only, and not after Close.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  struct Limits {
    // Time for the connection, the handshake, and the end of a retired
    // connection.
    Duration handshake_timeout = std::chrono::seconds(5);
    // Bytes that may wait to be sent.
    size_t max_queued = size_t{4} << 20;
  };

  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnAuthenticated(PeerConnection& connection) = 0;
    virtual void OnFrame(PeerConnection& connection, std::string payload) = 0;
    // The connection has closed by itself. `fault` is set when the peer broke
    // the protocol.
    virtual void OnClosed(PeerConnection& connection,
                          std::optional<Reason> fault) = 0;
    virtual void OnBytes(size_t sent, size_t received) = 0;
  };

  PeerConnection(Owner& owner, Limits limits, Handshake handshake);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  // Starts on an accepted connection.
  void Accept(GSocketConnection* connection);
  // Connects to `address`, "ip:port".
  void Dial(const std::string& address);

  // Queues a payload. Returns false when the queue is full or the connection is
  // closed; the caller then closes it.
  bool Send(std::string_view payload);

  // Sends what is queued and then ends; frames from the other side are still
  // delivered until it ends too.
  void Retire();

  // Ends at once, without a callback.
  void Close();

  bool is_authenticated() const { return is_authenticated_; }
  bool is_dialler() const {
    return handshake_.role() == HandshakeRole::kDialler;
  }
  // Valid when authenticated.
  const NodeId& peer() const { return handshake_.peer().node; }
  Incarnation incarnation() const { return handshake_.peer().incarnation; }
  // Monotonic time of authentication.
  int64_t authenticated_at_us() const { return authenticated_at_us_; }

 private:
  using Shared = std::shared_ptr<PeerConnection>;

  gpointer Hold() { return new Shared(shared_from_this()); }
  static Shared Release(gpointer data);
  static void OnDialled(GObject* source, GAsyncResult* result, gpointer data);
  static void OnRead(GObject* source, GAsyncResult* result, gpointer data);
  static void OnWritten(GObject* source, GAsyncResult* result, gpointer data);
  static gboolean OnTimeout(gpointer data);

  void Open(ObjectPtr<GSocketConnection> connection);
  void Read();
  void Write();
  void ReadFrames();
  bool OnHandshakeFrame(std::string_view payload);
  void StartTimer();
  void StopTimer();
  void Fail(std::optional<Reason> fault);

  // Null when closed.
  Owner* owner_;
  Limits limits_;
  Handshake handshake_;
  FrameDecoder frames_;
  ObjectPtr<GCancellable> cancellable_;
  ObjectPtr<GSocketConnection> connection_;
  std::array<char, 16384> read_buffer_;
  // Bytes given to the socket, and bytes that wait behind them.
  std::string writing_;
  size_t written_ = 0;
  std::string queued_;
  guint timer_ = 0;
  int64_t authenticated_at_us_ = 0;
  bool is_authenticated_ = false;
  bool is_retired_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_PEERS_PEER_CONNECTION_H_
