#ifndef PERIDOTMILL_CORE_HTTP_HEAD_ENCODER_H_
#define PERIDOTMILL_CORE_HTTP_HEAD_ENCODER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/http/header_list.h"

namespace peridotmill {

// Longest head of a request, in bytes. Servers reject longer ones.
inline constexpr size_t kMaxRequestHeadBytes = size_t{64} << 10;

// Returns whether `text` may stand as the value of a header field: it holds no
// control characters except tabs, and so cannot end the field or the head.
// @see RFC 9110, section 5.5.
bool IsFieldValue(std::string_view text);

// Returns whether `text` may stand as the name of a header field.
// @see RFC 9110, section 5.6.2.
bool IsFieldName(std::string_view text);

// All HTTP heads that this program sends are written by the functions below, so
// that no text can end a line, whoever it comes from. The caller appends the
// fields that frame the body and the empty line after the head.

// Returns the request line and the fields.
// Errors: kMalformed if a part of the head would change its structure,
// kTooLarge if the head is longer than kMaxRequestHeadBytes.
Result<std::string> EncodeRequestHead(std::string_view method,
                                      std::string_view target,
                                      const HeaderList& headers);

// Returns the status line and the fields. Leaves out fields that would change
// the structure of the head, and replaces a reason phrase that would by the
// usual one of the status.
std::string EncodeResponseHead(int status,
                               std::string_view reason,
                               const HeaderList& headers);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HTTP_HEAD_ENCODER_H_
