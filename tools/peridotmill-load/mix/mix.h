#ifndef LOAD_MIX_MIX_H_
#define LOAD_MIX_MIX_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "peridotmill_core/errors/finding.h"

namespace peridotmill::load {

enum class RequestForm : uint8_t {
  kChat,
  kPipeline,
  // A pipeline request with an Idempotency-Key.
  kAction,
};

// One kind of request and its share of the load.
struct RequestClass {
  std::string name;
  RequestForm form = RequestForm::kPipeline;
  std::string pipeline;
  double weight = 1;
  std::string token;
  // Failure domain of the callers; used by sticky placement.
  std::string domain;
  int32_t prompt_bytes = 200;
  // Leading bytes that all prompts of the class have in common.
  int32_t shared_prefix_bytes = 0;
  // 0 lets the engine draw the length.
  int32_t output_tokens = 0;
  bool stream = false;
  std::chrono::milliseconds deadline{4000};
  // Share of actions that are sent again, through another entry node.
  double repeat_probability = 0;
  std::chrono::milliseconds max_repeat_delay{1000};
};

// The rate is multiplied by `factor` in [from, to).
struct Burst {
  std::chrono::milliseconds from{};
  std::chrono::milliseconds to{};
  double factor = 1;
};

struct Mix {
  int64_t seed = 1;
  double rate_per_second = 10;
  std::chrono::milliseconds duration{10000};
  std::vector<Burst> bursts;
  std::vector<RequestClass> classes;
};

// Reads a mix; all faults become findings.
Mix ReadMix(const std::string& text,
            const std::string& file,
            Findings& findings);

}  // namespace peridotmill::load

#endif  // LOAD_MIX_MIX_H_
