#ifndef STANDINS_LOGIC_FAULT_TABLE_H_
#define STANDINS_LOGIC_FAULT_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill::standin {

enum class FaultKind : uint8_t {
  // Refuses connections and breaks open ones.
  kDown,
  // Multiplies service times by the factor.
  kSlow,
  // Accepts requests and never answers; nothing is run.
  kHang,
  // Answers that the request was not run.
  kRefuse,
  // Runs the request and answers with a failure.
  kError,
  // Runs the request and breaks the connection instead of answering.
  kDropAnswer,
  kCutStream,
  kWrongIdentity,
  // Sends stream chunks twice, or answers a call with the previous answer.
  kRepeatAnswer,
  kOversized,
  kMalformed,
  // Reports that the endpoint is leaving.
  kLeaving,
  // Applies a store write and breaks the connection instead of answering.
  kLostWriteAnswer,
  // Repeats the load report or host list that was current at the start.
  kStale,
  kLostWatchEvent,
};

std::string_view ToString(FaultKind kind);
std::optional<FaultKind> FaultKindFrom(std::string_view name);

// One row of a fault table; active in [from, to) after the table was set.
struct Fault {
  FaultKind kind = FaultKind::kDown;
  Duration from{};
  Duration to{};
  double factor = 1;
  double probability = 1;
  // Affects only callers of this failure domain; empty means all callers.
  std::string callers_domain;
};

struct FaultTable {
  std::vector<Fault> faults;
  TimePoint start;
};

// Draws whether a fault of this kind affects a request that arrives now.
const Fault* DrawFault(const FaultTable& table,
                       FaultKind kind,
                       std::string_view callers_domain,
                       TimePoint now,
                       Random& random);

// Product of the factors of the active slow faults.
double SlowFactor(const FaultTable& table,
                  std::string_view callers_domain,
                  TimePoint now);

// Whether a fault of this kind that affects all callers is active.
bool IsActiveForAll(const FaultTable& table, FaultKind kind, TimePoint now);

// The next time at which a fault begins or ends.
std::optional<TimePoint> NextChange(const FaultTable& table, TimePoint now);

}  // namespace peridotmill::standin

#endif  // STANDINS_LOGIC_FAULT_TABLE_H_
