#include "peridotmill_http/logging/output_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <string>

#include "peridotmill_http/tests/socket_peer.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

class OutputLogTest : public testing::Test {
 protected:
  OutputLogTest() { EXPECT_EQ(pipe(pipe_.data()), 0); }
  ~OutputLogTest() override {
    close(pipe_[0]);
    close(pipe_[1]);
  }
  std::string Read() {
    fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> buffer;
    ssize_t size = 0;
    while ((size = read(pipe_[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<size_t>(size));
    }
    return text;
  }

  ManualClock clock_;
  std::array<int, 2> pipe_ = {};
};

// Guards against lines that cannot be parsed: a value contains a space and a
// line break.
TEST_F(OutputLogTest, WritesKeysAndValues) {
  OutputLog log(pipe_[1], clock_);
  log.Write("attempt", {{"request", "r1"}, {"note", "two words\n"}});
  log.Flush();
  EXPECT_NE(Read().find(" event=attempt request=r1 note=\"two words\\x0a\"\n"),
            std::string::npos);
}

// Guards against a log that blocks the process or buffers without a limit when
// nothing reads its output.
TEST_F(OutputLogTest, DropsLinesThatAreNotRead) {
  OutputLog log(pipe_[1], clock_);
  for (int i = 0; i < 20'000; ++i) {
    clock_.Advance(5ms);
    log.Write("attempt", {{"request", std::string(40, 'r')}});
    log.Flush();
  }
  EXPECT_GT(log.dropped(), 10'000u);
  Read();
  log.Flush();
  Read();
  clock_.Advance(5ms);
  log.Write("attempt", {{"request", "r"}});
  log.Flush();
  EXPECT_NE(Read().find("dropped_lines="), std::string::npos);
}

// Guards against writing so many lines that logging takes the processor.
TEST_F(OutputLogTest, LimitsTheRateOfLines) {
  OutputLog log(pipe_[1], clock_);
  int lines = 0;
  for (int i = 0; i < 10'000; ++i) {
    clock_.Advance(1ms);
    log.Write("attempt", {{"request", "r"}});
    log.Flush();
    const std::string text = Read();
    lines += static_cast<int>(std::count(text.begin(), text.end(), '\n'));
  }
  // 400 lines per second for 10 s, and a burst of 800 lines.
  EXPECT_LE(lines, 4801);
  EXPECT_GE(lines, 4000);
}

}  // namespace
}  // namespace peridotmill
