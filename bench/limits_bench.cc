#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_limits/peridotmill_limits.h"

namespace peridotmill {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

std::vector<TeamId> MakeTeams(int64_t count) {
  std::vector<TeamId> teams;
  for (int64_t i = 0; i < count; ++i) {
    teams.emplace_back("team-" + std::to_string(i));
  }
  return teams;
}

QueuedWork MakeWork(const TeamId& team) {
  QueuedWork work;
  work.request = RequestId("request");
  work.stage = StageId("stage");
  work.team = team;
  work.level = 1;
  work.cost = std::chrono::milliseconds(100);
  work.latest_start = kStart + std::chrono::hours(1);
  return work;
}

// One request from the share check to its start, with `range(0)` teams in use
// and `range(1)` requests waiting.
void BM_AdmitQueueAndStart(benchmark::State& state) {
  const std::vector<TeamId> teams = MakeTeams(state.range(0));
  const auto waiting = static_cast<int>(state.range(1));
  TeamShares shares;
  for (const TeamId& team : teams) {
    AddTeamUse(shares, team, 1.0, std::chrono::milliseconds(100), kStart);
  }
  FairQueue queue = MakeFairQueue(waiting + 1);
  Random random(1);
  for (int i = 0; i < waiting; ++i) {
    Enqueue(queue, MakeWork(teams[random.Below(teams.size())]), kStart);
  }
  AdmissionRequest request;
  request.slots = 100;
  request.slots_in_use = 100;
  request.time_left = std::chrono::hours(1);
  for (auto _ : state) {
    request.work = MakeWork(teams[random.Below(teams.size())]);
    request.work.is_over_share = IsOverShare(shares, request.work.team, 1.0);
    benchmark::DoNotOptimize(DecideAdmission(queue, request, kStart));
    Enqueue(queue, request.work, kStart);
    const std::optional<QueuedItem> item = PopNext(queue, kStart);
    AddTeamUse(shares, item->work.team, 1.0, std::chrono::milliseconds(100),
               kStart);
  }
}
BENCHMARK(BM_AdmitQueueAndStart)
    ->ArgsProduct({{300, 3000, 30000}, {256}})
    ->ArgsProduct({{30000}, {16, 1024, 4096, 16384}});

void BM_TopTeamUse(benchmark::State& state) {
  TeamShares shares;
  for (const TeamId& team : MakeTeams(state.range(0))) {
    AddTeamUse(shares, team, 1.0, std::chrono::milliseconds(100), kStart);
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(TopTeamUse(shares, kMaxTeamsPerPeer, kStart));
  }
}
BENCHMARK(BM_TopTeamUse)->Arg(300)->Arg(3000)->Arg(30000);

void BM_SweepTeams(benchmark::State& state) {
  TeamShares shares;
  for (const TeamId& team : MakeTeams(state.range(0))) {
    AddTeamUse(shares, team, 1.0, std::chrono::milliseconds(100), kStart);
  }
  for (auto _ : state) {
    RemoveIdleTeams(shares, kStart);
  }
}
BENCHMARK(BM_SweepTeams)->Arg(30000);

}  // namespace
}  // namespace peridotmill
