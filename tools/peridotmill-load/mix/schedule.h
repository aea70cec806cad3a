#ifndef LOAD_MIX_SCHEDULE_H_
#define LOAD_MIX_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "peridotmill_core/time/clock.h"
#include "tools/peridotmill-load/mix/mix.h"

namespace peridotmill::load {

// An entry node and the failure domain it stands in.
struct Entry {
  std::string domain;
  std::string url;
};

enum class Placement : uint8_t {
  kRoundRobin,
  // Entry nodes of the class's failure domain first.
  kSticky,
};

// One request to send.
struct Planned {
  // After the start of the run.
  Duration at{};
  size_t request_class = 0;
  size_t entry = 0;
  // Unique for a request; a repeated action has the marker of its first.
  std::string marker;
  // Empty unless the request is an action.
  std::string key;
  std::string prompt;
  bool is_repeat = false;
};

// The whole run in order of time: Poisson arrivals whose rate follows the
// bursts, decided by the seed alone, so that it does not slow with the system.
std::vector<Planned> MakeSchedule(const Mix& mix,
                                  const std::vector<Entry>& entries,
                                  Placement placement);

}  // namespace peridotmill::load

#endif  // LOAD_MIX_SCHEDULE_H_
