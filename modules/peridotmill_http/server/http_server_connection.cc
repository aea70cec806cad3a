#include "peridotmill_http/server/http_server_connection.h"

#include <algorithm>
#include <utility>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_http/server/http_server.h"
#include "peridotmill_http/server/request_head_check.h"

namespace peridotmill {
namespace {

// A caller that sends further requests before it has its answer is read no
// further beyond this many bytes.
constexpr size_t kMaxPipelinedBytes = 32768;
// A body that comes more slowly than this on average, after the time for which
// a caller may be idle, is given up: bytes that come now and then would hold
// the connection for good.
constexpr double kLeastBodyBytesPerMs = 1;

bool HasBareLineFeed(std::string_view text) {
  for (size_t at = text.find('\n'); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at == 0 || text[at - 1] != '\r') {
      return true;
    }
  }
  return false;
}

HttpServerConnection* From(http_parser* parser) {
  return static_cast<HttpServerConnection*>(parser->data);
}

}  // namespace

HttpServerConnection::HttpServerConnection(HttpServer* server, int descriptor)
    : server_(server),
      socket_(StreamSocket::Accepted(descriptor, this)),
      waiting_since_(server->clock_.Now()) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
}

HttpServerConnection::~HttpServerConnection() = default;

void HttpServerConnection::End() {
  socket_->Close();
  if (exchange_ != nullptr) {
    exchange_->Detach();
    auto exchange = std::move(exchange_);
    if (state_ == State::kAnswering && exchange->on_caller_gone_) {
      exchange->on_caller_gone_();
    }
  }
  server_->Release(this);
}

void HttpServerConnection::CheckTimeout(TimePoint now) {
  const HttpLimits& limits = server_->settings_.limits;
  const bool is_in_head = state_ == State::kHead && !received_.empty();
  const Duration limit = is_in_head ? limits.head_timeout : limits.idle_timeout;
  const bool is_too_slow =
      state_ == State::kBody &&
      now - body_since_ >
          limits.idle_timeout +
              FromMilliseconds(static_cast<double>(request_.body.size()) /
                               kLeastBodyBytesPerMs);
  if (state_ == State::kAnswering ||
      (now - waiting_since_ < limit && !is_too_slow)) {
    return;
  }
  if (is_in_head || state_ == State::kBody) {
    ++server_->counters_.timed_out;
    Reject(408, "the request was not sent in time");
    return;
  }
  End();
}

void HttpServerConnection::OnSocketData(std::string_view bytes) {
  if (state_ == State::kClosing) {
    return;
  }
  if (state_ != State::kHead || received_.empty()) {
    waiting_since_ = server_->clock_.Now();
  }
  received_.append(bytes);
  if (state_ == State::kAnswering) {
    if (received_.size() > kMaxPipelinedBytes) {
      socket_->PauseReading();
    }
    return;
  }
  ReadRequests();
}

void HttpServerConnection::OnSocketDrained() {
  if (state_ == State::kClosing) {
    End();
  } else if (state_ == State::kAnswering && exchange_->on_drained_) {
    // Keeps the exchange alive while its handler may end the answer.
    const std::shared_ptr<HttpExchange> exchange = exchange_;
    exchange->on_drained_();
  }
}

void HttpServerConnection::OnSocketEnd(SocketEnd) {
  End();
}

void HttpServerConnection::ReadRequests() {
  if (state_ == State::kHead && !ReadHead()) {
    return;
  }
  if (state_ == State::kBody) {
    ReadBody();
  }
}

bool HttpServerConnection::ReadHead() {
  // RFC 9112, section 2.2: empty lines before a request line are ignored.
  size_t start = 0;
  while (received_.compare(start, 2, "\r\n") == 0) {
    start += 2;
  }
  received_.erase(0, start);
  const size_t limit = server_->settings_.limits.max_head_bytes;
  const size_t end = received_.find("\r\n\r\n");
  const size_t head_size =
      end == std::string::npos ? received_.size() : end + 4;
  if (head_size > limit) {
    ++server_->counters_.head_too_large;
    Reject(431, "the request head is too large");
    return false;
  }
  if (end == std::string::npos) {
    // Bytes that cannot become a head are refused without waiting for more.
    if (HasBareLineFeed(received_)) {
      ++server_->counters_.malformed;
      Reject(400, "line that does not end with CR LF");
    }
    return false;
  }
  const std::string_view head(received_.data(), head_size);
  if (const auto fault = FindHeadFault(head)) {
    ++server_->counters_.malformed;
    Reject(400, *fault);
    return false;
  }
  request_ = HttpRequest();
  is_message_complete_ = false;
  is_body_too_large_ = false;
  state_ = State::kBody;
  waiting_since_ = server_->clock_.Now();
  body_since_ = waiting_since_;
  return true;
}

void HttpServerConnection::ReadBody() {
  static const http_parser_settings parser_callbacks = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = OnUrl;
    callbacks.on_header_field = OnField;
    callbacks.on_header_value = OnValue;
    callbacks.on_headers_complete = OnHeadersComplete;
    callbacks.on_body = OnBody;
    callbacks.on_message_complete = OnMessageComplete;
    return callbacks;
  }();
  const size_t parsed = http_parser_execute(&parser_, &parser_callbacks,
                                            received_.data(), received_.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (is_body_too_large_) {
    ++server_->counters_.body_too_large;
    Reject(413, "the request body is too large");
    return;
  }
  if (error != HPE_OK && error != HPE_PAUSED) {
    ++server_->counters_.malformed;
    Reject(400, http_errno_description(error));
    return;
  }
  received_.erase(0, parsed);
  if (is_message_complete_) {
    HandOver();
  }
}

void HttpServerConnection::HandOver() {
  keeps_alive_ = http_should_keep_alive(&parser_) != 0;
  http_parser_pause(&parser_, 0);
  state_ = State::kAnswering;
  exchange_ = std::make_shared<HttpExchange>(this, std::move(request_));
  request_ = HttpRequest();
  // Keeps the exchange alive while the handler answers at once.
  const std::shared_ptr<HttpExchange> exchange = exchange_;
  server_->handler_(exchange);
}

void HttpServerConnection::Reject(int status, std::string_view message) {
  keeps_alive_ = false;
  state_ = State::kAnswering;
  auto exchange = std::make_shared<HttpExchange>(this, HttpRequest());
  exchange_ = exchange;
  HttpResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "application/json");
  std::string body = R"({"error":{"message":")";
  body += message;
  body += R"(","execution":"not_run"}})";
  SendComplete(*exchange, head, body);
}

void HttpServerConnection::SendHead(const HttpResponseHead& head,
                                    bool& is_chunked) {
  keeps_alive_ = keeps_alive_ && server_->keeps_connections_;
  std::string bytes =
      "HTTP/1.1 " + std::to_string(head.status) + ' ' +
      (head.reason.empty() ? ReasonPhrase(head.status) : head.reason) + "\r\n";
  for (const auto& [name, value] : head.headers.fields()) {
    bytes += name;
    bytes += ": ";
    bytes += value;
    bytes += "\r\n";
  }
  if (head.content_length) {
    bytes += "Content-Length: " + std::to_string(*head.content_length) + "\r\n";
  } else if (!is_http_1_0_) {
    is_chunked = true;
    bytes += "Transfer-Encoding: chunked\r\n";
  } else {
    keeps_alive_ = false;
  }
  if (!keeps_alive_) {
    bytes += "Connection: close\r\n";
  }
  bytes += "\r\n";
  socket_->Write(bytes);
}

void HttpServerConnection::FinishAnswer() {
  exchange_->Detach();
  exchange_.reset();
  waiting_since_ = server_->clock_.Now();
  if (!keeps_alive_) {
    state_ = State::kClosing;
    if (socket_->unsent_bytes() == 0) {
      End();
    }
    return;
  }
  state_ = State::kHead;
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  socket_->ResumeReading();
  if (!received_.empty()) {
    ReadRequests();
  }
}

void HttpServerConnection::AbortAnswer() {
  state_ = State::kClosing;
  socket_->Abort();
  End();
}

int HttpServerConnection::OnUrl(http_parser* parser,
                                const char* data,
                                size_t size) {
  From(parser)->request_.target.append(data, size);
  return 0;
}

int HttpServerConnection::OnField(http_parser* parser,
                                  const char* data,
                                  size_t size) {
  auto* const self = From(parser);
  if (self->is_in_value_) {
    self->FinishField();
  }
  self->field_name_.append(data, size);
  return 0;
}

int HttpServerConnection::OnValue(http_parser* parser,
                                  const char* data,
                                  size_t size) {
  auto* const self = From(parser);
  self->is_in_value_ = true;
  self->field_value_.append(data, size);
  return 0;
}

void HttpServerConnection::FinishField() {
  if (is_in_value_) {
    request_.headers.Add(std::move(field_name_), std::move(field_value_));
  }
  field_name_.clear();
  field_value_.clear();
  is_in_value_ = false;
}

int HttpServerConnection::OnHeadersComplete(http_parser* parser) {
  auto* const self = From(parser);
  self->FinishField();
  self->request_.method =
      http_method_str(static_cast<http_method>(parser->method));
  self->is_http_1_0_ = parser->http_major == 1 && parser->http_minor == 0;
  // A connection is never handed over to another protocol.
  parser->upgrade = 0;
  const bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  if (has_length &&
      parser->content_length > self->server_->settings_.limits.max_body_bytes) {
    self->is_body_too_large_ = true;
    return -1;
  }
  if (has_length) {
    self->request_.body.reserve(parser->content_length);
  }
  if (self->request_.headers.HasToken("Expect", "100-continue")) {
    self->request_.headers.Remove("Expect");
    self->Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return 0;
}

int HttpServerConnection::OnBody(http_parser* parser,
                                 const char* data,
                                 size_t size) {
  auto* const self = From(parser);
  self->request_.body.append(data, size);
  if (self->request_.body.size() >
      self->server_->settings_.limits.max_body_bytes) {
    self->is_body_too_large_ = true;
    return -1;
  }
  return 0;
}

int HttpServerConnection::OnMessageComplete(http_parser* parser) {
  auto* const self = From(parser);
  // Trailer fields are dropped with the framing.
  self->field_name_.clear();
  self->field_value_.clear();
  self->is_in_value_ = false;
  self->is_message_complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace peridotmill
