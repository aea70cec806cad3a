#ifndef PERIDOTMILL_GATEWAY_TESTS_SIMULATED_FLEET_H_
#define PERIDOTMILL_GATEWAY_TESTS_SIMULATED_FLEET_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/calls/endpoint_call.h"
#include "peridotmill_gateway/calls/stage_call.h"
#include "peridotmill_gateway/configuration/gateway_config.h"

namespace peridotmill {

// Endpoints of stage pools and engines in simulated time. Stage endpoints run
// one call at a time, keep results in limited memory, and fetch the inputs of a
// call when its turn comes; engines respond after a fixed time.
class SimulatedFleet final : public StageCaller, public EndpointCaller {
 public:
  explicit SimulatedFleet(TimerQueue& timers) : timers_(timers) {}

  void AddStageEndpoint(const EndpointRegistration& registration,
                        const StagePoolDefinition& pool) {
    StageEndpoint& endpoint = stage_endpoints_[registration.address];
    endpoint.registration = registration;
    endpoint.pool = pool;
  }
  // Sets the size of a result for each stage of a route. Request ids begin with
  // the name of their route and a hyphen.
  void SetResultBytes(const std::string& route, std::vector<int64_t> bytes) {
    result_bytes_[route] = std::move(bytes);
  }
  void set_engine_times(Duration fetch, Duration first_event) {
    engine_fetch_time_ = fetch;
    engine_first_event_time_ = first_event;
  }
  // Makes one of `interval` engine calls take this long to its first event.
  void set_slow_engine_calls(int interval, Duration first_event) {
    slow_engine_call_interval_ = interval;
    slow_engine_first_event_time_ = first_event;
  }

  // StageCaller
  std::unique_ptr<StageCallHandle> Start(const EndpointRegistration& endpoint,
                                         const std::vector<StageItem>& items,
                                         StageCallListener* listener) override {
    auto call = std::make_shared<StageCall>();
    call->items = items;
    call->listener = listener;
    StageEndpoint& target = stage_endpoints_.at(endpoint.address);
    target.queue.push_back(call);
    StartNextCall(target);
    return std::make_unique<StageHandle>(std::move(call));
  }
  void Release(const EndpointIncarnation&,
               const std::vector<ResultHandle>& handles) override {
    for (const ResultHandle& handle : handles) {
      DeleteResult(handle);
    }
  }

  // EndpointCaller
  std::unique_ptr<EndpointCallHandle> Start(
      const EndpointCall& call,
      EndpointCallListener* listener) override {
    auto open = std::make_unique<EngineHandle>();
    EngineHandle* const raw = open.get();
    const bool is_slow = slow_engine_call_interval_ > 0 &&
                         ++engine_call_count_ % slow_engine_call_interval_ == 0;
    const Duration first_event_time =
        is_slow ? slow_engine_first_event_time_ : engine_first_event_time_;
    open->fetch = timers_.After(
        engine_fetch_time_,
        [this, raw, listener, first_event_time,
         domain = call.endpoint.failure_domain,
         inputs = call.inputs.value_or(std::vector<ResultHandle>())] {
          if (!FetchInputs(inputs, domain)) {
            ++lost_input_count_;
            EndpointResponseHead head;
            head.status = 409;
            head.is_stated_not_run = true;
            listener->OnResponseHead(head);
            listener->OnResponseEnd(HttpCallEnd::kComplete);
            return;
          }
          raw->first_event =
              timers_.After(first_event_time - engine_fetch_time_, [listener] {
                EndpointResponseHead head;
                head.status = 200;
                head.is_authentic = true;
                head.is_event_stream = true;
                listener->OnResponseHead(head);
                listener->OnResponseBody("id: 1\ndata: a\n\n");
                listener->OnResponseEnd(HttpCallEnd::kComplete);
              });
        });
    return open;
  }

  // Bytes of stage results that were fetched, and those of them that crossed
  // failure domains.
  int64_t fetched_bytes() const { return fetched_bytes_; }
  int64_t cross_domain_bytes() const { return cross_domain_bytes_; }
  // Calls and items that found an input deleted.
  int lost_input_count() const { return lost_input_count_; }
  // Items for which an endpoint had no memory.
  int rejected_result_count() const { return rejected_result_count_; }
  int64_t call_count() const { return call_count_; }

 private:
  struct StageCall {
    std::vector<StageItem> items;
    StageCallListener* listener = nullptr;
  };
  struct StageEndpoint {
    EndpointRegistration registration;
    StagePoolDefinition pool;
    std::deque<std::shared_ptr<StageCall>> queue;
    bool is_running = false;
    int64_t used_bytes = 0;
    std::unique_ptr<Timer> call_end;
  };
  struct Result {
    StageEndpoint* producer = nullptr;
    int64_t bytes = 0;
    std::unique_ptr<Timer> expiry;
  };
  class StageHandle final : public StageCallHandle {
   public:
    explicit StageHandle(std::shared_ptr<StageCall> call)
        : call_(std::move(call)) {}
    ~StageHandle() override { call_->listener = nullptr; }

   private:
    std::shared_ptr<StageCall> call_;
  };
  class EngineHandle final : public EndpointCallHandle {
   public:
    void PauseReading() override {}
    void ResumeReading() override {}
    std::unique_ptr<Timer> fetch;
    std::unique_ptr<Timer> first_event;
  };

  bool FetchInputs(const std::vector<ResultHandle>& inputs,
                   const FailureDomainId& domain) {
    for (const ResultHandle& input : inputs) {
      const auto result = results_.find(input);
      if (result == results_.end()) {
        return false;
      }
      fetched_bytes_ += result->second.bytes;
      if (result->second.producer->registration.failure_domain != domain) {
        cross_domain_bytes_ += result->second.bytes;
      }
    }
    return true;
  }

  void StartNextCall(StageEndpoint& endpoint) {
    if (endpoint.is_running || endpoint.queue.empty()) {
      return;
    }
    endpoint.is_running = true;
    ++call_count_;
    const std::shared_ptr<StageCall> call = endpoint.queue.front();
    endpoint.queue.pop_front();
    StageResponse response;
    response.outcome = StageCallOutcome::kAnswered;
    int run_count = 0;
    for (const StageItem& item : call->items) {
      response.results.push_back(RunItem(endpoint, item));
      run_count += response.results.back().outcome == StageItemOutcome::kDone;
    }
    endpoint.call_end = timers_.After(
        endpoint.pool.call_time + run_count * endpoint.pool.item_time,
        [this, &endpoint, call, response = std::move(response)] {
          endpoint.is_running = false;
          for (const StageItemResult& result : response.results) {
            ExpireAfterRetention(result.handle, endpoint);
          }
          if (call->listener != nullptr) {
            call->listener->OnStageResponse(response);
          }
          StartNextCall(endpoint);
        });
  }

  StageItemResult RunItem(StageEndpoint& endpoint, const StageItem& item) {
    if (!FetchInputs(item.inputs, endpoint.registration.failure_domain)) {
      ++lost_input_count_;
      return {StageItemOutcome::kInputGone, ResultHandle()};
    }
    const std::string& request = item.request.value();
    const int64_t bytes =
        result_bytes_.at(request.substr(0, request.find('-'))).at(item.stage);
    if (endpoint.pool.result_capacity_bytes > 0 &&
        endpoint.used_bytes + bytes > endpoint.pool.result_capacity_bytes) {
      ++rejected_result_count_;
      return {StageItemOutcome::kNoResultCapacity, ResultHandle()};
    }
    endpoint.used_bytes += bytes;
    const ResultHandle handle("r" + std::to_string(++result_count_));
    results_[handle] = {&endpoint, bytes, nullptr};
    return {StageItemOutcome::kDone, handle};
  }

  void ExpireAfterRetention(const ResultHandle& handle,
                            const StageEndpoint& endpoint) {
    const auto result = results_.find(handle);
    if (result != results_.end()) {
      result->second.expiry =
          timers_.After(endpoint.pool.result_retention,
                        [this, handle] { DeleteResult(handle); });
    }
  }

  void DeleteResult(const ResultHandle& handle) {
    const auto result = results_.find(handle);
    if (result != results_.end()) {
      result->second.producer->used_bytes -= result->second.bytes;
      results_.erase(result);
    }
  }

  TimerQueue& timers_;
  std::map<std::string, StageEndpoint> stage_endpoints_;
  std::map<std::string, std::vector<int64_t>> result_bytes_;
  std::map<ResultHandle, Result> results_;
  Duration engine_fetch_time_ = std::chrono::milliseconds(15);
  Duration engine_first_event_time_ = std::chrono::milliseconds(90);
  Duration slow_engine_first_event_time_ = std::chrono::milliseconds(90);
  int slow_engine_call_interval_ = 0;
  int engine_call_count_ = 0;
  int64_t result_count_ = 0;
  int64_t call_count_ = 0;
  int64_t fetched_bytes_ = 0;
  int64_t cross_domain_bytes_ = 0;
  int lost_input_count_ = 0;
  int rejected_result_count_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_SIMULATED_FLEET_H_
