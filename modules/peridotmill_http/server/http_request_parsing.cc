// The part of HttpServerConnection that parses requests and charges their
// memory.

#include <algorithm>
#include <memory>
#include <utility>

#include "peridotmill_http/server/http_server.h"
#include "peridotmill_http/server/http_server_connection.h"

namespace peridotmill {
namespace {

// Maximum number of fields in the head of a request. Each takes far more memory
// than its bytes, so that the limit on the size of a head is not enough.
constexpr size_t kMaxRequestFields = 512;

// Memory of an open request without its body and the fields of its head.
constexpr size_t kOpenRequestBytes = 8192;
// The fields of a head are held by the request and by the call to an endpoint,
// and take about twice their bytes each time.
constexpr size_t kHeadCopies = 4;
// Capacity of a body beyond its size counts up to this many bytes. Larger
// blocks come from the system, which provides pages only as they are written.
constexpr size_t kSpareBytes = 65536;
// A body of unknown length that has exceeded this size gets a large block, and
// one many times as large if that is not enough, so that it is seldom copied.
constexpr size_t kUnknownLengthBytes = 16384;
constexpr size_t kMinLargeCapacity = size_t{256} << 10;
constexpr size_t kCapacityGrowth = 8;
// A received body with its charge, which ends when the last user of the body
// releases it.
struct ChargedBody {
  std::string bytes;
  MemoryCharge charge;
};

HttpServerConnection* GetConnection(http_parser* parser) {
  return static_cast<HttpServerConnection*>(parser->data);
}

}  // namespace

std::optional<size_t> HttpServerConnection::ParseRequest(
    std::string_view bytes) {
  static const http_parser_settings parser_callbacks = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = OnUrl;
    callbacks.on_header_field = OnHeaderField;
    callbacks.on_header_value = OnHeaderValue;
    callbacks.on_headers_complete = OnHeadersComplete;
    callbacks.on_body = OnBody;
    callbacks.on_message_complete = OnMessageComplete;
    return callbacks;
  }();
  const size_t parsed = http_parser_execute(&parser_, &parser_callbacks,
                                            bytes.data(), bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (is_body_too_large_) {
    ++server_->counters_.body_too_large;
    Reject(413, "the request body is too large");
    return std::nullopt;
  }
  if (is_refused_for_memory_) {
    RefuseForMemory();
    return std::nullopt;
  }
  if (has_too_many_fields_) {
    ++server_->counters_.head_too_large;
    Reject(431, "the request head has too many fields");
    return std::nullopt;
  }
  if (error != HPE_OK && error != HPE_PAUSED) {
    ++server_->counters_.malformed;
    Reject(400, http_errno_description(error));
    return std::nullopt;
  }
  return parsed;
}

bool HttpServerConnection::ReserveForHead() {
  if (!server_->MakeRoomForCall() ||
      !server_->Reserve(this, request_charge_,
                        kOpenRequestBytes + kHeadCopies * head_bytes_)) {
    return false;
  }
  ++server_->open_requests_;
  is_counted_ = true;
  return true;
}

bool HttpServerConnection::ReserveForBody(size_t size) {
  return size <= body_charge_.bytes() ||
         server_->Reserve(this, body_charge_, size);
}

MessageBody HttpServerConnection::TakeBody() {
  if (body_.empty()) {
    body_charge_.Set(0);
    return MessageBody();
  }
  body_charge_.Set(body_.size() +
                   std::min(body_.capacity() - body_.size(), kSpareBytes));
  const auto body = std::make_shared<ChargedBody>(
      ChargedBody{.bytes = std::exchange(body_, std::string()),
                  .charge = std::move(body_charge_)});
  return MessageBody(std::shared_ptr<const std::string>(body, &body->bytes));
}

int HttpServerConnection::OnUrl(http_parser* parser,
                                const char* data,
                                size_t size) {
  GetConnection(parser)->request_.target.append(data, size);
  return 0;
}

int HttpServerConnection::OnHeaderField(http_parser* parser,
                                        const char* data,
                                        size_t size) {
  auto* const self = GetConnection(parser);
  if (self->is_in_header_value_) {
    self->FinishHeader();
  }
  self->header_name_.append(data, size);
  self->has_too_many_fields_ =
      self->request_.headers.fields().size() >= kMaxRequestFields;
  return self->has_too_many_fields_ ? -1 : 0;
}

int HttpServerConnection::OnHeaderValue(http_parser* parser,
                                        const char* data,
                                        size_t size) {
  auto* const self = GetConnection(parser);
  self->is_in_header_value_ = true;
  self->header_value_.append(data, size);
  return 0;
}

void HttpServerConnection::FinishHeader() {
  if (is_in_header_value_) {
    request_.headers.Add(std::move(header_name_), std::move(header_value_));
  }
  header_name_.clear();
  header_value_.clear();
  is_in_header_value_ = false;
}

int HttpServerConnection::OnHeadersComplete(http_parser* parser) {
  auto* const self = GetConnection(parser);
  self->FinishHeader();
  self->request_.method =
      http_method_str(static_cast<http_method>(parser->method));
  self->is_http_1_0_ = parser->http_major == 1 && parser->http_minor == 0;
  // Protocol upgrades are not supported, so a request for one is ignored.
  parser->upgrade = 0;
  const bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  if (has_length &&
      parser->content_length > self->server_->settings_.limits.max_body_bytes) {
    self->is_body_too_large_ = true;
    return -1;
  }
  if (!self->ReserveForHead() ||
      (has_length && !self->ReserveForBody(parser->content_length))) {
    self->server_->CountRefusal(&MemoryCounters::refused_new);
    self->is_refused_for_memory_ = true;
    return -1;
  }
  if (has_length) {
    self->body_.reserve(parser->content_length);
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
  auto* const self = GetConnection(parser);
  const size_t limit = self->server_->settings_.limits.max_body_bytes;
  const size_t new_size = self->body_.size() + size;
  if (new_size > limit) {
    self->is_body_too_large_ = true;
    return -1;
  }
  const size_t step =
      new_size <= kUnknownLengthBytes ? kUnknownLengthBytes : kSpareBytes;
  if (new_size > self->body_charge_.bytes() &&
      !self->ReserveForBody(std::min(new_size + step, limit))) {
    self->server_->CountRefusal(&MemoryCounters::refused_unfinished);
    self->is_refused_for_memory_ = true;
    return -1;
  }
  if (new_size > self->body_.capacity() && new_size > kUnknownLengthBytes) {
    self->body_.reserve(std::min(
        std::max(new_size * kCapacityGrowth, kMinLargeCapacity), limit));
  }
  self->body_.append(data, size);
  return 0;
}

int HttpServerConnection::OnMessageComplete(http_parser* parser) {
  auto* const self = GetConnection(parser);
  // Trailer fields are discarded.
  self->header_name_.clear();
  self->header_value_.clear();
  self->is_in_header_value_ = false;
  self->is_message_complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace peridotmill
