#include <benchmark/benchmark.h>

#include <chrono>
#include <string>
#include <variant>

#include "peridotmill_actions/peridotmill_actions.h"

namespace peridotmill {
namespace {

using std::chrono::milliseconds;

// Answers every store call at once: reads find nothing, writes succeed.
StoreAnswer Succeed() {
  StoreAnswer answer;
  answer.status = StoreStatus::kOk;
  return answer;
}

// A node that is the only one, so that all buckets are its own.
class SingleNode {
 public:
  SingleNode() : state_(MakeActionsState({NodeId("n0")}, now_)) {
    Drain(SetActionNodes(state_, {{NodeId("n0"), Incarnation(), false}}, now_));
    Advance(milliseconds(2500));
  }

  ActionsState& state() { return state_; }
  const ActionTime& now() const { return now_; }
  uint64_t results() const { return results_; }

  void Advance(Duration amount) {
    now_.steady += amount;
    now_.wall += std::chrono::duration_cast<WallTime::duration>(amount);
    Drain(OnActionTick(state_, now_));
  }

  void Drain(const ActionCommands& commands) {
    for (const ActionCommand& command : commands) {
      if (const auto* call = std::get_if<ActionStoreCall>(&command)) {
        Drain(OnActionStoreAnswer(state_, call->operation, Succeed(), now_));
      } else if (std::holds_alternative<ActionResult>(command)) {
        ++results_;
      }
    }
  }

 private:
  ActionTime now_{TimePoint(std::chrono::hours(1)),
                  WallTime(std::chrono::hours(24 * 365 * 50))};
  ActionsState state_;
  uint64_t results_ = 0;
};

// One claim from begin to the recorded outcome, with the log in memory grown by
// the claims before it. Time moves so that no write waits for its pace.
void ClaimAndOutcome(benchmark::State& bench) {
  SingleNode node;
  uint64_t number = 0;
  for ([[maybe_unused]] auto _ : bench) {
    const Nonce nonce("nonce" + std::to_string(number));
    BeginAction begin{RequestId("r"),
                      TeamId("team"),
                      IdempotencyKey("key" + std::to_string(number)),
                      "0123456789abcdef0123456789abcdef",
                      nonce,
                      node.now().steady + std::chrono::seconds(4)};
    node.Drain(Begin(node.state(), begin, node.now()));
    node.Advance(milliseconds(500));
    ActionAnswer answer;
    answer.body.assign(512, 'x');
    node.Drain(RecordOutcome(node.state(), nonce, answer, node.now()));
    node.Advance(milliseconds(500));
    ++number;
  }
  bench.counters["results"] = static_cast<double>(node.results());
}
// The iterations are fixed, so that runs grow the same tables.
BENCHMARK(ClaimAndOutcome)->Iterations(20000);

// Encoding and decoding of a segment with as many entries as one write carries.
void SegmentRoundTrip(benchmark::State& bench) {
  Segment segment{1, 2, Nonce("writer"), 3, {}};
  for (int64_t i = 0; i < bench.range(0); ++i) {
    LogEntry entry;
    entry.kind = i % 2 == 0 ? LogEntryKind::kClaim : LogEntryKind::kOutcome;
    entry.team = TeamId("team");
    entry.key = IdempotencyKey("key" + std::to_string(i));
    entry.nonce = Nonce("0123456789abcdef0123456789abcdef");
    entry.answer.body.assign(512, 'x');
    segment.entries.push_back(entry);
  }
  for ([[maybe_unused]] auto _ : bench) {
    benchmark::DoNotOptimize(DecodeSegment(EncodeSegment(segment)));
  }
  bench.SetItemsProcessed(bench.iterations() * bench.range(0));
}
BENCHMARK(SegmentRoundTrip)->Arg(2)->Arg(32);

}  // namespace
}  // namespace peridotmill
