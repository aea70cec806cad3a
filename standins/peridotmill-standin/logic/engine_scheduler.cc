#include "standins/peridotmill-standin/logic/engine_scheduler.h"

#include <algorithm>
#include <utility>

#include "standins/peridotmill-standin/logic/prompt.h"

namespace peridotmill::standin {
namespace {

Duration PrefillCost(EngineScheduler& engine,
                     const EngineRequest& request,
                     TimePoint now) {
  const size_t hits = UsePrefix(engine.cache, request.prefix_hashes, now);
  const auto cached = static_cast<int32_t>(
      hits *
      static_cast<size_t>(TokenCountOf(std::string(kPrefixBlockBytes, 'x'))));
  const int32_t tokens =
      std::max(0, request.prompt_tokens - cached) + request.resume_from;
  return engine.settings.prefill_per_token * tokens;
}

// Starts waiting requests and returns their prefill time.
Duration Admit(EngineScheduler& engine,
               TimePoint now,
               std::vector<EngineOutput>& outputs) {
  Duration prefill{};
  while (!engine.waiting.empty() &&
         static_cast<int32_t>(engine.running.size()) <
             engine.settings.max_running) {
    EngineRequest request = std::move(engine.waiting.front());
    engine.waiting.pop_front();
    outputs.push_back({EngineOutput::Kind::kStarted, request.number,
                       request.resume_from, ""});
    prefill += PrefillCost(engine, request, now);
    const int32_t first = request.resume_from;
    engine.running.push_back({std::move(request), first});
  }
  return prefill;
}

void EndStep(EngineScheduler& engine, std::vector<EngineOutput>& outputs) {
  for (EngineScheduler::Sequence& sequence : engine.running) {
    const EngineRequest& request = sequence.request;
    if (sequence.next < request.length) {
      outputs.push_back({EngineOutput::Kind::kToken, request.number,
                         sequence.next,
                         OutputToken(request.output_seed, sequence.next)});
      ++sequence.next;
    }
    if (sequence.next >= request.length) {
      outputs.push_back(
          {EngineOutput::Kind::kFinished, request.number, request.length, ""});
    }
  }
  std::erase_if(engine.running, [](const EngineScheduler::Sequence& sequence) {
    return sequence.next >= sequence.request.length;
  });
}

void BeginStep(EngineScheduler& engine,
               TimePoint now,
               std::vector<EngineOutput>& outputs) {
  const Duration prefill = Admit(engine, now, outputs);
  if (engine.running.empty()) {
    engine.step_end.reset();
    return;
  }
  const Duration step = engine.settings.step_base +
                        engine.settings.step_per_sequence *
                            static_cast<int64_t>(engine.running.size()) +
                        prefill;
  engine.step_end =
      now + Duration(static_cast<Duration::rep>(
                static_cast<double>(step.count()) * engine.slow_factor));
}

}  // namespace

EngineScheduler MakeScheduler(const EngineSettings& settings) {
  EngineScheduler engine;
  engine.settings = settings;
  engine.cache.capacity = static_cast<size_t>(settings.cache_blocks);
  return engine;
}

bool Submit(EngineScheduler& engine, EngineRequest request) {
  const size_t open = engine.running.size() + engine.waiting.size();
  if (static_cast<int32_t>(open) >=
      engine.settings.max_running + engine.settings.max_waiting) {
    return false;
  }
  const auto place =
      std::upper_bound(engine.waiting.begin(), engine.waiting.end(), request,
                       [](const EngineRequest& a, const EngineRequest& b) {
                         return a.priority < b.priority;
                       });
  engine.waiting.insert(place, std::move(request));
  return true;
}

bool Cancel(EngineScheduler& engine, uint64_t number) {
  const size_t ended = std::erase_if(
      engine.waiting,
      [&](const EngineRequest& request) { return request.number == number; });
  return std::erase_if(engine.running,
                       [&](const EngineScheduler::Sequence& sequence) {
                         return sequence.request.number == number;
                       }) +
             ended >
         0;
}

std::vector<EngineOutput> Advance(EngineScheduler& engine, TimePoint now) {
  std::vector<EngineOutput> outputs;
  while (engine.step_end && *engine.step_end <= now) {
    const TimePoint end = *engine.step_end;
    EndStep(engine, outputs);
    BeginStep(engine, end, outputs);
  }
  if (!engine.step_end) {
    BeginStep(engine, now, outputs);
  }
  return outputs;
}

}  // namespace peridotmill::standin
