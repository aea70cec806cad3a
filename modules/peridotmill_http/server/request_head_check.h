#ifndef PERIDOTMILL_HTTP_SERVER_REQUEST_HEAD_CHECK_H_
#define PERIDOTMILL_HTTP_SERVER_REQUEST_HEAD_CHECK_H_

#include <optional>
#include <string_view>

namespace peridotmill {

// Checks a request head, up to and including its empty line, against the
// framing rules that http-parser does not enforce: line ends, folded lines,
// control characters, blanks around header names, repeated or conflicting
// lengths, transfer codings other than chunked, and the number of Host headers.
// Returns a description of the first violation, or nullopt for a valid head.
// @see RFC 9112, sections 2.2, 5.1, 5.2, 6.1 and 6.3.
std::optional<std::string_view> FindRequestHeadViolation(std::string_view head);

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SERVER_REQUEST_HEAD_CHECK_H_
