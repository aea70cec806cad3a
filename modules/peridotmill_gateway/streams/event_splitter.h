#ifndef PERIDOTMILL_GATEWAY_STREAMS_EVENT_SPLITTER_H_
#define PERIDOTMILL_GATEWAY_STREAMS_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotmill {

// Splits a server-sent event stream at event boundaries, so that the caller
// receives only complete events and the stream can be resumed after the last
// one.
// @see WHATWG HTML, section 9.2, server-sent events.
class EventSplitter {
 public:
  // Appends `bytes` and returns all events that are now complete, as the bytes
  // that were received; empty if there are none.
  std::string Add(std::string_view bytes);

  // Bytes received after the last complete event.
  const std::string& incomplete_event() const { return incomplete_event_; }
  void DropIncompleteEvent() { incomplete_event_.clear(); }

  // The id of the last complete event that had one; empty if none had.
  const std::string& last_event_id() const { return last_event_id_; }
  // Number of complete events with at least one field. Events that hold only
  // comments are left out, since they merely keep the connection alive.
  uint64_t event_count() const { return event_count_; }

 private:
  std::string incomplete_event_;
  std::string last_event_id_;
  uint64_t event_count_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STREAMS_EVENT_SPLITTER_H_
