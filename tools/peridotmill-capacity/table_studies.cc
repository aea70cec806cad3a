#include "table_studies.h"

#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet_input.h"
#include "measurement.h"
#include "memory_store.h"
#include "peridotmill_actions/peridotmill_actions.h"
#include "peridotmill_config/distribution/config_distribution.h"
#include "peridotmill_orders/peridotmill_orders.h"

namespace peridotmill::capacity {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A node that is home of all 64 buckets, so that its store calls are those of a
// whole fleet. Each action takes a claim and 100 ms later records its outcome.
class ActionsDriver {
 public:
  explicit ActionsDriver(size_t answer_bytes) : answer_bytes_(answer_bytes) {
    state_ = MakeActionsState({NodeId("home")}, now_);
    Handle(SetActionNodes(state_, {{NodeId("home"), Incarnation(1), false}},
                          now_));
    Advance(milliseconds(4000));
  }

  void Run(double per_second, int count_seconds) {
    const auto actions = static_cast<int>(per_second * count_seconds);
    double until_next = 0;
    for (int i = 0; i < actions; ++i) {
      BeginAction begin{
          RequestId("request"),
          TeamId("team-1234"),
          IdempotencyKey("key-0123456789-" + std::to_string(count_++)),
          "0123456789abcdef0123456789abcdef",
          Nonce("0123456789abcdef" + std::to_string(count_)),
          now_.steady + seconds(4)};
      const int64_t start = ThreadNanoseconds();
      ActionCommands commands = Begin(state_, begin, now_);
      nanoseconds_ += ThreadNanoseconds() - start;
      Handle(std::move(commands));
      until_next += 1000 / per_second;
      const auto whole = static_cast<int>(until_next);
      until_next -= whole;
      Advance(milliseconds(whole));
    }
  }

  void Advance(Duration amount) {
    const TimePoint end = now_.steady + amount;
    while (true) {
      TimePoint next = NextActionWakeup(state_);
      const bool is_outcome = !later_.empty() && later_.begin()->first <= next;
      if (is_outcome) {
        next = later_.begin()->first;
      }
      if (next > end) {
        break;
      }
      MoveTo(std::max(next, now_.steady + milliseconds(is_outcome ? 0 : 1)));
      ActionCommands commands;
      int64_t start = 0;
      if (is_outcome) {
        const auto outcome = later_.extract(later_.begin());
        ActionAnswer answer;
        answer.body.assign(answer_bytes_, 'a');
        start = ThreadNanoseconds();
        commands = RecordOutcome(state_, outcome.mapped(), answer, now_);
      } else {
        start = ThreadNanoseconds();
        commands = OnActionTick(state_, now_);
      }
      nanoseconds_ += ThreadNanoseconds() - start;
      Handle(std::move(commands));
    }
    MoveTo(std::max(end, now_.steady));
  }

  size_t Records() const {
    size_t records = 0;
    for (const Bucket& bucket : state_.home.buckets) {
      records += bucket.log.records.size();
    }
    return records;
  }
  uint64_t writes() const { return writes_; }
  uint64_t written_bytes() const { return written_bytes_; }
  uint64_t reads() const { return reads_; }
  uint64_t granted() const { return granted_; }
  uint64_t refused() const { return refused_; }
  int64_t nanoseconds() const { return nanoseconds_; }
  void Reset() {
    writes_ = written_bytes_ = reads_ = granted_ = refused_ = 0;
    nanoseconds_ = 0;
  }

 private:
  void MoveTo(TimePoint time) {
    now_.wall +=
        std::chrono::duration_cast<WallTime::duration>(time - now_.steady);
    now_.steady = time;
  }

  // Nothing is kept of what is written, so that the allocator's figures are
  // the home's alone; a read finds an empty log.
  void Handle(ActionCommands commands) {
    for (ActionCommand& command : commands) {
      if (const auto* call = std::get_if<ActionStoreCall>(&command)) {
        StoreAnswer answer;
        answer.status = StoreStatus::kOk;
        if (const auto* txn = std::get_if<StoreTxn>(&call->request)) {
          ++writes_;
          for (const StorePut& put : txn->puts) {
            written_bytes_ += put.key.size() + put.value.size();
          }
        } else {
          ++reads_;
        }
        const int64_t start = ThreadNanoseconds();
        ActionCommands next =
            OnActionStoreAnswer(state_, call->operation, answer, now_);
        nanoseconds_ += ThreadNanoseconds() - start;
        Handle(std::move(next));
      } else if (const auto* result = std::get_if<ActionResult>(&command)) {
        if (result->kind == ActionResultKind::kGranted) {
          ++granted_;
          later_.emplace(now_.steady + milliseconds(100), result->nonce);
        } else {
          ++refused_;
        }
      }
    }
  }

  size_t answer_bytes_;
  ActionTime now_{TimePoint(std::chrono::hours(1)),
                  WallTime(seconds(1'790'000'000))};
  ActionsState state_;
  std::multimap<TimePoint, Nonce> later_;
  uint64_t count_ = 0;
  uint64_t writes_ = 0;
  uint64_t written_bytes_ = 0;
  uint64_t reads_ = 0;
  uint64_t granted_ = 0;
  uint64_t refused_ = 0;
  int64_t nanoseconds_ = 0;
};

void PrintClaims(double point, double per_second, int span, size_t bytes) {
  const double before = AllocatedBytes();
  ActionsDriver driver(bytes);
  driver.Reset();
  driver.Run(per_second, span);
  const double writes = static_cast<double>(driver.writes()) / span;
  const double reads = static_cast<double>(driver.reads()) / span;
  const double written = static_cast<double>(driver.written_bytes()) / span;
  const double step = static_cast<double>(driver.nanoseconds()) / 1e3 / span;
  driver.Advance(seconds(5));
  const double memory = AllocatedBytes() - before;
  std::printf("%g,%.1f,%.2f,%.0f,%.1f,%zu,%.0f,%.0f,%lu\n", point, writes,
              reads, written, step, driver.Records(), memory / 1024,
              memory / static_cast<double>(driver.Records()), driver.refused());
  std::fflush(stdout);
}

void PrintClaimsHead(const char* point) {
  std::printf(
      "%s,writes_per_s,reads_per_s,bytes_written_per_s,step_us_per_s,records,"
      "memory_kib,bytes_per_record,refused\n",
      point);
}

}  // namespace

void StudyClaimsByRate() {
  PrintClaimsHead("actions_per_second");
  for (const double rate : {10.0, 20.0, 40.0, 80.0, 160.0, 320.0}) {
    PrintClaims(rate, rate, 60, 512);
  }
}

void StudyClaimsByRetained() {
  PrintClaimsHead("retained_claims");
  for (const int claims : {9'000, 18'000, 36'000, 72'000, 144'000}) {
    PrintClaims(claims, 160, claims / 160, 512);
  }
}

void StudyAnswersBySize() {
  PrintClaimsHead("answer_bytes");
  for (const size_t bytes : {0, 1024, 4096, 8192, 16384}) {
    PrintClaims(static_cast<double>(bytes), 160, 30, bytes);
  }
}

void StudyConfigChanges() {
  std::printf(
      "teams,parts,part_bytes,first_apply_us,change_apply_us,change_bytes,"
      "memory_kib\n");
  for (const int teams : {3'750, 7'500, 15'000, 30'000, 60'000}) {
    FleetSize size;
    size.teams = teams;
    MemoryStore store;
    ObjectSet objects = MakeObjects(size);
    Publish(store, objects, Revision());
    const double before = AllocatedBytes();
    TimePoint now{std::chrono::hours(1)};
    ConfigDistribution node = MakeDistribution(NodeId("node"), 1, now);
    int64_t nanoseconds = 0;
    const auto run = [&](Revision wanted) {
      nanoseconds = 0;
      for (int i = 0; i < 60'000 && StatusOf(node).revision < wanted; ++i) {
        now += milliseconds(10);
        int64_t start = ThreadNanoseconds();
        DistributionCommands commands = TickDistribution(
            node, {FailureDomainId("d"), {NodeId("node")}, {}, {}}, now);
        nanoseconds += ThreadNanoseconds() - start;
        while (!commands.empty()) {
          DistributionCommands next;
          for (const DistributionCommand& command : commands) {
            const auto* call = std::get_if<CallConfigStore>(&command);
            if (call == nullptr ||
                std::holds_alternative<StoreWatch>(call->request)) {
              continue;
            }
            const StoreAnswer answer = store.Execute(call->request);
            start = ThreadNanoseconds();
            for (DistributionCommand& one :
                 ApplyConfigAnswer(node, call->call, answer, now)) {
              next.push_back(std::move(one));
            }
            nanoseconds += ThreadNanoseconds() - start;
          }
          commands = std::move(next);
        }
      }
    };
    run(Revision(1));
    const int64_t first = nanoseconds;
    const double memory = AllocatedBytes() - before;
    const uint64_t fetched = store.bytes_read();
    const size_t parts = node.parts.size();
    size_t bytes = 0;
    for (const auto& [digest, content] : node.parts) {
      bytes += content.size();
    }
    // One team's share is changed: one part and the head are new.
    objects.teams.begin()->second.share = 2;
    Publish(store, objects, Revision(1));
    const uint64_t before_change = store.bytes_read();
    run(Revision(2));
    std::printf("%d,%zu,%zu,%.0f,%.0f,%lu,%.0f\n", teams, parts, bytes,
                static_cast<double>(first) / 1e3,
                static_cast<double>(nanoseconds) / 1e3,
                store.bytes_read() - before_change, memory / 1024);
    std::fflush(stdout);
    (void)fetched;
  }
}

void StudyOrderLeases() {
  std::printf("pools,engines,store_calls_per_s,step_us_per_s,memory_kib\n");
  for (const int pools : {1, 3, 7, 14, 28}) {
    const double before = AllocatedBytes();
    MemoryStore store;
    OrdersState orders = MakeOrdersState(NodeId("node"), Incarnation(1));
    std::vector<Pool> listed;
    std::map<PoolId, std::vector<ModelVersion>> versions;
    std::vector<EndpointRecord> engines;
    constexpr int kEnginesPerPool = 108;
    for (int i = 0; i < pools; ++i) {
      Pool pool;
      pool.name = PoolId("engines-" + std::to_string(i));
      listed.push_back(pool);
      versions[pool.name] = {
          {ModelVersionId("v-" + std::to_string(i)), "m", "1"}};
      for (int engine = 0; engine < kEnginesPerPool; ++engine) {
        EndpointRecord record;
        record.id =
            EndpointId("e-" + std::to_string(i) + "-" + std::to_string(engine));
        record.pool = pool.name;
        engines.push_back(record);
      }
    }
    SetOrderPools(orders, listed, versions);
    SetOrderNodes(orders, {NodeId("node")});
    SetOrderEngines(orders, engines);
    TimePoint now{std::chrono::hours(1)};
    constexpr int kSpan = 120;
    int64_t nanoseconds = 0;
    uint64_t calls = 0;
    const auto handle = [&](OrderCommands commands) {
      while (!commands.empty()) {
        OrderCommands next;
        for (const OrderCommand& command : commands) {
          if (const auto* call = std::get_if<OrderStoreCall>(&command)) {
            ++calls;
            const StoreAnswer answer = store.Execute(call->request);
            const int64_t start = ThreadNanoseconds();
            for (OrderCommand& one :
                 OnOrderStoreAnswer(orders, call->operation, answer, now)) {
              next.push_back(std::move(one));
            }
            nanoseconds += ThreadNanoseconds() - start;
          }
        }
        commands = std::move(next);
      }
    };
    for (int second = 0; second < kSpan; ++second) {
      now += seconds(1);
      const int64_t start = ThreadNanoseconds();
      EndpointLoad load;
      load.loaded_models = {"m@1"};
      OrderCommands commands = OnOrdersTick(orders, now);
      for (const EndpointRecord& engine : engines) {
        OnEngineReport(orders, engine.id, load, now);
      }
      nanoseconds += ThreadNanoseconds() - start;
      handle(std::move(commands));
    }
    std::printf("%d,%zu,%.2f,%.1f,%.0f\n", pools, engines.size(),
                static_cast<double>(calls) / kSpan,
                static_cast<double>(nanoseconds) / 1e3 / kSpan,
                (AllocatedBytes() - before) / 1024);
    std::fflush(stdout);
  }
}

}  // namespace peridotmill::capacity
