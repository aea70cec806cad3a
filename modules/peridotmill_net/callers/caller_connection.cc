#include "peridotmill_net/callers/caller_connection.h"

#include <glib-unix.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace peridotmill {
namespace {

// Time for a refused caller to read the refusal; closing earlier with bytes
// unread would reset the connection and could discard the refusal.
constexpr guint kLingerMs = 1000;

bool HasBytes(GSocket* socket) {
  char byte = 0;
  return recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Bytes that the caller has sent since the connection began.
uint64_t ReceivedBytes(GSocket* socket) {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  const int result =
      getsockopt(g_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info, &size);
  return result == 0 ? info.tcpi_bytes_received : 0;
}

}  // namespace

CallerConnection::CallerConnection(const CallerLimits& limits,
                                   GSocketConnection* connection,
                                   GIOStream* stream,
                                   GSocketAddress* remote,
                                   Handlers handlers)
    : limits_(limits),
      handlers_(std::move(handlers)),
      stream_(stream),
      socket_(static_cast<GSocket*>(
          g_object_ref(g_socket_connection_get_socket(connection)))),
      remote_(static_cast<GSocketAddress*>(g_object_ref(remote))) {
  // Tokens are small writes, which Nagle's algorithm would delay.
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_object_weak_ref(G_OBJECT(stream_), &CallerConnection::OnStreamGone, this);
  WaitForRequest(limits_.body_timeout_ms);
  received_before_ = 0;
}

CallerConnection::~CallerConnection() {
  StopWaiting();
  if (stream_ != nullptr) {
    g_object_weak_unref(G_OBJECT(stream_), &CallerConnection::OnStreamGone,
                        this);
  }
}

void CallerConnection::OnStreamGone(gpointer data, GObject*) {
  auto* self = static_cast<CallerConnection*>(data);
  self->stream_ = nullptr;
  // The handler may destroy this, and the function object with it.
  const auto on_closed = self->handlers_.on_closed;
  on_closed(*self);
}

void CallerConnection::WaitForRequest(guint timeout_ms) {
  StopWaiting();
  phase_ = Phase::kIdle;
  received_before_ = ReceivedBytes(socket_.get());
  // A GSocket's source would look again when it is dispatched, after libsoup
  // has read the bytes.
  first_byte_ = g_unix_fd_source_new(g_socket_get_fd(socket_.get()), G_IO_IN);
  g_source_set_callback(first_byte_,
                        G_SOURCE_FUNC(&CallerConnection::OnFirstByte), this,
                        nullptr);
  g_source_attach(first_byte_, nullptr);
  StartTimeout(timeout_ms);
}

void CallerConnection::StopWaiting() {
  timeout_.Stop();
  if (first_byte_ != nullptr) {
    g_source_destroy(first_byte_);
    g_source_unref(std::exchange(first_byte_, nullptr));
  }
}

gboolean CallerConnection::OnFirstByte(gint, GIOCondition, gpointer data) {
  static_cast<CallerConnection*>(data)->BeginReading();
  return G_SOURCE_REMOVE;
}

void CallerConnection::BeginReading() {
  if (phase_ != Phase::kIdle || is_refused_) {
    return;
  }
  StopWaiting();
  phase_ = Phase::kReading;
  StartTimeout(limits_.body_timeout_ms);
}

void CallerConnection::StartTimeout(guint timeout_ms) {
  timeout_.Start(
      timeout_ms,
      [](gpointer data) { static_cast<CallerConnection*>(data)->OnTimeout(); },
      this);
}

void CallerConnection::OnTimeout() {
  switch (phase_) {
    case Phase::kIdle:
      // libsoup may have read the first bytes before this could see them.
      if (ReceivedBytes(socket_.get()) > received_before_) {
        handlers_.on_slow_request(*this);
      } else {
        Close();
      }
      break;
    case Phase::kReading:
      if (is_refused_) {
        Close();
      } else {
        handlers_.on_slow_request(*this);
      }
      break;
    case Phase::kAnswering:
      CheckProgress();
      break;
  }
}

void CallerConnection::OnHead() {
  // Bytes of a pipelined request may already be within libsoup, so that the
  // socket never became readable.
  BeginReading();
  body_.clear();
}

bool CallerConnection::AddToBody(std::string_view bytes) {
  if (is_refused_) {
    return true;
  }
  if (body_.size() + bytes.size() > limits_.max_body_bytes) {
    return false;
  }
  body_ += bytes;
  return true;
}

std::string CallerConnection::TakeBody() {
  if (!is_refused_) {
    phase_ = Phase::kAnswering;
    written_at_last_check_ = written_;
    StartTimeout(limits_.stall_timeout_ms);
  }
  return std::exchange(body_, {});
}

bool CallerConnection::AddUnsent(size_t bytes) {
  unsent_ += bytes;
  // A single answer may be larger than the bound, which is on what piles up.
  if (unsent_ > bytes && unsent_ > limits_.max_unsent_bytes) {
    Close();
    return false;
  }
  return true;
}

void CallerConnection::OnWritten(size_t bytes) {
  unsent_ -= std::min(unsent_, bytes);
  written_ += bytes;
}

void CallerConnection::OnAnswered() {
  unsent_ = 0;
  if (!is_refused_) {
    WaitForRequest(limits_.idle_timeout_ms);
  }
}

void CallerConnection::CheckProgress() {
  if (unsent_ > 0 && written_ == written_at_last_check_) {
    Close();
    return;
  }
  written_at_last_check_ = written_;
  StartTimeout(limits_.stall_timeout_ms);
}

void CallerConnection::Refuse(int http_status, const std::string& body) {
  if (is_refused_ || stream_ == nullptr) {
    return;
  }
  is_refused_ = true;
  phase_ = Phase::kReading;
  body_ = {};
  const std::string answer =
      "HTTP/1.1 " + std::to_string(http_status) + " " +
      soup_status_get_phrase(static_cast<guint>(http_status)) +
      "\r\nContent-Type: application/json\r\nConnection: close\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  // The refusal fits into the socket's empty send buffer.
  g_pollable_output_stream_write_nonblocking(
      G_POLLABLE_OUTPUT_STREAM(g_io_stream_get_output_stream(stream_)),
      answer.data(), answer.size(), nullptr, nullptr);
  g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
  StopWaiting();
  StartTimeout(kLingerMs);
}

void CallerConnection::Close() {
  StopWaiting();
  g_socket_shutdown(socket_.get(), TRUE, TRUE, nullptr);
}

void CallerConnection::CloseIfIdle() {
  if (phase_ == Phase::kIdle && !HasBytes(socket_.get())) {
    Close();
  }
}

}  // namespace peridotmill
