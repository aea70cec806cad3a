#ifndef PERIDOTMILL_GATEWAY_TESTS_FAKE_STAGE_CALLER_H_
#define PERIDOTMILL_GATEWAY_TESTS_FAKE_STAGE_CALLER_H_

#include <memory>
#include <string>
#include <vector>

#include "peridotmill_gateway/calls/stage_call.h"

namespace peridotmill {

// Records stage calls; the test supplies the responses.
class FakeStageCaller final : public StageCaller {
 public:
  struct Call {
    EndpointRegistration endpoint;
    std::vector<StageItem> items;
    StageCallListener* listener = nullptr;
    bool is_open = true;
  };

  std::unique_ptr<StageCallHandle> Start(const EndpointRegistration& endpoint,
                                         const std::vector<StageItem>& items,
                                         StageCallListener* listener) override {
    calls.push_back(
        std::make_shared<Call>(Call{endpoint, items, listener, true}));
    return std::make_unique<Handle>(calls.back());
  }
  void Release(const EndpointIncarnation&,
               const std::vector<ResultHandle>& handles) override {
    released.insert(released.end(), handles.begin(), handles.end());
  }

  // Completes a call with a successful result for each item.
  void Answer(size_t index) {
    StageResponse response;
    response.outcome = StageCallOutcome::kAnswered;
    for (const StageItem& item : calls[index]->items) {
      response.results.push_back(
          {StageItemOutcome::kDone,
           ResultHandle(calls[index]->endpoint.address + "/" +
                        item.request.value() + "." +
                        std::to_string(item.stage) + "." +
                        std::to_string(item.piece))});
    }
    calls[index]->listener->OnStageResponse(std::move(response));
  }
  // Completes a call with a given response.
  void Answer(size_t index, StageResponse response) {
    calls[index]->listener->OnStageResponse(std::move(response));
  }

  std::vector<std::shared_ptr<Call>> calls;
  std::vector<ResultHandle> released;

 private:
  class Handle final : public StageCallHandle {
   public:
    explicit Handle(std::shared_ptr<Call> call) : call_(std::move(call)) {}
    ~Handle() override { call_->is_open = false; }

   private:
    std::shared_ptr<Call> call_;
  };
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_FAKE_STAGE_CALLER_H_
