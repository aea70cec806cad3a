#include "peridotmill_net/callers/open_call.h"

#include <glib-unix.h>
#include <poll.h>

#include <utility>

#include "peridotmill_net/callers/caller_server.h"

namespace peridotmill {
namespace {

constexpr char kJson[] = "application/json";
// Bytes of an event beyond its data.
constexpr size_t kEventOverhead = 8;

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
// the connection. Only the end of the stream is watched: further requests on
// the connection wait for this answer. A caller that closes only its sending
// side counts as gone.
void OpenCall::WatchConnection(SoupServerMessage* message) {
  const CallerConnection* connection = server_.listener_->Find(message);
  if (connection == nullptr) {
    return;
  }
  connection_watch_ = g_unix_fd_source_new(
      g_socket_get_fd(connection->socket()),
      static_cast<GIOCondition>(POLLRDHUP | G_IO_HUP | G_IO_ERR));
  g_source_set_callback(connection_watch_, G_SOURCE_FUNC(&OpenCall::OnClosed),
                        this, nullptr);
  g_source_attach(connection_watch_, nullptr);
}

gboolean OpenCall::OnClosed(gint, GIOCondition, gpointer data) {
  auto* call = static_cast<OpenCall*>(data);
  // OnGone destroys the call and with it this source.
  const RequestId id = call->id_;
  call->server_.OnGone(id);
  return G_SOURCE_REMOVE;
}

bool OpenCall::SendEvent(const std::string& data) {
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
    server_.PrepareAnswer(message_.get());
    soup_message_body_set_accumulate(body, FALSE);
  }
  std::string event;
  event.reserve(data.size() + kEventOverhead);
  event.append("data: ").append(data).append("\n\n");
  if (!server_.AddUnsent(message_.get(), event.size())) {
    return false;
  }
  soup_message_body_append(body, SOUP_MEMORY_COPY, event.data(), event.size());
  soup_server_message_unpause(message_.get());
  return true;
}

void OpenCall::Abort() {
  if (CallerConnection* connection = server_.listener_->Find(message_.get())) {
    connection->Close();
  }
  // libsoup frees a message only once it has run to its end, which it does on
  // the closed socket.
  if (is_stream_) {
    soup_message_body_complete(
        soup_server_message_get_response_body(message_.get()));
  } else {
    soup_server_message_set_status(message_.get(),
                                   SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
  }
  soup_server_message_unpause(message_.get());
}

void OpenCall::EndStream() {
  if (!SendEvent("[DONE]")) {
    Abort();
    return;
  }
  soup_message_body_complete(
      soup_server_message_get_response_body(message_.get()));
  soup_server_message_unpause(message_.get());
}

void OpenCall::SendWhole(int http_status, const std::string& body) {
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message_.get());
  soup_message_headers_replace(headers, "X-Request-Id", id_.value().c_str());
  server_.PrepareAnswer(message_.get());
  server_.AddUnsent(message_.get(), body.size());
  soup_server_message_set_status(message_.get(),
                                 static_cast<guint>(http_status), nullptr);
  soup_server_message_set_response(message_.get(), kJson, SOUP_MEMORY_COPY,
                                   body.data(), body.size());
  soup_server_message_unpause(message_.get());
}

}  // namespace peridotmill
