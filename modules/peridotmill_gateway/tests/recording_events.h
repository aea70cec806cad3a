#ifndef PERIDOTMILL_GATEWAY_TESTS_RECORDING_EVENTS_H_
#define PERIDOTMILL_GATEWAY_TESTS_RECORDING_EVENTS_H_

#include <algorithm>
#include <string>
#include <vector>

#include "peridotmill_gateway/logging/event_sink.h"

namespace peridotmill {

// Records log events as lines of the form "event key=value ...".
class RecordingEvents final : public EventSink {
 public:
  void Write(std::string_view event,
             std::initializer_list<EventField> fields) override {
    std::string line(event);
    for (const auto& [key, value] : fields) {
      line += ' ';
      line += key;
      line += '=';
      line += value;
    }
    lines.push_back(std::move(line));
  }
  // Returns whether any line contains `text`.
  bool Has(std::string_view text) const {
    return std::any_of(lines.begin(), lines.end(), [&](const auto& line) {
      return line.find(text) != std::string::npos;
    });
  }

  std::vector<std::string> lines;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_RECORDING_EVENTS_H_
