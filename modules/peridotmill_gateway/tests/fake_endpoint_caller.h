#ifndef PERIDOTMILL_GATEWAY_TESTS_FAKE_ENDPOINT_CALLER_H_
#define PERIDOTMILL_GATEWAY_TESTS_FAKE_ENDPOINT_CALLER_H_

#include <memory>
#include <string>
#include <vector>

#include "peridotmill_gateway/calls/endpoint_call.h"

namespace peridotmill {

// Records calls to endpoints. The test responds through their listeners.
class FakeEndpointCaller final : public EndpointCaller {
 public:
  struct Call {
    EndpointCall call;
    EndpointCallListener* listener = nullptr;
    bool is_open = true;
    bool is_paused = false;
  };

  std::unique_ptr<EndpointCallHandle> Start(
      const EndpointCall& call,
      EndpointCallListener* listener) override {
    calls.push_back(std::make_shared<Call>(Call{call, listener, true}));
    return std::make_unique<OpenCall>(calls.back());
  }

  EndpointCallListener& listener(size_t index) {
    return *calls.at(index)->listener;
  }

  static EndpointResponseHead SuccessHead() {
    EndpointResponseHead head;
    head.status = 200;
    head.is_authentic = true;
    return head;
  }
  static EndpointResponseHead StreamHead() {
    EndpointResponseHead head = SuccessHead();
    head.is_event_stream = true;
    return head;
  }
  static EndpointResponseHead RefusalHead(int status = 503) {
    EndpointResponseHead head;
    head.status = status;
    head.is_stated_not_run = true;
    return head;
  }

  std::vector<std::shared_ptr<Call>> calls;

 private:
  class OpenCall final : public EndpointCallHandle {
   public:
    explicit OpenCall(std::shared_ptr<Call> call) : call_(std::move(call)) {}
    ~OpenCall() override { call_->is_open = false; }
    void PauseReading() override { call_->is_paused = true; }
    void ResumeReading() override { call_->is_paused = false; }

   private:
    std::shared_ptr<Call> call_;
  };
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_FAKE_ENDPOINT_CALLER_H_
