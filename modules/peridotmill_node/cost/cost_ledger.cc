#include "peridotmill_node/cost/cost_ledger.h"

namespace peridotmill {
namespace {

constexpr char kOtherTeams[] = "other";

CostEntry& EntryOf(CostLedger& ledger, const CostAccount& account) {
  const auto known = ledger.entries.find(account);
  if (known != ledger.entries.end()) {
    return known->second;
  }
  if (ledger.entries.size() < kMaxCostAccounts) {
    return ledger.entries[account];
  }
  return ledger.entries[{account.stage, TeamId(kOtherTeams), account.pipeline}];
}

}  // namespace

MicroUnits CostOf(const Price& price, const AttemptUse& use) {
  const int64_t nanoseconds =
      std::chrono::duration_cast<std::chrono::nanoseconds>(use.elapsed).count();
  constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;
  const int64_t for_time =
      (price.per_second.value() * nanoseconds + kNanosecondsPerSecond - 1) /
      kNanosecondsPerSecond;
  return price.per_call + price.per_prompt_token * use.prompt_tokens.value() +
         price.per_output_token * use.output_tokens.value() +
         MicroUnits(for_time);
}

void AddSpend(CostLedger& ledger,
              const CostAccount& account,
              MicroUnits spend,
              bool is_wasted) {
  CostEntry& entry = EntryOf(ledger, account);
  ++entry.attempts;
  entry.spend += spend;
  if (is_wasted) {
    entry.wasted += spend;
  }
}

void MarkWasted(CostLedger& ledger,
                const CostAccount& account,
                MicroUnits spend) {
  EntryOf(ledger, account).wasted += spend;
}

}  // namespace peridotmill
