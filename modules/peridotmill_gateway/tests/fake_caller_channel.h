#ifndef PERIDOTMILL_GATEWAY_TESTS_FAKE_CALLER_CHANNEL_H_
#define PERIDOTMILL_GATEWAY_TESTS_FAKE_CALLER_CHANNEL_H_

#include <string>
#include <utility>
#include <vector>

#include "peridotmill_core/http/response_writer.h"

namespace peridotmill {

// Records what one caller has received.
class FakeCallerChannel final : public ResponseWriter {
 public:
  void SendHead(const HttpResponseHead& head) override {
    heads.push_back(head);
  }
  void SendBody(std::string_view bytes) override {
    body += bytes;
    unsent_byte_count += is_reading ? 0 : bytes.size();
  }
  void Finish() override { is_finished = true; }
  void Abort() override { is_aborted = true; }
  void set_on_caller_gone(std::function<void()> callback) override {
    on_caller_gone = std::move(callback);
  }

  size_t unsent_bytes() const override { return unsent_byte_count; }
  void set_on_drained(std::function<void()> callback) override {
    on_drained = std::move(callback);
  }
  // Makes the caller read again and take all unsent bytes.
  void ReadUnsentBytes() {
    is_reading = true;
    unsent_byte_count = 0;
    if (on_drained) {
      on_drained();
    }
  }

  int status() const { return heads.empty() ? 0 : heads.front().status; }

  std::vector<HttpResponseHead> heads;
  std::string body;
  bool is_finished = false;
  bool is_aborted = false;
  bool is_reading = true;
  size_t unsent_byte_count = 0;
  std::function<void()> on_caller_gone;
  std::function<void()> on_drained;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_FAKE_CALLER_CHANNEL_H_
