#include "peridotmill_http/sockets/stream_socket.h"

#include <glib-unix.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "peridotmill_http/sockets/socket_address.h"

namespace peridotmill {
namespace {

// A connection fails when sent data stays unacknowledged for this long. Shorter
// than the time in which a host counts as connected again after a partition
// (3 s).
constexpr int kTcpUserTimeoutMs = 2500;
// Keep-alive probes detect an unresponsive peer on an idle connection within
// 3 s.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveMaxProbes = 2;
// Maximum number of bytes per receive call.
constexpr size_t kReadBufferBytes = 16384;
// Sent bytes at the front of a queued piece are removed once there are this
// many and they are half of it.
constexpr size_t kMinRemovedBytes = 65536;

void SetSocketOption(int descriptor, int level, int option, int value) {
  // Errors are ignored: an option that the platform lacks only delays the
  // detection of an unresponsive peer, and the timeouts of the code that uses
  // the socket limit that delay.
  (void)setsockopt(descriptor, level, option, &value, sizeof(value));
}

void ConfigureSocket(int descriptor) {
  SetSocketOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetSocketOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
  SetSocketOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetSocketOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL,
                  kKeepAliveIntervalSeconds);
  SetSocketOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveMaxProbes);
}

}  // namespace

Result<std::unique_ptr<StreamSocket>> StreamSocket::Connect(
    std::string_view address,
    Listener* listener) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  ConfigureSocket(descriptor);
  const int result = connect(
      descriptor, reinterpret_cast<const sockaddr*>(&*parsed), sizeof(*parsed));
  if (result != 0 && errno != EINPROGRESS) {
    close(descriptor);
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  auto stream = std::unique_ptr<StreamSocket>(
      new StreamSocket(descriptor, /*is_connected=*/false, listener));
  stream->StartWriteWatch();
  return stream;
}

std::unique_ptr<StreamSocket> StreamSocket::Accepted(int descriptor,
                                                     Listener* listener) {
  ConfigureSocket(descriptor);
  auto stream = std::unique_ptr<StreamSocket>(
      new StreamSocket(descriptor, /*is_connected=*/true, listener));
  stream->ResumeReading();
  return stream;
}

StreamSocket::StreamSocket(int descriptor,
                           bool is_connected,
                           Listener* listener)
    : descriptor_(descriptor),
      is_connected_(is_connected),
      listener_(listener) {}

StreamSocket::~StreamSocket() {
  Close();
}

void StreamSocket::Write(std::string_view bytes) {
  if (descriptor_ < 0) {
    return;
  }
  const auto sent = SendAtOnce(bytes);
  if (!sent || *sent == bytes.size()) {
    return;
  }
  bytes.remove_prefix(*sent);
  if (unsent_.empty() || !unsent_.back().body.empty()) {
    unsent_.emplace_back();
  }
  unsent_.back().own.append(bytes);
  unsent_bytes_ += bytes.size();
  StartWriteWatch();
}

void StreamSocket::Write(const MessageBody& body) {
  if (descriptor_ < 0) {
    return;
  }
  const auto sent = SendAtOnce(body.bytes());
  if (!sent || *sent == body.size()) {
    return;
  }
  if (unsent_.empty()) {
    unsent_start_ = *sent;
  }
  unsent_.push_back({.own = {}, .body = body});
  unsent_bytes_ += body.size() - *sent;
  StartWriteWatch();
}

std::optional<size_t> StreamSocket::SendAtOnce(std::string_view bytes) {
  if (!is_connected_ || unsent_bytes_ > 0) {
    return 0;
  }
  const ssize_t sent =
      send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent >= 0) {
    return static_cast<size_t>(sent);
  }
  if (errno != EAGAIN && errno != EINTR) {
    // OnReadable reports the end of the connection, after what had arrived.
    has_write_failed_ = true;
    return std::nullopt;
  }
  return 0;
}

void StreamSocket::ShutDownWriting() {
  if (descriptor_ >= 0) {
    (void)shutdown(descriptor_, SHUT_WR);
  }
}

void StreamSocket::PauseReading() {
  if (read_source_ != 0) {
    g_source_remove(read_source_);
    read_source_ = 0;
  }
}

void StreamSocket::ResumeReading() {
  if (descriptor_ >= 0 && is_connected_ && read_source_ == 0) {
    read_source_ = g_unix_fd_add(
        descriptor_, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR),
        OnReadable, this);
  }
}

void StreamSocket::Close() {
  PauseReading();
  if (write_source_ != 0) {
    g_source_remove(write_source_);
    write_source_ = 0;
  }
  if (descriptor_ >= 0) {
    close(descriptor_);
    descriptor_ = -1;
  }
  is_connected_ = false;
  unsent_ = {};
  unsent_start_ = 0;
  unsent_bytes_ = 0;
}

void StreamSocket::Abort() {
  if (descriptor_ >= 0) {
    const linger reset = {.l_onoff = 1, .l_linger = 0};
    (void)setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  Close();
}

bool StreamSocket::has_unread_bytes() const {
  char byte = 0;
  return descriptor_ >= 0 &&
         recv(descriptor_, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool StreamSocket::has_unread_input() const {
  char byte = 0;
  return descriptor_ >= 0 && (recv(descriptor_, &byte, sizeof(byte),
                                   MSG_PEEK | MSG_DONTWAIT) >= 0 ||
                              (errno != EAGAIN && errno != EINTR));
}

void StreamSocket::StartWriteWatch() {
  if (write_source_ == 0) {
    write_source_ = g_unix_fd_add(
        descriptor_, static_cast<GIOCondition>(G_IO_OUT | G_IO_HUP | G_IO_ERR),
        OnWritable, this);
  }
}

gboolean StreamSocket::OnReadable(gint fd, GIOCondition, gpointer data) {
  auto* const self = static_cast<StreamSocket*>(data);
  std::array<char, kReadBufferBytes> buffer;
  const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
  if (size > 0) {
    self->listener_->OnSocketData({buffer.data(), static_cast<size_t>(size)});
  } else if (size == 0) {
    // The kernel reports a reset once: here, or to the write that failed.
    self->CloseAndReportEnd(self->has_write_failed_ ? SocketEnd::kReset
                                                    : SocketEnd::kOrderly);
  } else if (errno != EAGAIN && errno != EINTR) {
    self->CloseAndReportEnd(SocketEnd::kReset);
  }
  // PauseReading and Close remove the source by its id.
  return G_SOURCE_CONTINUE;
}

gboolean StreamSocket::OnWritable(gint, GIOCondition, gpointer data) {
  auto* const self = static_cast<StreamSocket*>(data);
  if (!self->is_connected_) {
    self->FinishConnecting();
  } else {
    self->FlushUnsent();
  }
  return G_SOURCE_CONTINUE;
}

void StreamSocket::FinishConnecting() {
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    CloseAndReportEnd(SocketEnd::kConnectFailed);
    return;
  }
  is_connected_ = true;
  g_source_remove(write_source_);
  write_source_ = 0;
  ResumeReading();
  listener_->OnSocketConnected();
  if (descriptor_ >= 0 && unsent_bytes() > 0) {
    StartWriteWatch();
  }
}

void StreamSocket::FlushUnsent() {
  while (!unsent_.empty()) {
    Piece& piece = unsent_.front();
    const std::string_view bytes = piece.bytes().substr(unsent_start_);
    const ssize_t result =
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (result < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        CloseAndReportEnd(SocketEnd::kReset);
      }
      return;
    }
    const auto sent = static_cast<size_t>(result);
    unsent_bytes_ -= sent;
    if (sent < bytes.size()) {
      unsent_start_ += sent;
      // The other side may read as fast as bytes are queued for a long time.
      if (unsent_start_ >= kMinRemovedBytes &&
          unsent_start_ >= piece.own.size() / 2 && piece.body.empty()) {
        piece.own.erase(0, unsent_start_);
        unsent_start_ = 0;
      }
      return;
    }
    unsent_start_ = 0;
    unsent_.erase(unsent_.begin());
  }
  unsent_ = {};
  g_source_remove(write_source_);
  write_source_ = 0;
  listener_->OnSocketDrained();
}

void StreamSocket::CloseAndReportEnd(SocketEnd end) {
  Close();
  listener_->OnSocketEnd(end);
}

}  // namespace peridotmill
