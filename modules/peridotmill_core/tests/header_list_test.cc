#include "peridotmill_core/http/header_list.h"

#include <gtest/gtest.h>

#include <ctime>
#include <string>

namespace peridotmill {
namespace {

// Returns the processor time, in seconds, in which the connection fields of
// heads with this many fields and listed names are removed, in total of a fixed
// number of heads.
double MeasureRemoval(int count) {
  constexpr int kHeads = 50;
  HeaderList headers;
  std::string listed = "a";
  for (int i = 0; i < count; ++i) {
    headers.Add("X-" + std::to_string(i), "1");
    listed += ",b";
  }
  headers.Add("Connection", listed);
  std::clock_t total = 0;
  for (int i = 0; i < kHeads; ++i) {
    HeaderList copy = headers;
    const std::clock_t start = std::clock();
    RemoveConnectionFields(copy);
    total += std::clock() - start;
  }
  return static_cast<double>(total) / CLOCKS_PER_SEC;
}

// Guards against a head whose Connection field lists many names and that
// occupies the event loop: all fields were compared with each of the names.
TEST(HeaderListTest, RemovalOfConnectionFieldsTakesTimeInProportionToTheHead) {
  constexpr int kSizeRatio = 16;
  constexpr int kMaxTimeRatio = 4 * kSizeRatio;
  EXPECT_LT(MeasureRemoval(250 * kSizeRatio),
            kMaxTimeRatio * MeasureRemoval(250));
}

// Guards against fields that are kept although Connection lists them, in any
// case and in several Connection fields, and against removing others.
TEST(HeaderListTest, RemovesTheFieldsThatConnectionLists) {
  HeaderList headers;
  headers.Add("X-Listed", "1");
  headers.Add("connection", "close, x-LISTED ,,");
  headers.Add("X-Kept", "2");
  headers.Add("Connection", "X-Other");
  headers.Add("x-other", "3");
  headers.Add("X-Listed", "4");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("X-Listed-Longer", "5");
  RemoveConnectionFields(headers);
  ASSERT_EQ(headers.fields().size(), 2u);
  EXPECT_EQ(headers.fields()[0].first, "X-Kept");
  EXPECT_EQ(headers.fields()[1].first, "X-Listed-Longer");
}

}  // namespace
}  // namespace peridotmill
