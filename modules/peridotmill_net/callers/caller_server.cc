#include "peridotmill_net/callers/caller_server.h"

#include <optional>
#include <utility>

#include "peridotmill_net/callers/open_call.h"

namespace peridotmill {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kPipelinePrefix = "/v1/pipelines/";
constexpr std::string_view kActionPrefix = "/v1/actions/";
constexpr std::string_view kBearer = "Bearer ";

constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kRequestTimeout = 408;
constexpr int kHeadersTooLarge = 431;

std::string Header(SoupServerMessage* message, const char* name) {
  return TextOf(soup_message_headers_get_one(
      soup_server_message_get_request_headers(message), name));
}

std::string BearerToken(SoupServerMessage* message) {
  const std::string value = Header(message, "Authorization");
  return value.starts_with(kBearer) ? value.substr(kBearer.size())
                                    : std::string();
}

// Names and values together.
size_t HeaderBytes(SoupServerMessage* message) {
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(
      &iterator, soup_server_message_get_request_headers(message));
  const char* name = nullptr;
  const char* value = nullptr;
  size_t bytes = 0;
  while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
    bytes += std::string_view(name).size() + std::string_view(value).size();
  }
  return bytes;
}

void SetAnswer(SoupServerMessage* message,
               int status,
               const std::string& content_type,
               const std::string& body) {
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, content_type.c_str(),
                                   SOUP_MEMORY_COPY, body.data(), body.size());
}

// A negative or non-numeric length would leave the end of the body open.
bool IsContentLengthSound(SoupMessageHeaders* headers) {
  const char* length = soup_message_headers_get_one(headers, "Content-Length");
  return length == nullptr ||
         (*length != '\0' && std::string_view(length).find_first_not_of(
                                 "0123456789") == std::string_view::npos);
}

}  // namespace

CallerServer::CallerServer(CallerLimits limits, CallerServerHandlers handlers)
    : limits_(limits),
      handlers_(std::move(handlers)),
      server_(soup_server_new("server-header", "peridotmill", nullptr)) {}

Result<std::unique_ptr<CallerServer>> CallerServer::Create(
    const std::string& address,
    CallerLimits limits,
    CallerServerHandlers handlers,
    GTlsCertificate* certificate) {
  std::unique_ptr<CallerServer> server(
      new CallerServer(limits, std::move(handlers)));
  CallerListener::Handlers listening;
  listening.on_slow_request = [self =
                                   server.get()](CallerConnection& connection) {
    connection.Refuse(kRequestTimeout,
                      self->CountedRefusal(
                          Reason::kBadRequest,
                          "the request did not arrive within the time limit"));
  };
  listening.refuse_connection = [self = server.get()] {
    return self->CountedRefusal(Reason::kQueueFull, "too many connections");
  };
  auto listener =
      CallerListener::Create(address, server->limits_, server->server_.get(),
                             certificate, std::move(listening));
  if (!listener) {
    return tl::unexpected(listener.error());
  }
  server->listener_ = *std::move(listener);
  server->ConnectSignals();
  return server;
}

CallerServer::~CallerServer() {
  g_signal_handlers_disconnect_by_data(server_.get(), this);
  calls_.clear();
}

void CallerServer::ConnectSignals() {
  g_signal_connect(
      server_.get(), "request-started",
      G_CALLBACK(+[](SoupServer*, SoupServerMessage* message, gpointer data) {
        static_cast<CallerServer*>(data)->OnStarted(message);
      }),
      this);
  soup_server_add_handler(
      server_.get(), nullptr,
      [](SoupServer*, SoupServerMessage* message, const char* path, GHashTable*,
         gpointer data) {
        static_cast<CallerServer*>(data)->OnRequest(message, path);
      },
      this, nullptr);
}

void CallerServer::StopListening() {
  is_stopping_ = true;
  listener_->Stop();
}

bool CallerServer::has_open_calls() const {
  return !calls_.empty() || listener_->is_answering();
}

void CallerServer::OnStarted(SoupServerMessage* message) {
  // The body is collected here: libsoup would buffer one of any size.
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(message), FALSE);
  g_signal_connect(message, "got-headers",
                   G_CALLBACK(+[](SoupServerMessage* started, gpointer data) {
                     static_cast<CallerServer*>(data)->OnHead(started);
                   }),
                   this);
  g_signal_connect(
      message, "got-chunk",
      G_CALLBACK(+[](SoupServerMessage* started, GBytes* chunk, gpointer data) {
        static_cast<CallerServer*>(data)->OnChunk(started, ViewOf(chunk));
      }),
      this);
  g_signal_connect(
      message, "wrote-body-data",
      G_CALLBACK(+[](SoupServerMessage* started, guint size, gpointer data) {
        auto* self = static_cast<CallerServer*>(data);
        if (CallerConnection* connection = self->listener_->Find(started)) {
          connection->OnWritten(size);
        }
      }),
      this);
  g_signal_connect(
      message, "finished",
      G_CALLBACK(+[](SoupServerMessage* started, gpointer data) {
        auto* self = static_cast<CallerServer*>(data);
        if (CallerConnection* connection = self->listener_->Find(started)) {
          connection->OnAnswered();
        }
      }),
      this);
}

void CallerServer::OnHead(SoupServerMessage* message) {
  CallerConnection* connection = listener_->Find(message);
  if (connection == nullptr) {
    return;
  }
  connection->OnHead();
  if (soup_server_message_is_options_ping(message) != FALSE) {
    // libsoup answers "OPTIONS *" itself, without a body.
    connection->Refuse(kNotFound,
                       CountedRefusal(Reason::kBadRequest, "no such path"));
    return;
  }
  if (HeaderBytes(message) > limits_.max_header_bytes) {
    connection->Refuse(
        kHeadersTooLarge,
        CountedRefusal(Reason::kBadRequest, "the headers exceed the limit"));
    return;
  }
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  if (!IsContentLengthSound(headers)) {
    connection->Refuse(GetReasonInfo(Reason::kBadRequest).http_status,
                       CountedRefusal(Reason::kBadRequest,
                                      "the Content-Length is not a number"));
    return;
  }
  const goffset length = soup_message_headers_get_content_length(headers);
  if (length > static_cast<goffset>(limits_.max_body_bytes)) {
    connection->Refuse(GetReasonInfo(Reason::kBodyTooLarge).http_status,
                       CountedRefusal(Reason::kBodyTooLarge, ""));
  }
}

void CallerServer::OnChunk(SoupServerMessage* message, std::string_view bytes) {
  CallerConnection* connection = listener_->Find(message);
  if (connection != nullptr && !connection->AddToBody(bytes)) {
    connection->Refuse(GetReasonInfo(Reason::kBodyTooLarge).http_status,
                       CountedRefusal(Reason::kBodyTooLarge, ""));
  }
}

std::string CallerServer::CountedRefusal(Reason reason,
                                         const std::string& detail) const {
  handlers_.on_refused(reason);
  return RefusalBody(reason, Execution::kNotRun, detail, "");
}

void CallerServer::PrepareAnswer(SoupServerMessage* message) const {
  if (is_stopping_) {
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "Connection",
        "close");
  }
}

bool CallerServer::AddUnsent(SoupServerMessage* message, size_t bytes) const {
  CallerConnection* connection = listener_->Find(message);
  return connection != nullptr && connection->AddUnsent(bytes);
}

void CallerServer::OnRequest(SoupServerMessage* message, const char* path) {
  CallerConnection* connection = listener_->Find(message);
  std::string body;
  if (connection != nullptr) {
    body = connection->TakeBody();
  }
  if (connection == nullptr || connection->is_refused()) {
    soup_server_message_set_status(message, kRequestTimeout, nullptr);
    return;
  }
  if (!OpenCallFor(message, path, body)) {
    AnswerPage(message, path);
  }
}

void CallerServer::RefuseMethod(SoupServerMessage* message,
                                const char* allowed) {
  soup_message_headers_replace(
      soup_server_message_get_response_headers(message), "Allow", allowed);
  PrepareAnswer(message);
  SetAnswer(message, kMethodNotAllowed, "application/json",
            CountedRefusal(Reason::kBadRequest,
                           "the path does not support this method"));
}

void CallerServer::AnswerPage(SoupServerMessage* message,
                              const std::string& path) {
  const std::string_view method = soup_server_message_get_method(message);
  const PageAnswer page = handlers_.page(path, BearerToken(message));
  if (page.http_status != kNotFound && method != "GET" && method != "HEAD") {
    RefuseMethod(message, "GET, HEAD");
    return;
  }
  PrepareAnswer(message);
  AddUnsent(message, page.body.size());
  SetAnswer(message, page.http_status, page.content_type, page.body);
}

bool CallerServer::OpenCallFor(SoupServerMessage* message,
                               const std::string& path,
                               std::string& body) {
  const std::string_view method = soup_server_message_get_method(message);
  const bool is_chat = path == kChatPath;
  if (path.starts_with(kActionPrefix)) {
    if (method != "GET") {
      RefuseMethod(message, "GET");
      return true;
    }
    const RequestId id = handlers_.next_request_id();
    OpenAndPost(message,
                ActionQuery{id, BearerToken(message),
                            IdempotencyKey(path.substr(kActionPrefix.size()))},
                id);
    return true;
  }
  if (!is_chat && !path.starts_with(kPipelinePrefix)) {
    return false;
  }
  if (method != "POST") {
    RefuseMethod(message, "POST");
    return true;
  }
  CallerRequest request;
  request.id = handlers_.next_request_id();
  if (is_chat) {
    request.form = CallerForm::kChat;
  } else {
    request.form = CallerForm::kPipeline;
    request.pipeline = PipelineId(path.substr(kPipelinePrefix.size()));
  }
  request.token = BearerToken(message);
  request.deadline = Header(message, "X-Deadline-Ms");
  request.key = IdempotencyKey(Header(message, "Idempotency-Key"));
  request.body = std::move(body);
  const RequestId id = request.id;
  OpenAndPost(message, std::move(request), id);
  return true;
}

void CallerServer::OpenAndPost(SoupServerMessage* message,
                               NodeEvent event,
                               const RequestId& id) {
  calls_[id] = std::make_unique<OpenCall>(*this, message, id);
  handlers_.on_event(std::move(event));
}

void CallerServer::OnGone(const RequestId& request) {
  const auto call = calls_.find(request);
  if (call == calls_.end()) {
    return;
  }
  const std::unique_ptr<OpenCall> ending = std::move(call->second);
  calls_.erase(call);
  ending->Abort();
  handlers_.on_event(CallerGone{request});
}

void CallerServer::Send(const CallerFragment& command) {
  const auto call = calls_.find(command.request);
  if (call != calls_.end() && !call->second->SendEvent(command.data)) {
    OnGone(command.request);
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
    ending->SendWhole(GetReasonInfo(command.reason).http_status, body);
  }
}

}  // namespace peridotmill
