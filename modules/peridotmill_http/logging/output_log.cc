#include "peridotmill_http/logging/output_log.h"

#include <fcntl.h>
#include <glib-unix.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "peridotmill_core/logging/log_value.h"
#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Limits of the lines written per second on average and in one burst. A request
// takes about four lines, and a node serves some tens of requests per second.
constexpr double kMaxLinesPerSecond = 400;
constexpr double kMaxBurstLines = 800;
// No line is added while more bytes than this wait for a slow reader.
constexpr size_t kMaxBufferedBytes = 65536;

}  // namespace

OutputLog::OutputLog(int descriptor, const Clock& clock)
    : descriptor_(descriptor),
      clock_(clock),
      line_tokens_(kMaxBurstLines),
      last_refill_(clock.Now()) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

OutputLog::~OutputLog() {
  Flush();
  if (writable_source_ != 0) {
    g_source_remove(writable_source_);
  }
}

bool OutputLog::AdmitLine(TimePoint now) {
  constexpr double kMillisecondsPerSecond = 1000;
  line_tokens_ = std::min(
      kMaxBurstLines, line_tokens_ + kMaxLinesPerSecond *
                                         ToMilliseconds(now - last_refill_) /
                                         kMillisecondsPerSecond);
  last_refill_ = now;
  if (line_tokens_ < 1 || buffer_.size() > kMaxBufferedBytes) {
    ++dropped_lines_;
    return false;
  }
  line_tokens_ -= 1;
  return true;
}

void OutputLog::Write(std::string_view event,
                      std::initializer_list<EventField> fields) {
  if (!AdmitLine(clock_.Now())) {
    return;
  }
  const int64_t milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          clock_.WallNow().time_since_epoch())
          .count();
  constexpr int64_t kMillisecondsPerSecond = 1000;
  const std::string fraction =
      std::to_string(milliseconds % kMillisecondsPerSecond);
  constexpr size_t kFractionDigits = 3;
  buffer_ += "time=" + std::to_string(milliseconds / kMillisecondsPerSecond) +
             "." + std::string(kFractionDigits - fraction.size(), '0') +
             fraction + " event=";
  AppendLogValue(event, buffer_);
  for (const auto& [key, value] : fields) {
    buffer_ += ' ';
    buffer_ += key;
    buffer_ += '=';
    AppendLogValue(value, buffer_);
  }
  if (dropped_lines_ > reported_dropped_lines_) {
    buffer_ += " dropped_lines=" +
               std::to_string(dropped_lines_ - reported_dropped_lines_);
    reported_dropped_lines_ = dropped_lines_;
  }
  buffer_ += '\n';
  if (writable_source_ == 0) {
    // Writes the lines of one iteration of the main loop together.
    writable_source_ = g_unix_fd_add(descriptor_, G_IO_OUT, OnWritable, this);
    if (writable_source_ == 0) {
      Flush();
    }
  }
}

void OutputLog::Flush() {
  while (!buffer_.empty()) {
    const ssize_t written = write(descriptor_, buffer_.data(), buffer_.size());
    if (written <= 0) {
      if (written < 0 && errno != EAGAIN && errno != EINTR) {
        // The descriptor cannot be written any more, for example because the
        // reader has closed its end.
        dropped_lines_ += static_cast<uint64_t>(
            std::count(buffer_.begin(), buffer_.end(), '\n'));
        buffer_.clear();
      }
      return;
    }
    buffer_.erase(0, static_cast<size_t>(written));
  }
}

gboolean OutputLog::OnWritable(gint, GIOCondition, gpointer data) {
  auto* const self = static_cast<OutputLog*>(data);
  self->Flush();
  if (self->buffer_.empty()) {
    self->writable_source_ = 0;
    return G_SOURCE_REMOVE;
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace peridotmill
