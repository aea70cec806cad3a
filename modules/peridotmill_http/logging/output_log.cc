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

// Lines a second that are written on average, and in one burst. A request takes
// about four lines; a node serves some tens a second.
constexpr double kLinesPerSecond = 400;
constexpr double kBurstLines = 800;
// Bytes that wait for a slow reader.
constexpr size_t kMaxBufferedBytes = 65536;

}  // namespace

OutputLog::OutputLog(int descriptor, const Clock& clock)
    : descriptor_(descriptor),
      clock_(clock),
      tokens_(kBurstLines),
      refilled_(clock.Now()) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

OutputLog::~OutputLog() {
  Flush();
  if (source_ != 0) {
    g_source_remove(source_);
  }
}

bool OutputLog::TakeLine(TimePoint now) {
  constexpr double kMillisecondsPerSecond = 1000;
  tokens_ = std::min(
      kBurstLines, tokens_ + kLinesPerSecond * ToMilliseconds(now - refilled_) /
                                 kMillisecondsPerSecond);
  refilled_ = now;
  if (tokens_ < 1 || buffer_.size() > kMaxBufferedBytes) {
    ++dropped_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

void OutputLog::Write(std::string_view event,
                      std::initializer_list<EventField> fields) {
  if (!TakeLine(clock_.Now())) {
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
  if (dropped_ > reported_dropped_) {
    buffer_ += " dropped_lines=" + std::to_string(dropped_ - reported_dropped_);
    reported_dropped_ = dropped_;
  }
  buffer_ += '\n';
  if (source_ == 0) {
    // Lines of one turn of the loop are written together.
    source_ = g_unix_fd_add(descriptor_, G_IO_OUT, OnWritable, this);
    if (source_ == 0) {
      Flush();
    }
  }
}

void OutputLog::Flush() {
  while (!buffer_.empty()) {
    const ssize_t written = write(descriptor_, buffer_.data(), buffer_.size());
    if (written <= 0) {
      if (written < 0 && errno != EAGAIN && errno != EINTR) {
        // Nobody reads any more.
        dropped_ += static_cast<uint64_t>(
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
    self->source_ = 0;
    return G_SOURCE_REMOVE;
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace peridotmill
