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

// A peer that acknowledges nothing for this long is taken as gone: shorter than
// the time in which a host counts as connected again after a partition (3 s).
constexpr int kUserTimeoutMs = 2500;
// Probes find a silent idle connection within 3 s.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
// Bytes taken from a socket at a time.
constexpr size_t kReadSize = 16384;

void SetOption(int descriptor, int level, int option, int value) {
  // An option that the platform lacks only delays the detection of a silent
  // peer, which the callers' own time limits bound as well.
  (void)setsockopt(descriptor, level, option, &value, sizeof(value));
}

void Configure(int descriptor) {
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
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
  Configure(descriptor);
  const int result = connect(
      descriptor, reinterpret_cast<const sockaddr*>(&*parsed), sizeof(*parsed));
  if (result != 0 && errno != EINPROGRESS) {
    close(descriptor);
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  auto stream = std::unique_ptr<StreamSocket>(
      new StreamSocket(descriptor, /*is_connected=*/false, listener));
  stream->WatchWritable();
  return stream;
}

std::unique_ptr<StreamSocket> StreamSocket::Accepted(int descriptor,
                                                     Listener* listener) {
  Configure(descriptor);
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
  if (is_connected_ && unsent_bytes() == 0) {
    const ssize_t sent =
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent >= 0) {
      bytes.remove_prefix(static_cast<size_t>(sent));
    } else if (errno != EAGAIN && errno != EINTR) {
      // The read side reports the end of the connection.
      return;
    }
    if (bytes.empty()) {
      return;
    }
  }
  unsent_.append(bytes);
  WatchWritable();
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
  unsent_ = std::string();
  unsent_start_ = 0;
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

void StreamSocket::WatchWritable() {
  if (write_source_ == 0) {
    write_source_ = g_unix_fd_add(
        descriptor_, static_cast<GIOCondition>(G_IO_OUT | G_IO_HUP | G_IO_ERR),
        OnWritable, this);
  }
}

gboolean StreamSocket::OnReadable(gint fd, GIOCondition, gpointer data) {
  auto* const self = static_cast<StreamSocket*>(data);
  std::array<char, kReadSize> buffer;
  const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
  if (size > 0) {
    self->listener_->OnSocketData({buffer.data(), static_cast<size_t>(size)});
  } else if (size == 0) {
    self->ReportEnd(SocketEnd::kOrderly);
  } else if (errno != EAGAIN && errno != EINTR) {
    self->ReportEnd(SocketEnd::kReset);
  }
  // The source is removed by id where reading stops.
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
    ReportEnd(SocketEnd::kConnectFailed);
    return;
  }
  is_connected_ = true;
  g_source_remove(write_source_);
  write_source_ = 0;
  ResumeReading();
  listener_->OnSocketConnected();
  if (descriptor_ >= 0 && unsent_bytes() > 0) {
    WatchWritable();
  }
}

void StreamSocket::FlushUnsent() {
  const ssize_t sent = send(descriptor_, unsent_.data() + unsent_start_,
                            unsent_bytes(), MSG_NOSIGNAL);
  if (sent < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      ReportEnd(SocketEnd::kReset);
    }
    return;
  }
  unsent_start_ += static_cast<size_t>(sent);
  if (unsent_bytes() > 0) {
    return;
  }
  unsent_ = std::string();
  unsent_start_ = 0;
  g_source_remove(write_source_);
  write_source_ = 0;
  listener_->OnSocketDrained();
}

void StreamSocket::ReportEnd(SocketEnd end) {
  Close();
  listener_->OnSocketEnd(end);
}

}  // namespace peridotmill
