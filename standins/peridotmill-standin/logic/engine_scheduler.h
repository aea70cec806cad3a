#ifndef STANDINS_LOGIC_ENGINE_SCHEDULER_H_
#define STANDINS_LOGIC_ENGINE_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "peridotmill_core/time/clock.h"
#include "standins/peridotmill-standin/logic/prefix_cache.h"

namespace peridotmill::standin {

struct EngineSettings {
  int32_t max_running = 16;
  int32_t max_waiting = 64;
  // One step gives each running sequence one token.
  Duration step_base = std::chrono::milliseconds(8);
  Duration step_per_sequence = std::chrono::microseconds(500);
  // For each prompt token that the prefix cache does not hold.
  Duration prefill_per_token = std::chrono::microseconds(100);
  int32_t cache_blocks = 4096;
  int32_t output_median = 60;
  int32_t output_max = 400;
};

struct EngineRequest {
  // Number of the request within this engine.
  uint64_t number = 0;
  uint64_t output_seed = 0;
  std::vector<uint64_t> prefix_hashes;
  int32_t prompt_tokens = 0;
  // Index of the first token to produce and of the one after the last.
  int32_t resume_from = 0;
  int32_t length = 0;
  // 0 is served first.
  int32_t priority = 1;
};

struct EngineOutput {
  enum class Kind : uint8_t { kStarted, kToken, kFinished };
  Kind kind = Kind::kToken;
  uint64_t number = 0;
  // Index and text for kToken; index is the length for kFinished.
  int32_t index = 0;
  std::string text;
};

struct EngineScheduler {
  struct Sequence {
    EngineRequest request;
    int32_t next = 0;
  };
  EngineSettings settings;
  PrefixCache cache;
  std::vector<Sequence> running;
  // By priority, then by arrival. Together with the running sequences at most
  // max_running + max_waiting.
  std::deque<EngineRequest> waiting;
  std::optional<TimePoint> step_end;
  // Multiplies the duration of the steps that begin from now on.
  double slow_factor = 1;
};

EngineScheduler MakeScheduler(const EngineSettings& settings);

// False when the engine is full; the request was then not run.
bool Submit(EngineScheduler& engine, EngineRequest request);

// Removes the request. Returns true if it was waiting or running.
bool Cancel(EngineScheduler& engine, uint64_t number);

// Ends the steps that are due by `now` and begins the next one.
std::vector<EngineOutput> Advance(EngineScheduler& engine, TimePoint now);

}  // namespace peridotmill::standin

#endif  // STANDINS_LOGIC_ENGINE_SCHEDULER_H_
