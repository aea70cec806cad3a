#include "peridotmill_http/peers/frame_link.h"

#include <utility>

#include "peridotmill_http/sockets/delete_later.h"

namespace peridotmill {
namespace {

// A link with more unsent bytes is closed: its peer does not read, or reads too
// slowly.
constexpr size_t kMaxUnsentBytes = size_t{3} << 20;

}  // namespace

class FrameLink::Connection final : public StreamSocket::Listener {
 public:
  explicit Connection(PeerLinkListener* listener)
      : listener_(listener), frames_(kMaxPeerPayloadBytes) {}
  ~Connection() override {
    if (failure_source_ != 0) {
      g_source_remove(failure_source_);
    }
  }

  // Takes over the socket, or reports the link as lost if there is none.
  void SetSocket(Result<std::unique_ptr<StreamSocket>> socket) {
    if (socket) {
      socket_ = *std::move(socket);
    } else {
      FailLater();
    }
  }

  void Send(std::string_view frame) {
    if (socket_ == nullptr || !socket_->is_open()) {
      return;
    }
    if (socket_->unsent_bytes() > kMaxUnsentBytes) {
      socket_->Close();
      FailLater();
      return;
    }
    socket_->Write(EncodeFrame(frame));
  }

  void Close() {
    listener_ = nullptr;
    if (socket_ != nullptr) {
      socket_->Close();
    }
  }

 private:
  void OnSocketData(std::string_view bytes) override {
    frames_.Append(bytes);
    while (listener_ != nullptr) {
      auto frame = frames_.Next();
      if (!frame) {
        Fail();
        return;
      }
      if (!*frame) {
        return;
      }
      listener_->OnLinkFrame(**frame);
    }
  }
  void OnSocketEnd(SocketEnd) override { Fail(); }

  void Fail() {
    PeerLinkListener* const listener = std::exchange(listener_, nullptr);
    if (socket_ != nullptr) {
      socket_->Close();
    }
    if (listener != nullptr) {
      listener->OnLinkLost();
    }
  }

  // Reports the loss of the link from the main loop, never within a call of
  // FrameLink.
  void FailLater() {
    if (failure_source_ == 0) {
      failure_source_ = g_idle_add(OnFailure, this);
    }
  }
  static gboolean OnFailure(gpointer data) {
    auto* const self = static_cast<Connection*>(data);
    self->failure_source_ = 0;
    self->Fail();
    return G_SOURCE_REMOVE;
  }

  PeerLinkListener* listener_;
  FrameDecoder frames_;
  std::unique_ptr<StreamSocket> socket_;
  guint failure_source_ = 0;
};

std::unique_ptr<PeerLink> FrameLink::Dial(const std::string& address,
                                          PeerLinkListener* listener) {
  auto connection = std::make_unique<Connection>(listener);
  connection->SetSocket(StreamSocket::Connect(address, connection.get()));
  return std::unique_ptr<PeerLink>(new FrameLink(std::move(connection)));
}

std::unique_ptr<PeerLink> FrameLink::Accepted(int descriptor,
                                              PeerLinkListener* listener) {
  auto connection = std::make_unique<Connection>(listener);
  connection->SetSocket(StreamSocket::Accepted(descriptor, connection.get()));
  return std::unique_ptr<PeerLink>(new FrameLink(std::move(connection)));
}

FrameLink::FrameLink(std::unique_ptr<Connection> connection)
    : connection_(std::move(connection)) {}

FrameLink::~FrameLink() {
  connection_->Close();
  DeleteLater(std::move(connection_));
}

void FrameLink::Send(std::string_view frame) {
  connection_->Send(frame);
}

}  // namespace peridotmill
