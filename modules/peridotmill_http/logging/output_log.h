#ifndef PERIDOTMILL_HTTP_LOGGING_OUTPUT_LOG_H_
#define PERIDOTMILL_HTTP_LOGGING_OUTPUT_LOG_H_

#include <glib.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/logging/event_sink.h"

namespace peridotmill {

// Writes one line of key=value pairs for each event to a descriptor. Never
// blocks: lines that the reader does not take, and lines above a rate, are
// dropped, and the next line that is written says how many.
class OutputLog final : public EventSink {
 public:
  OutputLog(int descriptor, const Clock& clock);
  ~OutputLog() override;
  OutputLog(const OutputLog&) = delete;
  OutputLog& operator=(const OutputLog&) = delete;

  void Write(std::string_view event,
             std::initializer_list<EventField> fields) override;
  // Writes what is buffered as far as the descriptor takes it.
  void Flush();

  uint64_t dropped() const { return dropped_; }

 private:
  static gboolean OnWritable(gint fd, GIOCondition condition, gpointer data);
  bool TakeLine(TimePoint now);

  int descriptor_;
  const Clock& clock_;
  std::string buffer_;
  guint source_ = 0;
  double tokens_;
  TimePoint refilled_;
  uint64_t dropped_ = 0;
  uint64_t reported_dropped_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_LOGGING_OUTPUT_LOG_H_
