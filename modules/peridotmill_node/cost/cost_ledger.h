#ifndef PERIDOTMILL_NODE_COST_COST_LEDGER_H_
#define PERIDOTMILL_NODE_COST_COST_LEDGER_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>

#include "peridotmill_config/peridotmill_config.h"
#include "peridotmill_core/peridotmill_core.h"

namespace peridotmill {

// Who caused a spend and where.
struct CostAccount {
  StageId stage;
  TeamId team;
  PipelineId pipeline;

  friend auto operator<=>(const CostAccount&, const CostAccount&) = default;
};

// Exact sums, so that parties who add them up get the same total.
struct CostEntry {
  uint64_t attempts = 0;
  MicroUnits spend;
  // The part of `spend` that no on-time answer used: cancelled, superseded,
  // failed or late attempts.
  MicroUnits wasted;
};

// Beyond this number, new accounts are merged into one per stage and pipeline
// (team "other"), so that the ledger stays bounded with 30,000 teams.
inline constexpr size_t kMaxCostAccounts = 100'000;

struct CostLedger {
  std::map<CostAccount, CostEntry> entries;
};

// What an attempt used.
struct AttemptUse {
  TokenCount prompt_tokens;
  TokenCount output_tokens;
  Duration elapsed{};
};

// Price of an attempt; seconds are rounded up to the next micro-unit.
MicroUnits CostOf(const Price& price, const AttemptUse& use);

// Adds a spend. `is_wasted` spend counts in both sums.
void AddSpend(CostLedger& ledger,
              const CostAccount& account,
              MicroUnits spend,
              bool is_wasted);

// Marks spend that was counted as useful as wasted, when the request that it
// was for ends without an on-time answer.
void MarkWasted(CostLedger& ledger,
                const CostAccount& account,
                MicroUnits spend);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_COST_COST_LEDGER_H_
