#include "peridotmill_net/peers/peer_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace peridotmill {
namespace {

// Bound of a frame from a side that has not proved itself.
constexpr size_t kMaxHandshakeFrame = 4096;
// The kernel breaks a connection whose data is not acknowledged for this time.
// Heartbeats are sent once a second, so a dead path is found without a reader.
constexpr gint kUnacknowledgedTimeoutMs = 5000;

void SetSocketOptions(GSocketConnection* connection) {
  GSocket* const socket = g_socket_connection_get_socket(connection);
  // Failures leave the defaults, which are slower but correct.
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      kUnacknowledgedTimeoutMs, nullptr);
}

}  // namespace

PeerConnection::PeerConnection(Owner& owner, Limits limits, Handshake handshake)
    : owner_(&owner),
      limits_(limits),
      handshake_(std::move(handshake)),
      frames_(kMaxHandshakeFrame),
      cancellable_(g_cancellable_new()) {}

PeerConnection::~PeerConnection() {
  StopTimer();
}

PeerConnection::Shared PeerConnection::Release(gpointer data) {
  const std::unique_ptr<Shared> held(static_cast<Shared*>(data));
  return *held;
}

void PeerConnection::Accept(GSocketConnection* connection) {
  StartTimer();
  Open(ObjectPtr<GSocketConnection>(
      static_cast<GSocketConnection*>(g_object_ref(connection))));
}

void PeerConnection::Dial(const std::string& address) {
  StartTimer();
  const ObjectPtr<GSocketClient> client(g_socket_client_new());
  g_socket_client_set_enable_proxy(client.get(), FALSE);
  g_socket_client_connect_to_host_async(client.get(), address.c_str(),
                                        /*default_port=*/0, cancellable_.get(),
                                        OnDialled, Hold());
}

void PeerConnection::OnDialled(GObject* source,
                               GAsyncResult* result,
                               gpointer data) {
  const Shared self = Release(data);
  ObjectPtr<GSocketConnection> connection(
      g_socket_client_connect_to_host_finish(G_SOCKET_CLIENT(source), result,
                                             nullptr));
  if (connection == nullptr) {
    self->Fail(std::nullopt);
  } else if (self->owner_ != nullptr) {
    self->Open(std::move(connection));
  }
}

void PeerConnection::Open(ObjectPtr<GSocketConnection> connection) {
  connection_ = std::move(connection);
  SetSocketOptions(connection_.get());
  Send(handshake_.Hello());
  Read();
}

void PeerConnection::Read() {
  g_input_stream_read_async(
      g_io_stream_get_input_stream(G_IO_STREAM(connection_.get())),
      read_buffer_.data(), read_buffer_.size(), G_PRIORITY_DEFAULT,
      cancellable_.get(), OnRead, Hold());
}

void PeerConnection::OnRead(GObject* source,
                            GAsyncResult* result,
                            gpointer data) {
  const Shared self = Release(data);
  const gssize size =
      g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
  if (size <= 0) {
    self->Fail(std::nullopt);
    return;
  }
  if (self->owner_ == nullptr) {
    return;
  }
  self->owner_->OnBytes(0, static_cast<size_t>(size));
  self->frames_.Append({self->read_buffer_.data(), static_cast<size_t>(size)});
  self->ReadFrames();
  if (self->owner_ != nullptr) {
    self->Read();
  }
}

void PeerConnection::ReadFrames() {
  while (owner_ != nullptr) {
    auto frame = frames_.Next();
    if (!frame) {
      Fail(Reason::kPeerFrameMalformed);
      return;
    }
    if (!frame->has_value()) {
      return;
    }
    if (is_authenticated_) {
      owner_->OnFrame(*this, std::move(**frame));
    } else if (!OnHandshakeFrame(**frame)) {
      return;
    }
  }
}

bool PeerConnection::OnHandshakeFrame(std::string_view payload) {
  const Handshake::Step step = handshake_.OnFrame(payload);
  if (step.fault != Handshake::Fault::kNone) {
    Fail(step.fault == Handshake::Fault::kMalformed
             ? Reason::kPeerFrameMalformed
             : Reason::kPeerNotAuthenticated);
    return false;
  }
  if (!step.reply.empty()) {
    Send(step.reply);
  }
  if (step.complete) {
    StopTimer();
    is_authenticated_ = true;
    authenticated_at_us_ = g_get_monotonic_time();
    frames_.set_max_payload_bytes(kMaxPeerPayloadBytes);
    owner_->OnAuthenticated(*this);
  }
  return true;
}

bool PeerConnection::Send(std::string_view payload) {
  if (owner_ == nullptr || is_retired_ || payload.empty() ||
      payload.size() > kMaxPeerPayloadBytes) {
    return false;
  }
  const size_t waiting = writing_.size() - written_ + queued_.size();
  if (waiting + kFrameHeaderBytes + payload.size() > limits_.max_queued) {
    return false;
  }
  queued_ += EncodeFrame(payload);
  if (writing_.empty()) {
    Write();
  }
  return true;
}

void PeerConnection::Write() {
  if (written_ == writing_.size()) {
    writing_ = std::exchange(queued_, {});
    written_ = 0;
  }
  if (writing_.empty()) {
    if (is_retired_) {
      g_socket_shutdown(g_socket_connection_get_socket(connection_.get()),
                        /*shutdown_read=*/FALSE, /*shutdown_write=*/TRUE,
                        nullptr);
    }
    return;
  }
  g_output_stream_write_async(
      g_io_stream_get_output_stream(G_IO_STREAM(connection_.get())),
      writing_.data() + written_, writing_.size() - written_,
      G_PRIORITY_DEFAULT, cancellable_.get(), OnWritten, Hold());
}

void PeerConnection::OnWritten(GObject* source,
                               GAsyncResult* result,
                               gpointer data) {
  const Shared self = Release(data);
  const gssize size =
      g_output_stream_write_finish(G_OUTPUT_STREAM(source), result, nullptr);
  if (size < 0) {
    self->Fail(std::nullopt);
    return;
  }
  self->written_ += static_cast<size_t>(size);
  if (self->owner_ != nullptr) {
    self->owner_->OnBytes(static_cast<size_t>(size), 0);
    self->Write();
  }
}

void PeerConnection::Retire() {
  if (owner_ == nullptr || is_retired_) {
    return;
  }
  is_retired_ = true;
  StartTimer();
  if (writing_.empty()) {
    Write();
  }
}

void PeerConnection::Close() {
  owner_ = nullptr;
  StopTimer();
  g_cancellable_cancel(cancellable_.get());
  if (connection_ != nullptr) {
    g_socket_shutdown(g_socket_connection_get_socket(connection_.get()),
                      /*shutdown_read=*/TRUE, /*shutdown_write=*/TRUE, nullptr);
  }
}

void PeerConnection::Fail(std::optional<Reason> fault) {
  if (Owner* const owner = owner_) {
    const Shared self = shared_from_this();
    Close();
    owner->OnClosed(*this, fault);
  }
}

void PeerConnection::StartTimer() {
  StopTimer();
  const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      limits_.handshake_timeout);
  timer_ = g_timeout_add(static_cast<guint>(timeout.count()), OnTimeout, this);
}

void PeerConnection::StopTimer() {
  if (timer_ != 0) {
    g_source_remove(std::exchange(timer_, 0));
  }
}

gboolean PeerConnection::OnTimeout(gpointer data) {
  const Shared self = static_cast<PeerConnection*>(data)->shared_from_this();
  self->timer_ = 0;
  // A host that does not accept the connection has not failed to prove itself.
  const bool is_silent =
      self->connection_ != nullptr && !self->is_authenticated_;
  self->Fail(is_silent ? std::optional(Reason::kPeerNotAuthenticated)
                       : std::nullopt);
  return G_SOURCE_REMOVE;
}

}  // namespace peridotmill
