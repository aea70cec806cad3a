#include "peridotmill_http/server/http_exchange.h"

#include <cstdio>

#include "peridotmill_http/server/http_server_connection.h"

namespace peridotmill {

void HttpExchange::SendHead(const HttpResponseHead& head) {
  if (connection_ != nullptr) {
    // RFC 9110, section 6.4.1.
    has_body_ = !is_head_request_ && head.status != 204 && head.status != 304;
    connection_->SendHead(head, has_body_, is_chunked_);
  }
}

void HttpExchange::SendBody(std::string_view bytes) {
  if (connection_ == nullptr || bytes.empty() || !has_body_) {
    return;
  }
  if (!is_chunked_) {
    connection_->Send(bytes);
    return;
  }
  char size_line[20];
  const int length =
      std::snprintf(size_line, sizeof(size_line), "%zx\r\n", bytes.size());
  std::string chunk(size_line, static_cast<size_t>(length));
  chunk += bytes;
  chunk += "\r\n";
  connection_->Send(chunk);
}

void HttpExchange::Finish() {
  if (connection_ == nullptr) {
    return;
  }
  if (is_chunked_) {
    connection_->Send("0\r\n\r\n");
  }
  connection_->FinishResponse();
}

size_t HttpExchange::unsent_bytes() const {
  return connection_ == nullptr ? 0 : connection_->unsent_bytes();
}

size_t HttpExchange::unsent_limit() const {
  return connection_ == nullptr ? kDefaultUnsentLimit
                                : connection_->unsent_limit();
}

void HttpExchange::Abort() {
  if (connection_ != nullptr) {
    connection_->AbortResponse();
  }
}

}  // namespace peridotmill
