#include "peridotmill_http/client/http_client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_http/client/http_client.h"
#include "peridotmill_http/sockets/delete_later.h"

namespace peridotmill {
namespace {

// A server that announces no timeout for idle connections is assumed to keep
// them for at least this long.
constexpr Duration kDefaultIdleLimit = std::chrono::seconds(4);
// Announced timeouts are whole seconds, rounded either way by the server.
constexpr Duration kIdleSafetyMargin = std::chrono::milliseconds(1200);

// Interim answers and answers of other calls that one call may meet, and what
// their bodies may take; a server in trouble may send them without end.
constexpr int kMaxSkippedAnswers = 16;
constexpr uint64_t kMaxSkippedBytes = uint64_t{256} << 10;

HttpClientConnection* From(http_parser* parser) {
  return static_cast<HttpClientConnection*>(parser->data);
}

// Time for which the server keeps an idle connection.
Duration AnnouncedIdleLimit(const HeaderList& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto value = headers.Find("Keep-Alive");
  const size_t start = value ? value->find(kTimeout) : std::string_view::npos;
  if (start == std::string_view::npos) {
    return kDefaultIdleLimit;
  }
  const std::string_view digits = value->substr(start + kTimeout.size());
  int seconds = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc() || seconds < 0) {
    return Duration::zero();
  }
  constexpr int kMaxSeconds = 3600;
  return std::chrono::seconds(std::min(seconds, kMaxSeconds)) -
         kIdleSafetyMargin;
}

}  // namespace

HttpClientConnection::~HttpClientConnection() {
  StopTimer();
}

void HttpClientConnection::Begin(HttpCall call, HttpCallListener* listener) {
  call_ = std::move(call);
  listener_ = listener;
  head_ = HttpResponseHead();
  is_head_delivered_ = false;
  answer_bytes_ = 0;
  skipped_answers_ = 0;
  skipped_bytes_ = 0;
  StartParsing();
  if (socket_ != nullptr) {
    socket_->Write(EncodeRequest());
    call_.body = std::string();
    return;
  }
  auto socket = StreamSocket::Connect(call_.address, this);
  if (!socket) {
    timer_ = g_idle_add(OnConnectRefused, this);
    return;
  }
  socket_ = *std::move(socket);
  timer_ =
      g_timeout_add(static_cast<guint>(ToMilliseconds(call_.connect_timeout)),
                    OnConnectTimeout, this);
}

void HttpClientConnection::Cancel() {
  StopTimer();
  listener_ = nullptr;
  if (socket_ != nullptr) {
    socket_->Close();
  }
}

void HttpClientConnection::PauseReading() {
  if (socket_ != nullptr) {
    socket_->PauseReading();
  }
}

void HttpClientConnection::ResumeReading() {
  if (socket_ != nullptr) {
    socket_->ResumeReading();
  }
}

void HttpClientConnection::StopTimer() {
  if (timer_ != 0) {
    g_source_remove(timer_);
    timer_ = 0;
  }
}

gboolean HttpClientConnection::OnConnectTimeout(gpointer data) {
  auto* const self = static_cast<HttpClientConnection*>(data);
  self->timer_ = 0;
  self->Fail(HttpCallEnd::kNotSent);
  return G_SOURCE_REMOVE;
}

gboolean HttpClientConnection::OnConnectRefused(gpointer data) {
  return OnConnectTimeout(data);
}

std::string HttpClientConnection::EncodeRequest() const {
  std::string bytes;
  bytes.reserve(512 + call_.body.size());
  bytes += call_.method + ' ' + call_.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : call_.headers.fields()) {
    bytes += name;
    bytes += ": ";
    bytes += value;
    bytes += "\r\n";
  }
  if (call_.has_body) {
    bytes += "Content-Length: " + std::to_string(call_.body.size()) + "\r\n";
  }
  bytes += "\r\n";
  bytes += call_.body;
  return bytes;
}

void HttpClientConnection::OnSocketConnected() {
  StopTimer();
  socket_->Write(EncodeRequest());
  call_.body = std::string();
}

void HttpClientConnection::StartParsing() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  is_message_complete_ = false;
  is_skipped_ = false;
  is_unsized_ = false;
}

void HttpClientConnection::OnSocketData(std::string_view bytes) {
  if (listener_ == nullptr) {
    // Bytes that no call waits for.
    ++client_->counters_.surplus_bytes;
    Fail(HttpCallEnd::kTruncated);
    return;
  }
  while (!bytes.empty() && listener_ != nullptr) {
    const size_t parsed =
        http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (listener_ == nullptr) {
      return;
    }
    if (error != HPE_OK && error != HPE_PAUSED) {
      Fail(is_head_delivered_ ? HttpCallEnd::kTruncated
                              : HttpCallEnd::kNoAnswer);
      return;
    }
    bytes.remove_prefix(std::min(parsed, bytes.size()));
    if (!is_message_complete_) {
      continue;
    }
    if (is_skipped_) {
      head_ = HttpResponseHead();
      StartParsing();
      continue;
    }
    if (!bytes.empty()) {
      ++client_->counters_.surplus_bytes;
      socket_->Close();
    }
    FinishAnswer();
    return;
  }
}

void HttpClientConnection::FinishAnswer() {
  HttpCallListener* const listener = std::exchange(listener_, nullptr);
  const bool is_reusable = socket_->is_open() && socket_->unsent_bytes() == 0 &&
                           http_should_keep_alive(&parser_) != 0;
  idle_limit_ = AnnouncedIdleLimit(head_.headers);
  idle_since_ = client_->clock_.Now();
  if (is_reusable) {
    socket_->ResumeReading();
  } else {
    socket_->Close();
  }
  listener->OnCallEnd(HttpCallEnd::kComplete);
}

void HttpClientConnection::OnSocketEnd(SocketEnd end) {
  if (listener_ == nullptr) {
    Fail(HttpCallEnd::kTruncated);
    return;
  }
  if (end == SocketEnd::kConnectFailed) {
    Fail(HttpCallEnd::kNotSent);
    return;
  }
  // An answer without a length ends with an orderly close of its connection.
  if (is_head_delivered_ && is_unsized_ && end == SocketEnd::kOrderly) {
    HttpCallListener* const listener = std::exchange(listener_, nullptr);
    listener->OnCallEnd(HttpCallEnd::kComplete);
    return;
  }
  Fail(is_head_delivered_ ? HttpCallEnd::kTruncated : HttpCallEnd::kNoAnswer);
}

void HttpClientConnection::Fail(HttpCallEnd end) {
  StopTimer();
  if (socket_ != nullptr) {
    socket_->Close();
  }
  HttpCallListener* const listener = std::exchange(listener_, nullptr);
  if (listener != nullptr) {
    listener->OnCallEnd(end);
  } else {
    client_->Drop(this);
  }
}

const http_parser_settings& HttpClientConnection::Callbacks() {
  static const http_parser_settings parser_callbacks = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_status = OnStatus;
    callbacks.on_header_field = OnField;
    callbacks.on_header_value = OnValue;
    callbacks.on_headers_complete = OnHeadersComplete;
    callbacks.on_body = OnBody;
    callbacks.on_message_complete = OnMessageComplete;
    return callbacks;
  }();
  return parser_callbacks;
}

int HttpClientConnection::OnStatus(http_parser* parser,
                                   const char* data,
                                   size_t size) {
  From(parser)->head_.reason.append(data, size);
  return 0;
}

int HttpClientConnection::OnField(http_parser* parser,
                                  const char* data,
                                  size_t size) {
  auto* const self = From(parser);
  if (self->is_in_value_) {
    self->FinishField();
  }
  self->field_name_.append(data, size);
  return 0;
}

int HttpClientConnection::OnValue(http_parser* parser,
                                  const char* data,
                                  size_t size) {
  auto* const self = From(parser);
  self->is_in_value_ = true;
  self->field_value_.append(data, size);
  return 0;
}

void HttpClientConnection::FinishField() {
  if (is_in_value_) {
    head_.headers.Add(std::move(field_name_), std::move(field_value_));
  }
  field_name_.clear();
  field_value_.clear();
  is_in_value_ = false;
}

int HttpClientConnection::OnHeadersComplete(http_parser* parser) {
  // Value that tells the parser that the answer has no body.
  constexpr int kNoBody = 1;
  auto* const self = From(parser);
  self->FinishField();
  parser->upgrade = 0;
  self->head_.status = parser->status_code;
  const bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  const bool is_chunked = (parser->flags & F_CHUNKED) != 0;
  if (has_length) {
    self->head_.content_length = parser->content_length;
  }
  const bool is_interim = parser->status_code < 200;
  self->is_skipped_ = is_interim || !self->listener_->OnCallHead(self->head_);
  if (self->listener_ == nullptr) {
    return -1;
  }
  if (self->is_skipped_ && ++self->skipped_answers_ > kMaxSkippedAnswers) {
    return -1;
  }
  if (is_interim || parser->status_code == 204 || parser->status_code == 304 ||
      self->call_.method == "HEAD") {
    return kNoBody;
  }
  if (self->is_skipped_) {
    ++self->client_->counters_.mismatched_responses;
    return 0;
  }
  self->is_head_delivered_ = true;
  self->is_unsized_ = !has_length && !is_chunked;
  return 0;
}

int HttpClientConnection::OnBody(http_parser* parser,
                                 const char* data,
                                 size_t size) {
  auto* const self = From(parser);
  if (self->is_skipped_) {
    self->skipped_bytes_ += size;
    return self->skipped_bytes_ > kMaxSkippedBytes ? -1 : 0;
  }
  self->answer_bytes_ += size;
  const size_t limit = self->call_.max_answer_bytes;
  if (limit > 0 && self->answer_bytes_ > limit) {
    return -1;
  }
  self->listener_->OnCallBody({data, size});
  return self->listener_ == nullptr ? -1 : 0;
}

int HttpClientConnection::OnMessageComplete(http_parser* parser) {
  auto* const self = From(parser);
  self->is_message_complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace peridotmill
