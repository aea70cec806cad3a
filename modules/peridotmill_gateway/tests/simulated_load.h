#ifndef PERIDOTMILL_GATEWAY_TESTS_SIMULATED_LOAD_H_
#define PERIDOTMILL_GATEWAY_TESTS_SIMULATED_LOAD_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_gateway/requests/gateway.h"

namespace peridotmill {

// One kind of request that simulated callers send.
struct SimulatedKind {
  std::string route;
  // Poisson arrivals.
  double requests_per_second = 0;
  // Requests that arrive together.
  int clump = 1;
  Duration target_latency = Duration::zero();
  Duration deadline = Duration::zero();
  // Items of each stage.
  std::vector<int> items;
  int64_t prompt_tokens = 1000;
  // Prompts share one of this many prefixes of `prefix_tokens` tokens.
  int prefix_count = 1;
  int64_t prefix_tokens = 1000;
};

// What the callers of one kind got.
struct CallerOutcomes {
  int sent = 0;
  int on_time = 0;
  int late = 0;
  int unserved = 0;
  // Refusals of first attempts, and the longest time until one was received.
  int first_refusals = 0;
  Duration longest_refusal = Duration::zero();

  double on_time_share() const {
    return sent == 0 ? 0 : static_cast<double>(on_time) / sent;
  }
};

// Callers that send requests to a gateway at random times, and return once
// after a refusal, when Retry-After says.
class SimulatedLoad {
 public:
  SimulatedLoad(Gateway& gateway,
                const Clock& clock,
                TimerQueue& timers,
                uint64_t seed)
      : gateway_(gateway), clock_(clock), timers_(timers), random_(seed) {}

  // Sends requests of `kind` from now on for `duration`.
  void Start(const SimulatedKind& kind, Duration duration) {
    kinds_.push_back(std::make_unique<KindState>(
        KindState{kind, clock_.Now() + duration, nullptr}));
    ScheduleArrival(*kinds_.back());
  }

  const CallerOutcomes& outcomes(const std::string& route) {
    return outcomes_[route];
  }

 private:
  struct KindState {
    SimulatedKind kind;
    TimePoint end;
    std::unique_ptr<Timer> next_arrival;
  };

  // One caller, which lives until its request is answered or given up.
  class Caller final : public ResponseWriter,
                       public std::enable_shared_from_this<Caller> {
   public:
    Caller(SimulatedLoad& load, const SimulatedKind& kind, std::string prefix)
        : load_(load),
          kind_(kind),
          prefix_(std::move(prefix)),
          first_sent_at_(load.clock_.Now()) {}

    void Send() {
      ++attempts_;
      CallerRequest request;
      request.id =
          RequestId(kind_.route + "-" + std::to_string(++load_.request_count_));
      request.host = "host";
      request.path = "/" + kind_.route + "/x";
      request.deadline = kind_.deadline - (load_.clock_.Now() - first_sent_at_);
      request.generation = GenerationDemand{
          .prompt_tokens = kind_.prompt_tokens,
          .parts = {
              {prefix_, kind_.prefix_tokens},
              {request.id.value(), kind_.prompt_tokens - kind_.prefix_tokens}}};
      request.stage_item_counts = kind_.items;
      request.stage_input_key = "k";
      load_.gateway_.Handle(std::move(request), shared_from_this());
    }

    // ResponseWriter
    void SendHead(const HttpResponseHead& head) override {
      const Duration elapsed = load_.clock_.Now() - first_sent_at_;
      CallerOutcomes& outcomes = load_.outcomes_[kind_.route];
      if (head.status == 200) {
        ++(elapsed <= kind_.target_latency ? outcomes.on_time : outcomes.late);
        return;
      }
      if (attempts_ == 1 && head.status == 503) {
        ++outcomes.first_refusals;
        outcomes.longest_refusal = std::max(outcomes.longest_refusal, elapsed);
        const auto retry_after = head.headers.Find("Retry-After");
        if (retry_after) {
          const auto delay = FromSeconds(std::stod(std::string(*retry_after)));
          if (delay <= (kind_.deadline - elapsed) / 3) {
            return_timer_ = load_.timers_.After(
                delay, [self = shared_from_this()] { self->Send(); });
            return;
          }
        }
      }
      ++outcomes.unserved;
    }
    void SendBody(std::string_view) override {}
    void Finish() override {}
    void Abort() override {}
    void set_on_caller_gone(std::function<void()>) override {}
    size_t unsent_bytes() const override { return 0; }
    void set_on_drained(std::function<void()>) override {}

   private:
    static Duration FromSeconds(double seconds) {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(seconds));
    }

    SimulatedLoad& load_;
    const SimulatedKind kind_;
    const std::string prefix_;
    const TimePoint first_sent_at_;
    int attempts_ = 0;
    std::unique_ptr<Timer> return_timer_;
  };

  void ScheduleArrival(KindState& state) {
    const double seconds = -std::log(1 - random_.Unit()) * state.kind.clump /
                           state.kind.requests_per_second;
    const auto delay = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
    if (clock_.Now() + delay > state.end) {
      return;
    }
    state.next_arrival = timers_.After(delay, [this, &state] {
      for (int i = 0; i < state.kind.clump; ++i) {
        ++outcomes_[state.kind.route].sent;
        const auto prefix =
            random_.Below(static_cast<uint64_t>(state.kind.prefix_count));
        auto caller = std::make_shared<Caller>(
            *this, state.kind, state.kind.route + std::to_string(prefix));
        caller->Send();
      }
      ScheduleArrival(state);
    });
  }

  Gateway& gateway_;
  const Clock& clock_;
  TimerQueue& timers_;
  Random random_;
  std::vector<std::unique_ptr<KindState>> kinds_;
  std::map<std::string, CallerOutcomes> outcomes_;
  int64_t request_count_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_SIMULATED_LOAD_H_
