#ifndef PERIDOTMILL_GATEWAY_LOGGING_EVENT_SINK_H_
#define PERIDOTMILL_GATEWAY_LOGGING_EVENT_SINK_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace peridotmill {

using EventField = std::pair<std::string_view, std::string>;

// Log of the gateway's decisions and of changes in what it knows about
// endpoints, other nodes and the store. One event is one line with named
// fields.
class EventSink {
 public:
  virtual ~EventSink() = default;
  virtual void Write(std::string_view event,
                     std::initializer_list<EventField> fields) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_LOGGING_EVENT_SINK_H_
