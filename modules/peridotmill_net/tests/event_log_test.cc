#include "peridotmill_net/logging/event_log.h"

#include <gtest/gtest.h>

namespace peridotmill {
namespace {

// Guards against caller text that forges a log line or a field.
TEST(EventLogTest, EscapesTextFromCallers) {
  EXPECT_EQ(FormatLogLine("refused", {{"field", "a\nevent=forged"}}),
            "event=refused field=\"a\\x0aevent=forged\"");
  EXPECT_EQ(FormatLogLine("x", {{"k", "say \"hi\""}, {"e", ""}}),
            "event=x k=\"say \\\"hi\\\"\" e=\"\"");
}

}  // namespace
}  // namespace peridotmill
