#include "peridotmill_net/callers/open_call.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "peridotmill_net/callers/caller_server.h"

namespace peridotmill {
namespace {

constexpr char kJson[] = "application/json";

}  // namespace

OpenCall::OpenCall(CallerServer& server,
                   SoupServerMessage* message,
                   RequestId id)
    : server_(server),
      message_(SOUP_SERVER_MESSAGE(g_object_ref(message))),
      id_(std::move(id)) {
  g_signal_connect(message, "finished",
                   G_CALLBACK(+[](SoupServerMessage*, gpointer data) {
                     auto* call = static_cast<OpenCall*>(data);
                     call->server_.OnGone(call->id_);
                   }),
                   this);
  WatchConnection(message);
  soup_server_message_pause(message);
}

OpenCall::~OpenCall() {
  g_signal_handlers_disconnect_by_data(message_.get(), this);
  if (connection_watch_ != nullptr) {
    g_source_destroy(connection_watch_);
    g_source_unref(connection_watch_);
  }
}

// A paused message does not read, so libsoup cannot see that the caller closed
// the connection; the socket is watched for that.
void OpenCall::WatchConnection(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket == nullptr) {
    return;
  }
  connection_watch_ = g_socket_create_source(
      socket, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR),
      nullptr);
  g_source_set_callback(connection_watch_, G_SOURCE_FUNC(&OpenCall::OnSocket),
                        this, nullptr);
  g_source_attach(connection_watch_, nullptr);
}

gboolean OpenCall::OnSocket(GSocket* socket,
                            GIOCondition condition,
                            gpointer data) {
  char byte = 0;
  const ssize_t received =
      recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool is_closed = received == 0 ||
                         (received < 0 && errno != EAGAIN && errno != EINTR) ||
                         (condition & (G_IO_HUP | G_IO_ERR)) != 0;
  if (is_closed) {
    auto* call = static_cast<OpenCall*>(data);
    // OnGone destroys the call and with it this source.
    call->server_.OnGone(call->id_);
    return G_SOURCE_REMOVE;
  }
  // Further requests on the connection wait for this answer; stop watching,
  // or the readable socket would keep the loop busy.
  return received > 0 ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

void OpenCall::SendEvent(const std::string& data) {
  SoupMessageBody* body = soup_server_message_get_response_body(message_.get());
  if (!is_stream_) {
    is_stream_ = true;
    SoupMessageHeaders* headers =
        soup_server_message_get_response_headers(message_.get());
    soup_server_message_set_status(message_.get(), SOUP_STATUS_OK, nullptr);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
    soup_message_headers_replace(headers, "Cache-Control", "no-cache");
    soup_message_headers_replace(headers, "X-Request-Id", id_.value().c_str());
    soup_message_body_set_accumulate(body, FALSE);
  }
  const std::string event = "data: " + data + "\n\n";
  soup_message_body_append(body, SOUP_MEMORY_COPY, event.data(), event.size());
  soup_server_message_unpause(message_.get());
}

void OpenCall::EndStream() {
  SendEvent("[DONE]");
  soup_message_body_complete(
      soup_server_message_get_response_body(message_.get()));
  soup_server_message_unpause(message_.get());
}

void OpenCall::SendWhole(int http_status, const std::string& body) {
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message_.get());
  soup_message_headers_replace(headers, "X-Request-Id", id_.value().c_str());
  soup_server_message_set_status(message_.get(),
                                 static_cast<guint>(http_status), nullptr);
  soup_server_message_set_response(message_.get(), kJson, SOUP_MEMORY_COPY,
                                   body.data(), body.size());
  soup_server_message_unpause(message_.get());
}

}  // namespace peridotmill
