#ifndef PERIDOTMILL_GATEWAY_STREAMS_STREAM_END_H_
#define PERIDOTMILL_GATEWAY_STREAMS_STREAM_END_H_

#include <cstdint>

namespace peridotmill {

// What is known of an event stream that its endpoint ended in order.
struct StreamEnd {
  // Events that this endpoint has sent.
  uint64_t events = 0;
  bool ends_inside_event = false;
  // The endpoint was to go on after the events of another one.
  bool is_resumption = false;
  // Neither a length nor the chunked coding frames the stream. The connections
  // of a killed process end in the same way.
  bool ends_with_connection = false;
};

// Returns whether the stream may be whole. One without any event may be so only
// if its framing says that it is, and if it is no resumption: that does not
// prove that the events before it are all of them. After an event, an unframed
// stream counts as whole, since nothing tells it from one that is cut there.
inline bool MayBeWhole(const StreamEnd& end) {
  if (end.ends_inside_event) {
    return false;
  }
  return end.events > 0 || (!end.is_resumption && !end.ends_with_connection);
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STREAMS_STREAM_END_H_
