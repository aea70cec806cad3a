#include "peridotmill_gateway/streams/event_splitter.h"

#include <algorithm>

#include "peridotmill_core/http/head_encoder.h"

namespace peridotmill {
namespace {

// An empty line may begin this many bytes before the end of the received bytes
// and be completed by later ones: "\n", or "\n\r".
constexpr size_t kMaxPartialEventEndBytes = 2;

// Returns the position after the first empty line that begins at `from` or
// later, which ends an event, or npos.
size_t FindEventEnd(std::string_view text, size_t from) {
  for (size_t line_end = text.find('\n', from);
       line_end != std::string_view::npos;
       line_end = text.find('\n', line_end + 1)) {
    const std::string_view rest = text.substr(line_end + 1);
    if (rest.starts_with('\n')) {
      return line_end + 2;
    }
    if (rest.starts_with("\r\n")) {
      return line_end + 3;
    }
  }
  return std::string_view::npos;
}

bool IsDecimal(std::string_view text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

// Returns whether an event may have this id. A resumed stream sends the id to
// the next endpoint in a header field.
bool IsValidEventId(std::string_view id) {
  constexpr size_t kMaxEventIdBytes = 1024;
  return id.size() <= kMaxEventIdBytes && IsFieldValue(id);
}

// Returns whether an event with this id may follow the event with the id
// `last`. The ids of a stream increase; those that are no numbers only have to
// differ.
bool IsLaterEventId(std::string_view id, std::string_view last) {
  if (!IsDecimal(id) || !IsDecimal(last)) {
    return id != last;
  }
  id.remove_prefix(std::min(id.find_first_not_of('0'), id.size()));
  last.remove_prefix(std::min(last.find_first_not_of('0'), last.size()));
  return id.size() != last.size() ? id.size() > last.size() : id > last;
}

struct EventFields {
  std::optional<std::string_view> id;
  // Whether the event has a line that is neither empty nor a comment.
  bool has_fields = false;
  // A line is the status line of an HTTP response.
  bool has_status_line = false;
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
    fields.has_fields =
        fields.has_fields || (!line.empty() && !line.starts_with(':'));
    fields.has_status_line =
        fields.has_status_line || line.starts_with("HTTP/1.");
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
  if (is_next_event_invalid_) {
    return std::string();
  }
  // The bytes before are not searched again, so that the time for an event
  // grows only linearly with its size, whatever pieces it arrives in.
  size_t search_start =
      incomplete_event_.size() -
      std::min(incomplete_event_.size(), kMaxPartialEventEndBytes);
  incomplete_event_.append(bytes);
  size_t start = 0;
  const std::string_view text = incomplete_event_;
  while (true) {
    const size_t end = FindEventEnd(text, search_start);
    if (end == std::string::npos) {
      break;
    }
    const EventFields fields = ReadFields(text.substr(start, end - start));
    if (fields.has_status_line ||
        (fields.id && (!IsValidEventId(*fields.id) ||
                       !IsLaterEventId(*fields.id, last_event_id_)))) {
      is_next_event_invalid_ = true;
      break;
    }
    if (fields.id) {
      last_event_id_ = *fields.id;
    }
    if (fields.has_fields) {
      ++event_count_;
      comment_bytes_ = 0;
    } else {
      comment_bytes_ += end - start;
    }
    start = end;
    search_start = end;
  }
  std::string complete_events = incomplete_event_.substr(0, start);
  incomplete_event_.erase(0, start);
  return complete_events;
}

bool EventSplitter::ends_inside_event() const {
  std::string_view text = incomplete_event_;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const bool is_empty_line =
        text.starts_with('\n') || text.starts_with("\r\n") || text == "\r";
    if (!is_empty_line &&
        (end == std::string_view::npos || !text.starts_with(':'))) {
      return true;
    }
    text.remove_prefix(std::min(end, text.size() - 1) + 1);
  }
  return false;
}

}  // namespace peridotmill
