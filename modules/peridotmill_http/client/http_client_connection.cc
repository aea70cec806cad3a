#include "peridotmill_http/client/http_client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "peridotmill_core/http/head_encoder.h"
#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_http/client/http_client.h"
#include "peridotmill_http/sockets/delete_later.h"

namespace peridotmill {
namespace {

// Idle timeout assumed for a server that announces none.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(4);
// Subtracted from a timeout that the server announces, since servers round it
// up or down to whole seconds.
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(1200);

// Range of the status codes of HTTP (RFC 9110, section 15).
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

// A body of at most this size is sent with the head in one system call.
constexpr size_t kMaxJoinedBodyBytes = 16384;

// Limits for one call on the number of skipped responses (interim ones and
// those of other calls) and on the total size of their bodies. Without them, a
// faulty server could send such responses endlessly.
constexpr int kMaxSkippedResponses = 16;
constexpr uint64_t kMaxSkippedBodyBytes = uint64_t{256} << 10;

// Maximum number of fields in the head of a response. Each takes far more
// memory than its bytes, so that the parser's limit on the size of a head is
// not enough.
constexpr size_t kMaxResponseFields = 512;

HttpClientConnection* ConnectionOf(http_parser* parser) {
  return static_cast<HttpClientConnection*>(parser->data);
}

// Returns whether the parser reads fields that follow the body, which are
// discarded.
bool IsInTrailer(const http_parser& parser) {
  return (parser.flags & F_TRAILING) != 0;
}

// Returns whether the body has a transfer coding other than chunked, so that
// its bytes and its end are not known.
bool HasUnknownTransferCoding(const HeaderList& headers) {
  constexpr char kTransferEncoding[] = "Transfer-Encoding";
  const auto coding = headers.Find(kTransferEncoding);
  return coding && (headers.Count(kTransferEncoding) != 1 ||
                    !EqualsIgnoringCase(*coding, "chunked"));
}

// Returns for how long an idle connection may be reused: the timeout that the
// server announces in `headers` less a margin, or the default.
Duration UsableIdleTime(const HeaderList& headers) {
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const auto value = headers.Find("Keep-Alive");
  const size_t start =
      value ? value->find(kTimeoutParameter) : std::string_view::npos;
  if (start == std::string_view::npos) {
    return kDefaultIdleTimeout;
  }
  const std::string_view digits =
      value->substr(start + kTimeoutParameter.size());
  int seconds = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc() || seconds < 0) {
    return Duration::zero();
  }
  constexpr int kMaxIdleTimeoutSeconds = 3600;
  return std::chrono::seconds(std::min(seconds, kMaxIdleTimeoutSeconds)) -
         kIdleTimeoutMargin;
}

}  // namespace

HttpClientConnection::HttpClientConnection(HttpClient* client)
    : client_(client) {
  ++client_->connection_count_;
}

HttpClientConnection::~HttpClientConnection() {
  --client_->connection_count_;
  StopConnectTimer();
}

void HttpClientConnection::Begin(HttpCall call, HttpCallListener* listener) {
  call_ = std::move(call);
  listener_ = listener;
  head_ = HttpResponseHead();
  is_head_delivered_ = false;
  response_body_bytes_ = 0;
  skipped_responses_ = 0;
  skipped_body_bytes_ = 0;
  StartParsing();
  auto head = EncodeHead();
  if (!head) {
    call_.body = MessageBody();
    ++client_->counters_.calls_not_encodable;
    connect_timer_ = g_idle_add(OnConnectNotStarted, this);
    return;
  }
  if (socket_ != nullptr) {
    SendRequest(*std::move(head));
    return;
  }
  request_head_ = *std::move(head);
  auto socket = StreamSocket::Connect(call_.address, this);
  if (!socket) {
    connect_timer_ = g_idle_add(OnConnectNotStarted, this);
    return;
  }
  socket_ = *std::move(socket);
  connect_timer_ =
      g_timeout_add(static_cast<guint>(ToMilliseconds(call_.connect_timeout)),
                    OnConnectTimeout, this);
}

void HttpClientConnection::Cancel() {
  StopConnectTimer();
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

void HttpClientConnection::StopConnectTimer() {
  if (connect_timer_ != 0) {
    g_source_remove(connect_timer_);
    connect_timer_ = 0;
  }
}

gboolean HttpClientConnection::OnConnectTimeout(gpointer data) {
  auto* const self = static_cast<HttpClientConnection*>(data);
  self->connect_timer_ = 0;
  self->Fail(HttpCallEnd::kNotSent);
  return G_SOURCE_REMOVE;
}

gboolean HttpClientConnection::OnConnectNotStarted(gpointer data) {
  return OnConnectTimeout(data);
}

Result<std::string> HttpClientConnection::EncodeHead() const {
  auto bytes = EncodeRequestHead(call_.method, call_.target, call_.headers);
  if (!bytes) {
    return bytes;
  }
  if (call_.has_body) {
    bytes->append("Content-Length: ")
        .append(std::to_string(call_.body.size()))
        .append("\r\n");
  }
  bytes->append("\r\n");
  return bytes;
}

void HttpClientConnection::SendRequest(std::string head) {
  const MessageBody body = std::exchange(call_.body, MessageBody());
  if (body.size() <= kMaxJoinedBodyBytes) {
    head.append(body.bytes());
    socket_->Write(head);
    return;
  }
  socket_->Write(head);
  socket_->Write(body);
}

void HttpClientConnection::OnSocketConnected() {
  StopConnectTimer();
  SendRequest(std::exchange(request_head_, std::string()));
}

void HttpClientConnection::StartParsing() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  // Trailer fields of the previous response may be left.
  header_name_.clear();
  header_value_.clear();
  is_in_header_value_ = false;
  is_message_complete_ = false;
  is_skipped_ = false;
  ends_at_close_ = false;
}

void HttpClientConnection::OnSocketData(std::string_view bytes) {
  if (listener_ == nullptr) {
    // Bytes arrived on an idle connection.
    ++client_->counters_.connections_closed_for_surplus_bytes;
    Fail(HttpCallEnd::kTruncated);
    return;
  }
  while (!bytes.empty() && listener_ != nullptr) {
    const size_t parsed = http_parser_execute(&parser_, &ParserCallbacks(),
                                              bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    DeliverBody();
    if (listener_ == nullptr) {
      return;
    }
    if (error != HPE_OK && error != HPE_PAUSED) {
      Fail(is_head_delivered_ ? HttpCallEnd::kTruncated
                              : HttpCallEnd::kNoResponse);
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
      ++client_->counters_.connections_closed_for_surplus_bytes;
      socket_->Close();
    }
    FinishResponse();
    return;
  }
}

void HttpClientConnection::DeliverBody() {
  // The connections of a client share the buffer, since each empties it before
  // it returns to the main loop.
  std::string& bytes = client_->received_body_;
  if (listener_ != nullptr && !bytes.empty()) {
    listener_->OnCallBody(bytes);
  }
  bytes.clear();
}

void HttpClientConnection::FinishResponse() {
  HttpCallListener* const listener = std::exchange(listener_, nullptr);
  const bool is_reusable = socket_->is_open() && socket_->unsent_bytes() == 0 &&
                           http_should_keep_alive(&parser_) != 0 &&
                           !call_.has_own_connection;
  usable_idle_time_ = UsableIdleTime(head_.headers);
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
  // A response with neither Content-Length nor chunked encoding ends when the
  // server closes the connection in order.
  if (is_head_delivered_ && ends_at_close_ && end == SocketEnd::kOrderly) {
    HttpCallListener* const listener = std::exchange(listener_, nullptr);
    listener->OnCallEnd(HttpCallEnd::kComplete);
    return;
  }
  Fail(is_head_delivered_ ? HttpCallEnd::kTruncated : HttpCallEnd::kNoResponse);
}

void HttpClientConnection::Fail(HttpCallEnd end) {
  StopConnectTimer();
  if (socket_ != nullptr) {
    socket_->Close();
  }
  HttpCallListener* const listener = std::exchange(listener_, nullptr);
  if (listener != nullptr) {
    listener->OnCallEnd(end);
  } else {
    client_->RemoveIdle(this);
  }
}

const http_parser_settings& HttpClientConnection::ParserCallbacks() {
  static const http_parser_settings parser_callbacks = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_status = OnStatus;
    callbacks.on_header_field = OnHeaderField;
    callbacks.on_header_value = OnHeaderValue;
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
  ConnectionOf(parser)->head_.reason.append(data, size);
  return 0;
}

int HttpClientConnection::OnHeaderField(http_parser* parser,
                                        const char* data,
                                        size_t size) {
  auto* const self = ConnectionOf(parser);
  if (IsInTrailer(*parser)) {
    return 0;
  }
  if (self->is_in_header_value_) {
    self->FinishHeaderField();
  }
  self->header_name_.append(data, size);
  return self->head_.headers.fields().size() >= kMaxResponseFields ? -1 : 0;
}

int HttpClientConnection::OnHeaderValue(http_parser* parser,
                                        const char* data,
                                        size_t size) {
  auto* const self = ConnectionOf(parser);
  if (IsInTrailer(*parser)) {
    return 0;
  }
  self->is_in_header_value_ = true;
  self->header_value_.append(data, size);
  return 0;
}

void HttpClientConnection::FinishHeaderField() {
  if (is_in_header_value_) {
    head_.headers.Add(std::move(header_name_), std::move(header_value_));
  }
  header_name_.clear();
  header_value_.clear();
  is_in_header_value_ = false;
}

int HttpClientConnection::OnHeadersComplete(http_parser* parser) {
  // Return value that tells the parser that the response has no body.
  constexpr int kNoBody = 1;
  auto* const self = ConnectionOf(parser);
  self->FinishHeaderField();
  parser->upgrade = 0;
  // The caller must not get what is no status of HTTP as an answer.
  const bool is_valid_status =
      parser->status_code >= kMinStatus && parser->status_code <= kMaxStatus;
  if (!is_valid_status || HasUnknownTransferCoding(self->head_.headers)) {
    return -1;
  }
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
  if (self->is_skipped_ && ++self->skipped_responses_ > kMaxSkippedResponses) {
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
  self->ends_at_close_ = !has_length && !is_chunked;
  return 0;
}

int HttpClientConnection::OnBody(http_parser* parser,
                                 const char* data,
                                 size_t size) {
  auto* const self = ConnectionOf(parser);
  if (self->is_skipped_) {
    self->skipped_body_bytes_ += size;
    return self->skipped_body_bytes_ > kMaxSkippedBodyBytes ? -1 : 0;
  }
  self->response_body_bytes_ += size;
  const size_t limit = self->call_.max_response_bytes;
  if (limit > 0 && self->response_body_bytes_ > limit) {
    return -1;
  }
  self->client_->received_body_.append(data, size);
  return 0;
}

int HttpClientConnection::OnMessageComplete(http_parser* parser) {
  auto* const self = ConnectionOf(parser);
  self->is_message_complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace peridotmill
