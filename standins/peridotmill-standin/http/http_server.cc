#include "standins/peridotmill-standin/http/http_server.h"

#include <utility>
#include <vector>

namespace peridotmill::standin {
namespace {

constexpr char kExchangeKey[] = "peridotmill-exchange";

}  // namespace

Exchange::Exchange(SoupServerMessage* message)
    : message_(SOUP_SERVER_MESSAGE(g_object_ref(message))) {}

Exchange::~Exchange() {
  if (message_ != nullptr) {
    g_object_unref(message_);
  }
}

std::string Exchange::method() const {
  return message_ == nullptr ? "" : soup_server_message_get_method(message_);
}

std::string Exchange::path() const {
  return message_ == nullptr
             ? ""
             : g_uri_get_path(soup_server_message_get_uri(message_));
}

std::string Exchange::query() const {
  const char* query =
      message_ == nullptr
          ? nullptr
          : g_uri_get_query(soup_server_message_get_uri(message_));
  return query == nullptr ? "" : query;
}

std::string Exchange::body() const {
  if (message_ == nullptr) {
    return "";
  }
  GBytes* bytes =
      soup_message_body_flatten(soup_server_message_get_request_body(message_));
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  std::string text(data == nullptr ? "" : data, data == nullptr ? 0 : size);
  g_bytes_unref(bytes);
  return text;
}

std::string Exchange::Header(const char* name) const {
  const char* value =
      message_ == nullptr
          ? nullptr
          : soup_message_headers_get_one(
                soup_server_message_get_request_headers(message_), name);
  return value == nullptr ? "" : value;
}

void Exchange::SetHeader(const char* name, const std::string& value) {
  if (message_ != nullptr) {
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message_), name,
        value.c_str());
  }
}

void Exchange::Answer(int status,
                      const std::string& body,
                      const char* content_type) {
  if (message_ == nullptr || is_complete_) {
    return;
  }
  is_complete_ = true;
  soup_server_message_set_status(message_, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message_, content_type, SOUP_MEMORY_COPY,
                                   body.data(), body.size());
  soup_server_message_unpause(message_);
}

void Exchange::BeginStream(const char* content_type) {
  if (message_ == nullptr || is_complete_) {
    return;
  }
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message_);
  soup_message_headers_set_content_type(headers, content_type, nullptr);
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(message_), FALSE);
  soup_server_message_set_status(message_, SOUP_STATUS_OK, nullptr);
  soup_server_message_unpause(message_);
}

void Exchange::Write(const std::string& data) {
  if (message_ == nullptr || is_complete_ || data.empty()) {
    return;
  }
  soup_message_body_append(soup_server_message_get_response_body(message_),
                           SOUP_MEMORY_COPY, data.data(), data.size());
  soup_server_message_unpause(message_);
}

void Exchange::EndStream() {
  if (message_ == nullptr || is_complete_) {
    return;
  }
  is_complete_ = true;
  soup_message_body_complete(soup_server_message_get_response_body(message_));
  soup_server_message_unpause(message_);
}

void Exchange::Cut() {
  if (message_ == nullptr) {
    return;
  }
  is_complete_ = true;
  is_cut_ = true;
  if (GSocket* socket = soup_server_message_get_socket(message_)) {
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  }
  soup_server_message_unpause(message_);
}

void Exchange::set_on_gone(std::function<void()> on_gone) {
  on_gone_ = std::move(on_gone);
}

void Exchange::Detach() {
  if (message_ == nullptr) {
    return;
  }
  // Signals of this message that come later are ignored.
  g_object_set_data(G_OBJECT(message_), kExchangeKey, nullptr);
  g_object_unref(std::exchange(message_, nullptr));
  // The callback may own this exchange.
  const std::function<void()> on_gone = std::exchange(on_gone_, nullptr);
  if (on_gone && (!is_complete_ || is_cut_)) {
    on_gone();
  }
}

HttpServer::HttpServer(std::string address, Handler handler)
    : address_(std::move(address)),
      handler_(std::move(handler)),
      server_(soup_server_new(nullptr, nullptr)) {
  soup_server_add_handler(server_, nullptr, OnRequest, this, nullptr);
}

HttpServer::~HttpServer() {
  Close();
  g_object_unref(server_);
}

std::string HttpServer::Listen() {
  if (is_listening_) {
    return "";
  }
  GError* error = nullptr;
  GSocketConnectable* connectable =
      g_network_address_parse(address_.c_str(), 0, &error);
  std::string text;
  if (connectable != nullptr) {
    auto* network = G_NETWORK_ADDRESS(connectable);
    GSocketAddress* address = g_inet_socket_address_new_from_string(
        g_network_address_get_hostname(network),
        g_network_address_get_port(network));
    if (address == nullptr) {
      text = "not a numeric address";
    } else {
      is_listening_ = soup_server_listen(
          server_, address, static_cast<SoupServerListenOptions>(0), &error);
      g_object_unref(address);
    }
    g_object_unref(connectable);
  }
  if (error != nullptr) {
    text = error->message;
    g_error_free(error);
  }
  return text;
}

void HttpServer::Close() {
  if (!is_listening_) {
    return;
  }
  is_listening_ = false;
  const std::vector<std::shared_ptr<Exchange>> open(open_.begin(), open_.end());
  for (const auto& exchange : open) {
    exchange->Cut();
    open_.erase(exchange);
    exchange->Detach();
  }
  soup_server_disconnect(server_);
}

void HttpServer::OnRequest(SoupServer* /*server*/,
                           SoupServerMessage* message,
                           const char* /*path*/,
                           GHashTable* /*query*/,
                           gpointer data) {
  auto* self = static_cast<HttpServer*>(data);
  soup_server_message_pause(message);
  auto exchange = std::make_shared<Exchange>(message);
  g_object_set_data(G_OBJECT(message), kExchangeKey, exchange.get());
  self->open_.insert(exchange);
  g_signal_connect(message, "finished", G_CALLBACK(OnEnd), data);
  g_signal_connect(message, "disconnected", G_CALLBACK(OnEnd), data);
  if (!self->is_listening_) {
    exchange->Cut();
    return;
  }
  self->handler_(std::move(exchange));
}

void HttpServer::OnEnd(SoupServerMessage* message, gpointer data) {
  auto* self = static_cast<HttpServer*>(data);
  auto* ended = static_cast<Exchange*>(
      g_object_get_data(G_OBJECT(message), kExchangeKey));
  if (ended == nullptr) {
    return;
  }
  const std::shared_ptr<Exchange> exchange = ended->shared_from_this();
  self->open_.erase(exchange);
  exchange->Detach();
}

}  // namespace peridotmill::standin
