#ifndef PERIDOTMILL_GATEWAY_STREAMS_EVENT_SPLITTER_H_
#define PERIDOTMILL_GATEWAY_STREAMS_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace peridotmill {

// Splits a server-sent event stream at event boundaries, so that the caller
// receives only complete events and the stream can be resumed after the last
// one.
// @see WHATWG HTML, section 9.2, server-sent events.
class EventSplitter {
 public:
  // Appends `bytes` and returns all events that are now complete, as the bytes
  // that were received; empty if there are none. Stops before an invalid event,
  // and ignores all bytes after it.
  std::string Add(std::string_view bytes);

  // Bytes received after the last complete event.
  const std::string& incomplete_event() const { return incomplete_event_; }
  // Number of bytes after the last event with a field: comments, empty lines
  // and the incomplete event.
  size_t bytes_since_event() const {
    return comment_bytes_ + incomplete_event_.size();
  }
  // Returns whether the bytes after the last complete event hold a part of
  // another one, and not only empty lines and comments.
  bool ends_inside_event() const;
  // Returns whether the next event cannot belong to the stream: its id cannot
  // be sent in a header field or does not follow that of the events before it,
  // or it holds the head of a response.
  bool is_next_event_invalid() const { return is_next_event_invalid_; }
  // Discards the bytes after the last complete event, before the stream is
  // resumed.
  void DropIncompleteEvent() {
    incomplete_event_.clear();
    comment_bytes_ = 0;
    is_next_event_invalid_ = false;
  }

  // The id of the last complete event that had one; empty if none had.
  const std::string& last_event_id() const { return last_event_id_; }
  // Sets the id of the event after which the stream begins.
  void set_last_event_id(std::string id) { last_event_id_ = std::move(id); }
  // Number of complete events with at least one field. Events that hold only
  // comments are left out, since they merely keep the connection alive.
  uint64_t event_count() const { return event_count_; }

 private:
  std::string incomplete_event_;
  size_t comment_bytes_ = 0;
  bool is_next_event_invalid_ = false;
  std::string last_event_id_;
  uint64_t event_count_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STREAMS_EVENT_SPLITTER_H_
