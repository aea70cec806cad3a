#include <benchmark/benchmark.h>

#include <string>

#include "peridotmill_routing/peridotmill_routing.h"

namespace peridotmill {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

// One pool in `domains` failure domains; this node is in the first.
EndpointTable MakeTable(int64_t endpoints, int64_t domains) {
  HostList list;
  for (int64_t i = 0; i < endpoints; ++i) {
    EndpointRecord record;
    record.id = EndpointId("endpoint-" + std::to_string(i));
    record.address = "10.0.0.1:80";
    record.pool = PoolId("pool");
    record.failure_domain =
        FailureDomainId("domain-" + std::to_string(i % domains));
    record.incarnation = Incarnation(1);
    list.endpoints.push_back(record);
  }
  EndpointTable table =
      MakeEndpointTable(NodeId("node"), FailureDomainId("domain-0"));
  ApplyHostList(table, list, {}, kStart);
  for (const EndpointRecord& record : list.endpoints) {
    LoadReport report{record.id, {}, {.running = 4}, kStart};
    report.load.loaded_models = {"model-a@1", "model-b@1", "model-c@1"};
    ApplyLoadReport(table, report, kStart);
  }
  return table;
}

EndpointChoiceRequest MakeRequest(RoutingPolicy policy) {
  EndpointChoiceRequest request;
  request.pool = PoolId("pool");
  request.model = "model-b@1";
  request.prefix_hash = 7;
  request.expected = std::chrono::milliseconds(500);
  request.policy = policy;
  return request;
}

void RunChoice(benchmark::State& state,
               EndpointTable& table,
               const EndpointChoiceRequest& request) {
  PrefixIndex prefixes;
  RecordPrefix(prefixes, EndpointId("endpoint-0"), 7, kStart);
  Random random(1);
  const TimePoint now = kStart + std::chrono::milliseconds(300);
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        ChooseEndpoint(table, prefixes, request, now, random));
  }
  state.SetComplexityN(state.range(0));
}

// Endpoints over 16 domains, as in the design size.
void BM_ChooseEndpoint(benchmark::State& state) {
  EndpointTable table = MakeTable(state.range(0), 16);
  RunChoice(state, table, MakeRequest(RoutingPolicy::kDefault));
}
BENCHMARK(BM_ChooseEndpoint)->Arg(81)->Arg(325)->Arg(1300)->Arg(4000);

// All endpoints in the own domain, so that the subset does not help.
void BM_ChooseEndpointOneDomain(benchmark::State& state) {
  EndpointTable table = MakeTable(state.range(0), 1);
  RunChoice(state, table, MakeRequest(RoutingPolicy::kDefault));
}
BENCHMARK(BM_ChooseEndpointOneDomain)->Arg(81)->Arg(325)->Arg(1300)->Arg(4000);

// As before, with every slot taken: all endpoints are looked at.
void BM_ChooseEndpointSaturated(benchmark::State& state) {
  EndpointTable table = MakeTable(state.range(0), 1);
  for (EndpointView& view : table.endpoints) {
    view.in_flight = view.limit;
  }
  RunChoice(state, table, MakeRequest(RoutingPolicy::kDefault));
}
BENCHMARK(BM_ChooseEndpointSaturated)->Arg(81)->Arg(325)->Arg(1300)->Arg(4000);

void BM_ChooseLeastLoad(benchmark::State& state) {
  EndpointTable table = MakeTable(state.range(0), 16);
  RunChoice(state, table, MakeRequest(RoutingPolicy::kLeastLoad));
}
BENCHMARK(BM_ChooseLeastLoad)->Arg(325)->Arg(1300);

void BM_CountSlots(benchmark::State& state) {
  const EndpointTable table = MakeTable(state.range(0), 1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(CountSlots(table, PoolId("pool"), kStart));
  }
}
BENCHMARK(BM_CountSlots)->Arg(325)->Arg(1300);

// An attempt from start to end, with its evidence.
void BM_BeginAndEndAttempt(benchmark::State& state) {
  EndpointTable table = MakeTable(state.range(0), 16);
  const EndpointId endpoint("endpoint-16");
  for (auto _ : state) {
    const AttemptTicket ticket = BeginAttempt(table, endpoint, kStart);
    EndAttempt(table, ticket, AttemptOutcome::kCompleted,
               std::chrono::milliseconds(500),
               kStart + std::chrono::milliseconds(500));
  }
}
BENCHMARK(BM_BeginAndEndAttempt)->Arg(1300);

// A chain of `range` stages of learned quantiles.
void BM_PlanStages(benchmark::State& state) {
  ObjectSet objects;
  Pipeline pipeline;
  for (int64_t i = 0; i < state.range(0); ++i) {
    Stage stage;
    stage.name = StageId("stage-" + std::to_string(i));
    stage.role = i == 0 ? StageRole::kGenerate : StageRole::kRerank;
    objects.stages[stage.name] = stage;
    PipelineStage member{stage.name, {}};
    if (i > 0) {
      member.after.push_back(pipeline.stages.back().stage);
    }
    pipeline.stages.push_back(member);
  }
  ServiceTimeEstimator estimator;
  const PipelineProgress progress;
  for (auto _ : state) {
    benchmark::DoNotOptimize(PlanStages(pipeline, objects, progress, estimator,
                                        0.5, kStart + std::chrono::seconds(4),
                                        kStart));
  }
}
BENCHMARK(BM_PlanStages)->Arg(3)->Arg(6);

void BM_RecordServiceTime(benchmark::State& state) {
  ServiceTimeEstimator estimator;
  Stage stage;
  stage.name = StageId("stage");
  for (auto _ : state) {
    RecordServiceTime(estimator, stage, 0, std::chrono::milliseconds(70));
  }
}
BENCHMARK(BM_RecordServiceTime);

}  // namespace
}  // namespace peridotmill
