#include "peridotmill_core/http/head_encoder.h"

#include <gtest/gtest.h>

#include <string>

namespace peridotmill {
namespace {

HeaderList OneField(std::string name, std::string value) {
  HeaderList headers;
  headers.Add(std::move(name), std::move(value));
  return headers;
}

// Guards against a request whose head ends in the middle of a field, so that
// the server takes the rest for a body or for another request.
TEST(HeadEncoderTest, NoTextEndsALineOfARequest) {
  for (int code = 0; code < 256; ++code) {
    SCOPED_TRACE(code);
    const char c = static_cast<char>(code);
    const bool is_control = (code < ' ' && c != '\t') || code == 0x7f;
    const std::string text = std::string("a") + c + "b";
    EXPECT_EQ(EncodeRequestHead("GET", "/", OneField("Name", text)).has_value(),
              !is_control);
    EXPECT_EQ(EncodeRequestHead("GET", text, {}).has_value(),
              !is_control && c != ' ' && c != '\t');
    if (is_control || c == ' ' || c == '\t' || c == ':') {
      EXPECT_FALSE(EncodeRequestHead("GET", "/", OneField(text, "1")));
      EXPECT_FALSE(EncodeRequestHead(text, "/", {}));
    }
  }
  EXPECT_FALSE(EncodeRequestHead("GET", "/", OneField("", "1")));
  EXPECT_FALSE(EncodeRequestHead("GET", "", {}));
  EXPECT_EQ(*EncodeRequestHead("GET", "/x?y", OneField("Name", "a, b\t\xff")),
            "GET /x?y HTTP/1.1\r\nName: a, b\t\xff\r\n");
}

// Guards against a head that no server accepts.
TEST(HeadEncoderTest, RejectsRequestHeadsThatAreTooLarge) {
  const std::string fitting(kMaxRequestHeadBytes - 100, 'x');
  EXPECT_TRUE(EncodeRequestHead("GET", "/", OneField("Name", fitting)));
  const std::string large(kMaxRequestHeadBytes, 'x');
  EXPECT_EQ(EncodeRequestHead("GET", "/", OneField("Name", large)).error(),
            Error::kTooLarge);
}

// Guards against a response whose fields or reason phrase end its head.
TEST(HeadEncoderTest, NoTextEndsALineOfAResponse) {
  HeaderList headers = OneField("X-Bad", "1\r\n\r\nHTTP/1.1 200 OK");
  headers.Add("X-Good", "2");
  headers.Add("X Bad", "3");
  EXPECT_EQ(EncodeResponseHead(200, "Fine\r\nX: 1", headers),
            "HTTP/1.1 200 OK\r\nX-Good: 2\r\n");
  EXPECT_EQ(EncodeResponseHead(299, "Own phrase", {}),
            "HTTP/1.1 299 Own phrase\r\n");
}

}  // namespace
}  // namespace peridotmill
