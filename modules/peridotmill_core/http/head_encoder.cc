#include "peridotmill_core/http/head_encoder.h"

#include <algorithm>

#include "peridotmill_core/http/http_message.h"

namespace peridotmill {
namespace {

constexpr unsigned char kDelete = 0x7f;

bool IsVisible(unsigned char c) {
  return c > ' ' && c != kDelete;
}

bool IsTarget(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsVisible);
}

void AppendField(std::string& head, const HeaderList::Field& field) {
  head += field.first;
  head += ": ";
  head += field.second;
  head += "\r\n";
}

bool IsWritable(const HeaderList::Field& field) {
  return IsFieldName(field.first) && IsFieldValue(field.second);
}

}  // namespace

bool IsFieldValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return IsVisible(c) || c == ' ' || c == '\t';
  });
}

bool IsFieldName(std::string_view text) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
           (c >= 'a' && c <= 'z') || kSymbols.find(c) != std::string_view::npos;
  });
}

Result<std::string> EncodeRequestHead(std::string_view method,
                                      std::string_view target,
                                      const HeaderList& headers) {
  if (!IsFieldName(method) || !IsTarget(target) ||
      !std::all_of(headers.fields().begin(), headers.fields().end(),
                   IsWritable)) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  std::string head;
  head.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  for (const HeaderList::Field& field : headers.fields()) {
    AppendField(head, field);
  }
  if (head.size() > kMaxRequestHeadBytes) {
    return tl::unexpected(make_error_code(Error::kTooLarge));
  }
  return head;
}

std::string EncodeResponseHead(int status,
                               std::string_view reason,
                               const HeaderList& headers) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + ' ';
  head.append(reason.empty() || !IsFieldValue(reason) ? ReasonPhrase(status)
                                                      : reason);
  head += "\r\n";
  for (const HeaderList::Field& field : headers.fields()) {
    if (IsWritable(field)) {
      AppendField(head, field);
    }
  }
  return head;
}

}  // namespace peridotmill
