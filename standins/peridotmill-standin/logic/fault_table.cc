#include "standins/peridotmill-standin/logic/fault_table.h"

#include <array>
#include <utility>

namespace peridotmill::standin {
namespace {

constexpr std::array<std::pair<FaultKind, std::string_view>, 15> kNames = {{
    {FaultKind::kDown, "down"},
    {FaultKind::kSlow, "slow"},
    {FaultKind::kHang, "hang"},
    {FaultKind::kRefuse, "refuse"},
    {FaultKind::kError, "error"},
    {FaultKind::kDropAnswer, "drop_answer"},
    {FaultKind::kCutStream, "cut_stream"},
    {FaultKind::kWrongIdentity, "wrong_identity"},
    {FaultKind::kRepeatAnswer, "repeat_answer"},
    {FaultKind::kOversized, "oversized"},
    {FaultKind::kMalformed, "malformed"},
    {FaultKind::kLeaving, "leaving"},
    {FaultKind::kLostWriteAnswer, "lost_write_answer"},
    {FaultKind::kStale, "stale"},
    {FaultKind::kLostWatchEvent, "lost_watch_event"},
}};

bool IsActive(const FaultTable& table, const Fault& fault, TimePoint now) {
  return now >= table.start + fault.from && now < table.start + fault.to;
}

bool Affects(const Fault& fault, std::string_view callers_domain) {
  return fault.callers_domain.empty() || fault.callers_domain == callers_domain;
}

}  // namespace

std::string_view ToString(FaultKind kind) {
  for (const auto& [known, name] : kNames) {
    if (known == kind) {
      return name;
    }
  }
  return "";
}

std::optional<FaultKind> FaultKindFrom(std::string_view name) {
  for (const auto& [kind, known] : kNames) {
    if (known == name) {
      return kind;
    }
  }
  return std::nullopt;
}

const Fault* DrawFault(const FaultTable& table,
                       FaultKind kind,
                       std::string_view callers_domain,
                       TimePoint now,
                       Random& random) {
  for (const Fault& fault : table.faults) {
    if (fault.kind == kind && IsActive(table, fault, now) &&
        Affects(fault, callers_domain) && random.Unit() < fault.probability) {
      return &fault;
    }
  }
  return nullptr;
}

double SlowFactor(const FaultTable& table,
                  std::string_view callers_domain,
                  TimePoint now) {
  double factor = 1;
  for (const Fault& fault : table.faults) {
    if (fault.kind == FaultKind::kSlow && IsActive(table, fault, now) &&
        Affects(fault, callers_domain)) {
      factor *= fault.factor;
    }
  }
  return factor;
}

bool IsActiveForAll(const FaultTable& table, FaultKind kind, TimePoint now) {
  for (const Fault& fault : table.faults) {
    if (fault.kind == kind && fault.callers_domain.empty() &&
        IsActive(table, fault, now)) {
      return true;
    }
  }
  return false;
}

std::optional<TimePoint> NextChange(const FaultTable& table, TimePoint now) {
  std::optional<TimePoint> next;
  for (const Fault& fault : table.faults) {
    for (const TimePoint at :
         {table.start + fault.from, table.start + fault.to}) {
      if (at > now && (!next || at < *next)) {
        next = at;
      }
    }
  }
  return next;
}

}  // namespace peridotmill::standin
