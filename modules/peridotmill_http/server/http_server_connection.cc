#include "peridotmill_http/server/http_server_connection.h"

#include <algorithm>
#include <utility>

#include "peridotmill_core/http/head_encoder.h"
#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_http/server/http_server.h"
#include "peridotmill_http/server/request_head_check.h"

namespace peridotmill {
namespace {

// Reading from a connection pauses while more than this many bytes of pipelined
// requests are buffered behind an incomplete response.
constexpr size_t kMaxPipelinedBytes = 32768;
// Minimum average arrival rate of a request body, not counting the idle
// timeout; a slower body is rejected with status 408. Every received byte
// restarts the idle timeout, so occasional bytes would otherwise keep the
// connection open indefinitely.
constexpr double kMinBodyBytesPerMs = 1;
// A connection on which nothing has arrived for this time after the accept is
// idle. The first byte may have to be sent again once.
constexpr Duration kFirstByteTimeout = std::chrono::seconds(1);

// Memory of a connection without its buffers.
constexpr size_t kConnectionBytes = 4096;
// A buffer of received bytes with more capacity is freed when it is empty.
constexpr size_t kMaxKeptBufferBytes = 2048;
// How long a refused caller may go on sending before its connection closes.
constexpr Duration kDropTime = std::chrono::seconds(2);

// Empties a string and frees its memory, unlike an assignment.
void Free(std::string& text) {
  std::string().swap(text);
}

bool HasBareLineFeed(std::string_view text) {
  for (size_t at = text.find('\n'); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at == 0 || text[at - 1] != '\r') {
      return true;
    }
  }
  return false;
}

}  // namespace

HttpServerConnection::HttpServerConnection(HttpServer* server, int descriptor)
    : server_(server),
      socket_(StreamSocket::Accepted(descriptor, this)),
      connection_charge_(server->settings_.memory),
      request_charge_(server->settings_.memory),
      body_charge_(server->settings_.memory),
      unsent_charge_(server->settings_.memory),
      timeout_start_(server->clock_.Now()),
      last_receive_(timeout_start_) {
  ChargeReceiveBuffer();
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
}

HttpServerConnection::~HttpServerConnection() = default;

bool HttpServerConnection::IsIdle(TimePoint now) const {
  if (!has_received_bytes_ && now - timeout_start_ < kFirstByteTimeout) {
    return false;
  }
  return state_ == State::kHead && receive_buffer_.empty() &&
         socket_->unsent_bytes() == 0 && !socket_->has_unread_bytes();
}

std::optional<UnfinishedRequest> HttpServerConnection::unfinished_request()
    const {
  if (state_ == State::kBody) {
    return UnfinishedRequest{
        .charged_bytes = request_charge_.bytes() + body_charge_.bytes(),
        .received_bytes = head_bytes_ + body_.size(),
        .start = body_start_,
        .last_progress = last_receive_};
  }
  if (state_ == State::kHead && !receive_buffer_.empty()) {
    return UnfinishedRequest{
        .charged_bytes = connection_charge_.bytes() - kConnectionBytes,
        .received_bytes = receive_buffer_.size(),
        .start = timeout_start_,
        .last_progress = last_receive_};
  }
  return std::nullopt;
}

OpenConnection HttpServerConnection::GetState(TimePoint now) const {
  using Phase = OpenConnection::State;
  if (state_ == State::kClosing) {
    return {.state = drop_end_ ? Phase::kClosing : Phase::kOpenRequest,
            .since = timeout_start_};
  }
  if (const auto request = unfinished_request()) {
    return {.state = Phase::kUnfinishedRequest,
            .is_stalled = IsStalled(*request, now),
            .since = last_receive_};
  }
  if (state_ == State::kHead && socket_->unsent_bytes() == 0) {
    return {.state = has_received_bytes_ ? Phase::kIdle : Phase::kNew,
            .since = timeout_start_};
  }
  return {.state = Phase::kOpenRequest, .since = timeout_start_};
}

void HttpServerConnection::RefuseForMemory() {
  drop_end_ = server_->clock_.Now() + kDropTime;
  Reject(503, "the node is short of memory or connections");
}

void HttpServerConnection::CloseForNew() {
  if (unfinished_request()) {
    Reject(503, "the node is short of connections");
  }
  if (socket_->is_open()) {
    CloseAndRemove();
  }
}

size_t HttpServerConnection::unsent_limit() const {
  const MemoryBudget* const memory = server_->settings_.memory;
  return memory == nullptr
             ? ResponseWriter::kDefaultUnsentLimit
             : UnsentResponseLimit(memory->limits(), memory->used_bytes(),
                                   ResponseWriter::kDefaultUnsentLimit);
}

void HttpServerConnection::ReleaseRequest() {
  request_ = HttpRequest();
  Free(body_);
  body_charge_.Set(0);
  EndOpenRequest();
}

void HttpServerConnection::EndOpenRequest() {
  request_charge_.Set(0);
  server_->open_requests_ -= is_counted_ ? 1 : 0;
  is_counted_ = false;
}

void HttpServerConnection::ChargeReceiveBuffer() {
  connection_charge_.Set(kConnectionBytes + receive_buffer_.capacity());
}

void HttpServerConnection::EndBeforeExit() {
  const bool is_receiving =
      state_ == State::kBody ||
      (state_ == State::kHead && !receive_buffer_.empty());
  if (is_receiving) {
    Reject(503, "the server is stopping");
    return;
  }
  if (state_ == State::kResponding || socket_->unsent_bytes() > 0) {
    // A response without a length would look complete after an orderly close.
    socket_->Abort();
  }
  CloseAndRemove();
}

void HttpServerConnection::CloseAndRemove() {
  socket_->Close();
  // The connection is destroyed later.
  Free(receive_buffer_);
  ReleaseRequest();
  unsent_charge_.Set(0);
  connection_charge_.Set(0);
  if (exchange_ != nullptr) {
    exchange_->Detach();
    auto exchange = std::move(exchange_);
    if (state_ == State::kResponding && exchange->on_caller_disconnected_) {
      exchange->on_caller_disconnected_();
    }
  }
  server_->RemoveConnection(this);
}

void HttpServerConnection::CheckTimeout(TimePoint now) {
  if (drop_end_ && now >= *drop_end_) {
    CloseAndRemove();
    return;
  }
  const HttpLimits& limits = server_->settings_.limits;
  const bool is_receiving_head =
      state_ == State::kHead && !receive_buffer_.empty();
  const Duration limit =
      is_receiving_head ? limits.head_timeout : limits.idle_timeout;
  const bool is_body_too_slow =
      state_ == State::kBody &&
      now - body_start_ >
          limits.idle_timeout +
              FromMilliseconds(static_cast<double>(body_.size()) /
                               kMinBodyBytesPerMs);
  if (state_ == State::kResponding ||
      (now - timeout_start_ < limit && !is_body_too_slow)) {
    return;
  }
  if (is_receiving_head || state_ == State::kBody) {
    ++server_->counters_.timed_out;
    Reject(408, "the request was not sent in time");
    return;
  }
  CloseAndRemove();
}

void HttpServerConnection::OnSocketData(std::string_view bytes) {
  if (state_ == State::kClosing) {
    dropped_bytes_ += bytes.size();
    if (drop_end_ &&
        dropped_bytes_ > server_->settings_.limits.max_body_bytes) {
      CloseAndRemove();
    }
    return;
  }
  last_receive_ = server_->clock_.Now();
  if (state_ != State::kHead || receive_buffer_.empty()) {
    timeout_start_ = last_receive_;
  }
  has_received_bytes_ = true;
  if (state_ == State::kBody) {
    ReadBody(bytes);
    return;
  }
  receive_buffer_.append(bytes);
  if (state_ == State::kResponding) {
    ChargeReceiveBuffer();
    if (receive_buffer_.size() > kMaxPipelinedBytes) {
      socket_->PauseReading();
    }
    return;
  }
  const size_t held_bytes = kConnectionBytes + receive_buffer_.capacity();
  if (held_bytes > connection_charge_.bytes() &&
      !server_->Reserve(this, connection_charge_, held_bytes)) {
    server_->CountRefusal(&MemoryCounters::refused_new);
    RefuseForMemory();
    return;
  }
  ReadRequests();
}

void HttpServerConnection::OnSocketDrained() {
  unsent_charge_.Set(0);
  if (state_ == State::kClosing) {
    CloseAfterResponse();
  } else if (state_ == State::kResponding && exchange_->on_drained_) {
    // Keeps the exchange alive if its callback finishes the response.
    const std::shared_ptr<HttpExchange> exchange = exchange_;
    exchange->on_drained_();
  }
}

void HttpServerConnection::OnSocketEnd(SocketEnd) {
  CloseAndRemove();
}

void HttpServerConnection::ReadRequests() {
  if (state_ == State::kHead && !ReadHead()) {
    return;
  }
  if (state_ == State::kBody) {
    std::string received = std::exchange(receive_buffer_, std::string());
    const auto parsed = ParseRequest(received);
    if (parsed) {
      received.erase(0, *parsed);
      receive_buffer_ = std::move(received);
      FinishRead();
    }
  }
}

bool HttpServerConnection::ReadHead() {
  // Ignores empty lines before a request line (RFC 9112, section 2.2).
  size_t start = 0;
  while (receive_buffer_.compare(start, 2, "\r\n") == 0) {
    start += 2;
  }
  receive_buffer_.erase(0, start);
  const size_t limit = server_->settings_.limits.max_head_bytes;
  const size_t end = receive_buffer_.find("\r\n\r\n");
  const size_t head_size =
      end == std::string::npos ? receive_buffer_.size() : end + 4;
  if (head_size > limit) {
    ++server_->counters_.head_too_large;
    Reject(431, "the request head is too large");
    return false;
  }
  if (end == std::string::npos) {
    // Rejects bytes that cannot become a valid head without waiting for more.
    if (HasBareLineFeed(receive_buffer_)) {
      ++server_->counters_.malformed;
      Reject(400, "line that does not end with CR LF");
    }
    return false;
  }
  const std::string_view head(receive_buffer_.data(), head_size);
  if (const auto violation = FindRequestHeadViolation(head)) {
    ++server_->counters_.malformed;
    Reject(400, *violation);
    return false;
  }
  request_ = HttpRequest();
  head_bytes_ = head_size;
  is_message_complete_ = false;
  is_body_too_large_ = false;
  has_too_many_fields_ = false;
  is_refused_for_memory_ = false;
  state_ = State::kBody;
  timeout_start_ = server_->clock_.Now();
  body_start_ = timeout_start_;
  // The request may have waited here behind another one.
  last_receive_ = timeout_start_;
  return true;
}

void HttpServerConnection::ReadBody(std::string_view bytes) {
  const auto parsed = ParseRequest(bytes);
  if (!parsed) {
    return;
  }
  receive_buffer_.assign(bytes.substr(*parsed));
  FinishRead();
}

void HttpServerConnection::FinishRead() {
  if (receive_buffer_.empty() &&
      receive_buffer_.capacity() > kMaxKeptBufferBytes) {
    Free(receive_buffer_);
  }
  ChargeReceiveBuffer();
  if (is_message_complete_) {
    DispatchRequest();
  }
}

void HttpServerConnection::DispatchRequest() {
  is_keep_alive_ = http_should_keep_alive(&parser_) != 0;
  http_parser_pause(&parser_, 0);
  state_ = State::kResponding;
  request_.body = TakeBody();
  exchange_ = std::make_shared<HttpExchange>(this, std::move(request_));
  request_ = HttpRequest();
  // Keeps the exchange alive if the handler finishes the response immediately.
  const std::shared_ptr<HttpExchange> exchange = exchange_;
  server_->handler_(exchange);
}

void HttpServerConnection::Reject(int status, std::string_view message) {
  is_keep_alive_ = false;
  state_ = State::kResponding;
  Free(receive_buffer_);
  ReleaseRequest();
  ChargeReceiveBuffer();
  auto exchange = std::make_shared<HttpExchange>(this, HttpRequest());
  exchange_ = exchange;
  HttpResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "application/json");
  if (drop_end_) {
    head.headers.Add("Retry-After", "1");
  }
  std::string body = R"({"error":{"message":")";
  body += message;
  body += R"(","execution":"not_run"}})";
  SendComplete(*exchange, head, body);
}

void HttpServerConnection::SendHead(const HttpResponseHead& head,
                                    bool has_body,
                                    bool& is_chunked) {
  is_keep_alive_ = is_keep_alive_ && server_->is_keep_alive_enabled_;
  std::string bytes =
      EncodeResponseHead(head.status, head.reason, head.headers);
  const bool has_length =
      head.content_length && head.status != 204 && head.status != 304;
  if (has_length) {
    bytes += "Content-Length: " + std::to_string(*head.content_length) + "\r\n";
  } else if (!has_body) {
    // The response ends with its head.
  } else if (!is_http_1_0_) {
    is_chunked = true;
    bytes += "Transfer-Encoding: chunked\r\n";
  } else {
    is_keep_alive_ = false;
  }
  if (!is_keep_alive_) {
    bytes += "Connection: close\r\n";
  }
  bytes += "\r\n";
  Send(bytes);
}

void HttpServerConnection::Send(std::string_view bytes) {
  socket_->Write(bytes);
  unsent_charge_.Set(socket_->unsent_bytes());
}

void HttpServerConnection::FinishResponse() {
  exchange_->Detach();
  exchange_.reset();
  EndOpenRequest();
  timeout_start_ = server_->clock_.Now();
  if (!is_keep_alive_) {
    state_ = State::kClosing;
    if (socket_->unsent_bytes() == 0) {
      CloseAfterResponse();
    }
    return;
  }
  state_ = State::kHead;
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  socket_->ResumeReading();
  if (receive_buffer_.empty() &&
      receive_buffer_.capacity() > kMaxKeptBufferBytes) {
    Free(receive_buffer_);
    ChargeReceiveBuffer();
  }
  if (!receive_buffer_.empty()) {
    ReadRequests();
  }
}

void HttpServerConnection::CloseAfterResponse() {
  if (drop_end_ && server_->clock_.Now() < *drop_end_) {
    socket_->ShutDownWriting();
    socket_->ResumeReading();
    return;
  }
  CloseAndRemove();
}

void HttpServerConnection::AbortResponse() {
  state_ = State::kClosing;
  socket_->Abort();
  CloseAndRemove();
}

}  // namespace peridotmill
