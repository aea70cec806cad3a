#ifndef PERIDOTMILL_GATEWAY_STREAMS_EVENT_SPLITTER_H_
#define PERIDOTMILL_GATEWAY_STREAMS_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotmill {

// Takes an event stream apart, so that only whole events reach the caller and a
// stream can be resumed after the last of them.
// @see WHATWG HTML, section 9.2, server-sent events.
class EventSplitter {
 public:
  // Adds bytes and returns those that complete events, possibly none.
  std::string Add(std::string_view bytes);

  // Bytes after the last whole event.
  const std::string& rest() const { return rest_; }
  void DropRest() { rest_.clear(); }

  // The id of the last whole event that had one.
  const std::string& last_event_id() const { return last_event_id_; }
  // Whole events that carried something; comments only keep a connection alive.
  uint64_t event_count() const { return event_count_; }

 private:
  std::string rest_;
  std::string last_event_id_;
  uint64_t event_count_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STREAMS_EVENT_SPLITTER_H_
