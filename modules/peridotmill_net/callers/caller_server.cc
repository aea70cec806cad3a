#include "peridotmill_net/callers/caller_server.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "peridotmill_net/callers/open_call.h"
#include "peridotmill_net/logging/event_log.h"
#include "peridotmill_net/soup/socket_address.h"

namespace peridotmill {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kPipelinePrefix = "/v1/pipelines/";
constexpr std::string_view kActionPrefix = "/v1/actions/";
constexpr std::string_view kBearer = "Bearer ";

std::string Header(SoupServerMessage* message, const char* name) {
  return TextOf(soup_message_headers_get_one(
      soup_server_message_get_request_headers(message), name));
}

std::string BearerToken(SoupServerMessage* message) {
  const std::string value = Header(message, "Authorization");
  return value.starts_with(kBearer) ? value.substr(kBearer.size())
                                    : std::string();
}

void SetJson(SoupServerMessage* message, int status, const std::string& body) {
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, "application/json",
                                   SOUP_MEMORY_COPY, body.data(), body.size());
}

}  // namespace

std::string RefusalBody(Reason reason,
                        Execution execution,
                        const std::string& message,
                        const std::string& field) {
  using nlohmann::json;
  const std::string text =
      message.empty() ? std::string(InfoOf(reason).description) : message;
  const json error = {{"code", ToString(reason)},
                      {"message", text},
                      {"field", field.empty() ? json() : json(field)},
                      {"execution", ToString(execution)}};
  return json{{"error", error}}.dump(-1, ' ', false,
                                     json::error_handler_t::replace);
}

CallerServer::CallerServer(CallerServerLimits limits,
                           CallerServerHandlers handlers)
    : limits_(limits),
      handlers_(std::move(handlers)),
      server_(soup_server_new("server-header", "peridotmill", nullptr)) {}

Result<std::unique_ptr<CallerServer>> CallerServer::Create(
    const std::string& address,
    CallerServerLimits limits,
    CallerServerHandlers handlers) {
  std::unique_ptr<CallerServer> server(
      new CallerServer(limits, std::move(handlers)));
  if (auto listening = server->Listen(address); !listening) {
    return tl::unexpected(listening.error());
  }
  return server;
}

CallerServer::~CallerServer() {
  calls_.clear();
}

Result<void> CallerServer::Listen(const std::string& address) {
  const ObjectPtr<GSocketAddress> socket_address = SocketAddressFrom(address);
  if (!socket_address) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  GError* error = nullptr;
  const bool is_listening =
      soup_server_listen(server_.get(), socket_address.get(),
                         static_cast<SoupServerListenOptions>(0), &error);
  const ErrorPointer owned_error(error);
  if (!is_listening) {
    LogError("listen_failed",
             {{"address", address}, {"error", error->message}});
    return tl::unexpected(make_error_code(Error::kUnavailable));
  }
  soup_server_add_early_handler(
      server_.get(), nullptr,
      [](SoupServer*, SoupServerMessage* message, const char* path, GHashTable*,
         gpointer data) {
        static_cast<CallerServer*>(data)->OnHeaders(message, path);
      },
      this, nullptr);
  soup_server_add_handler(
      server_.get(), nullptr,
      [](SoupServer*, SoupServerMessage* message, const char* path, GHashTable*,
         gpointer data) {
        static_cast<CallerServer*>(data)->OnRequest(message, path);
      },
      this, nullptr);
  return {};
}

void CallerServer::StopListening() {
  // Closes the listeners only; open messages go on.
  GSList* listeners = soup_server_get_listeners(server_.get());
  for (GSList* item = listeners; item != nullptr; item = item->next) {
    g_socket_close(G_SOCKET(item->data), nullptr);
  }
  g_slist_free(listeners);
}

void CallerServer::OnHeaders(SoupServerMessage* message, const char*) {
  const goffset length = soup_message_headers_get_content_length(
      soup_server_message_get_request_headers(message));
  if (length > static_cast<goffset>(limits_.max_body_bytes)) {
    RefuseAtOnce(message, Reason::kBodyTooLarge, "");
  }
}

void CallerServer::RefuseAtOnce(SoupServerMessage* message,
                                Reason reason,
                                const std::string& detail) {
  handlers_.on_refused(reason);
  SetJson(message, InfoOf(reason).http_status,
          RefusalBody(reason, Execution::kNotRun, detail, ""));
}

void CallerServer::OnRequest(SoupServerMessage* message, const char* path) {
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  if (body->length > static_cast<goffset>(limits_.max_body_bytes)) {
    RefuseAtOnce(message, Reason::kBodyTooLarge, "");
    return;
  }
  if (OpenCallFor(message, path)) {
    return;
  }
  const PageAnswer page = handlers_.page(path, BearerToken(message));
  soup_server_message_set_status(message, static_cast<guint>(page.http_status),
                                 nullptr);
  soup_server_message_set_response(message, page.content_type.c_str(),
                                   SOUP_MEMORY_COPY, page.body.data(),
                                   page.body.size());
}

bool CallerServer::OpenCallFor(SoupServerMessage* message,
                               const std::string& path) {
  const bool is_post =
      soup_server_message_get_method(message) == SOUP_METHOD_POST;
  const RequestId id = handlers_.next_request_id();
  if (!is_post && path.starts_with(kActionPrefix)) {
    OpenAndPost(message,
                ActionQuery{id, BearerToken(message),
                            IdempotencyKey(path.substr(kActionPrefix.size()))},
                id);
    return true;
  }
  if (!is_post || (path != kChatPath && !path.starts_with(kPipelinePrefix))) {
    return false;
  }
  CallerRequest request;
  request.id = id;
  if (path == kChatPath) {
    request.form = CallerForm::kChat;
  } else {
    request.form = CallerForm::kPipeline;
    request.pipeline = PipelineId(path.substr(kPipelinePrefix.size()));
  }
  request.token = BearerToken(message);
  request.deadline = Header(message, "X-Deadline-Ms");
  request.key = IdempotencyKey(Header(message, "Idempotency-Key"));
  const SoupMessageBody* body = soup_server_message_get_request_body(message);
  request.body.assign(body->data == nullptr ? "" : body->data,
                      static_cast<size_t>(body->length));
  OpenAndPost(message, std::move(request), id);
  return true;
}

void CallerServer::OpenAndPost(SoupServerMessage* message,
                               NodeEvent event,
                               RequestId id) {
  calls_[id] = std::make_unique<OpenCall>(*this, message, id);
  handlers_.on_event(std::move(event));
}

void CallerServer::OnGone(const RequestId& request) {
  if (calls_.erase(request) > 0) {
    handlers_.on_event(CallerGone{request});
  }
}

void CallerServer::Send(const CallerFragment& command) {
  const auto call = calls_.find(command.request);
  if (call != calls_.end()) {
    call->second->SendEvent(command.data);
  }
}

void CallerServer::Send(const CallerAnswer& command) {
  const auto call = calls_.find(command.request);
  if (call == calls_.end()) {
    return;
  }
  const std::unique_ptr<OpenCall> ending = std::move(call->second);
  calls_.erase(call);
  if (command.is_stream) {
    ending->SendEvent(command.body);
    ending->EndStream();
  } else {
    ending->SendWhole(SOUP_STATUS_OK, command.body);
  }
}

void CallerServer::Send(const CallerRefusal& command) {
  const auto call = calls_.find(command.request);
  if (call == calls_.end()) {
    return;
  }
  const std::unique_ptr<OpenCall> ending = std::move(call->second);
  calls_.erase(call);
  const std::string body = RefusalBody(command.reason, command.execution,
                                       command.message, command.field);
  if (command.is_stream) {
    ending->SendEvent(body);
    ending->EndStream();
  } else {
    ending->SendWhole(InfoOf(command.reason).http_status, body);
  }
}

}  // namespace peridotmill
