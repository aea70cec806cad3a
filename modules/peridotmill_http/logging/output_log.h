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
// blocks: drops lines while the reader is too slow and lines above a rate
// limit. The next line written reports how many were dropped before it.
class OutputLog final : public EventSink {
 public:
  OutputLog(int descriptor, const Clock& clock);
  ~OutputLog() override;
  OutputLog(const OutputLog&) = delete;
  OutputLog& operator=(const OutputLog&) = delete;

  void Write(std::string_view event,
             std::initializer_list<EventField> fields) override;
  // Writes the buffered lines until the descriptor accepts no more bytes.
  void Flush();

  // Lines dropped since the log was created.
  uint64_t dropped() const { return dropped_lines_; }

 private:
  static gboolean OnWritable(gint fd, GIOCondition condition, gpointer data);
  // Returns whether a line may be written at `now`; counts it as dropped if
  // not.
  bool AdmitLine(TimePoint now);

  int descriptor_;
  const Clock& clock_;
  std::string buffer_;
  guint writable_source_ = 0;
  // Token bucket of the rate limit, in lines.
  double line_tokens_;
  TimePoint last_refill_;
  uint64_t dropped_lines_ = 0;
  uint64_t reported_dropped_lines_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_LOGGING_OUTPUT_LOG_H_
