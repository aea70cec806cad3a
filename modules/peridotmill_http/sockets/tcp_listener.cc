#include "peridotmill_http/sockets/tcp_listener.h"

#include <arpa/inet.h>
#include <glib-unix.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "peridotmill_http/sockets/socket_address.h"

namespace peridotmill {
namespace {

// Maximum number of established connections that wait to be accepted.
constexpr int kListenBacklog = 512;
// Maximum number of connections accepted per main loop iteration.
constexpr int kMaxAcceptsPerIteration = 64;

}  // namespace

Result<std::unique_ptr<TcpListener>> TcpListener::Create(
    const std::string& address,
    Handler handler) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  auto listener = std::unique_ptr<TcpListener>(
      new TcpListener(descriptor, std::move(handler)));
  const int reuse = 1;
  // Without SO_REUSEADDR, bind fails for up to a minute after a restart.
  (void)setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  sockaddr_in bound = {};
  socklen_t size = sizeof(bound);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&*parsed),
           sizeof(*parsed)) != 0 ||
      listen(descriptor, kListenBacklog) != 0 ||
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size) !=
          0) {
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  listener->port_ = ntohs(bound.sin_port);
  listener->source_ =
      g_unix_fd_add(descriptor, G_IO_IN, OnAcceptable, listener.get());
  return listener;
}

TcpListener::TcpListener(int descriptor, Handler handler)
    : descriptor_(descriptor), handler_(std::move(handler)) {}

TcpListener::~TcpListener() {
  if (source_ != 0) {
    g_source_remove(source_);
  }
  if (descriptor_ >= 0) {
    close(descriptor_);
  }
}

void TcpListener::StopListening() {
  if (descriptor_ < 0) {
    return;
  }
  // Closing the socket resets the connections that wait to be accepted. The
  // filter drops the packets of new ones, so that none is established between
  // the last accept and the close. Without it, that gap is only short.
  sock_filter drop_all[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
  const sock_fprog filter = {.len = 1, .filter = drop_all};
  (void)setsockopt(descriptor_, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                   sizeof(filter));
  while (AcceptOne()) {
  }
  g_source_remove(source_);
  source_ = 0;
  close(descriptor_);
  descriptor_ = -1;
}

gboolean TcpListener::OnAcceptable(gint, GIOCondition, gpointer data) {
  auto* const self = static_cast<TcpListener*>(data);
  int accepted = 0;
  while (accepted < kMaxAcceptsPerIteration && self->AcceptOne()) {
    ++accepted;
  }
  return G_SOURCE_CONTINUE;
}

bool TcpListener::AcceptOne() {
  const int descriptor =
      accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor < 0) {
    return false;
  }
  handler_(descriptor);
  return true;
}

}  // namespace peridotmill
