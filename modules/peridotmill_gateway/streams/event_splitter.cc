#include "peridotmill_gateway/streams/event_splitter.h"

#include <algorithm>

namespace peridotmill {
namespace {

// Position after the next event's empty line, or npos.
size_t FindEventEnd(std::string_view text, size_t from) {
  const size_t lf = text.find("\n\n", from);
  const size_t crlf = text.find("\r\n\r\n", from);
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return crlf < lf ? crlf + 4 : lf + 2;
}

struct EventFields {
  std::optional<std::string_view> id;
  // The event has a line that is no comment.
  bool has_content = false;
};

EventFields ReadFields(std::string_view event) {
  EventFields fields;
  while (!event.empty()) {
    const size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    fields.has_content =
        fields.has_content || (!line.empty() && !line.starts_with(':'));
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      fields.id = line;
    }
  }
  return fields;
}

}  // namespace

std::string EventSplitter::Add(std::string_view bytes) {
  rest_.append(bytes);
  size_t start = 0;
  const std::string_view text = rest_;
  while (true) {
    const size_t end = FindEventEnd(text, start);
    if (end == std::string::npos) {
      break;
    }
    const EventFields fields = ReadFields(text.substr(start, end - start));
    if (fields.id) {
      last_event_id_ = *fields.id;
    }
    event_count_ += fields.has_content ? 1 : 0;
    start = end;
  }
  std::string whole = rest_.substr(0, start);
  rest_.erase(0, start);
  return whole;
}

}  // namespace peridotmill
