#include "fleet_input.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>

namespace peridotmill::capacity {
namespace {

constexpr int kServicePools = 5;

std::string Numbered(const char* name, int number) {
  return std::string(name) + "-" + std::to_string(number);
}

void AddStage(ObjectSet& objects,
              const std::string& name,
              StageRole role,
              const PoolId& pool) {
  Stage stage;
  stage.name = StageId(name);
  stage.role = role;
  stage.pool = pool;
  objects.stages[stage.name] = stage;
}

void AddModels(ObjectSet& objects, int models) {
  for (int i = 0; i < models; ++i) {
    ModelVersion version;
    version.name = ModelVersionId(Numbered("version", i));
    version.model = Numbered("model", i);
    version.version = "1";
    objects.model_versions[version.name] = version;
    Pool pool;
    pool.name = PoolId(Numbered("engines", i));
    objects.pools[pool.name] = pool;
    const std::string name = Numbered("generate", i);
    AddStage(objects, name, StageRole::kGenerate, pool.name);
    objects.stages.at(StageId(name)).model_version = version.name;
  }
  for (int i = 0; i < kServicePools; ++i) {
    Pool pool;
    pool.name = PoolId(Numbered("services", i));
    objects.pools[pool.name] = pool;
    AddStage(objects, Numbered("service", i), StageRole::kService, pool.name);
  }
  AddStage(objects, "act", StageRole::kService, PoolId("services-0"));
  Stage& act = objects.stages.at(StageId("act"));
  act.idempotent = false;
  act.max_attempts = 1;
}

void AddPipelines(ObjectSet& objects, const FleetSize& size) {
  for (int i = 0; i < size.pipelines; ++i) {
    Pipeline pipeline;
    pipeline.name = PipelineId(Numbered("pipeline", i));
    pipeline.priority = PriorityId("normal");
    StageId generate(Numbered("generate", i % size.models));
    if (i == size.pipelines - 1) {
      pipeline.stages = {{StageId("act"), {}}};
      pipeline.key_required = true;
    } else if (i % 3 == 2) {
      pipeline.stages = {{StageId("service-1"), {}},
                         {StageId("service-2"), {StageId("service-1")}},
                         {StageId("service-3"), {StageId("service-2")}},
                         {generate, {StageId("service-3")}}};
    } else {
      pipeline.stages = {{generate, {}}};
    }
    objects.pipelines[pipeline.name] = pipeline;
  }
}

}  // namespace

NodeId NodeName(int node) {
  return NodeId(Numbered("entry-node", 1000 + node));
}

FailureDomainId DomainName(int domain) {
  return FailureDomainId(Numbered("domain", domain));
}

std::string TeamToken(int team) {
  return Numbered("token", team);
}

ObjectSet MakeObjects(const FleetSize& size) {
  ObjectSet objects;
  Priority priority;
  priority.name = PriorityId("normal");
  objects.priorities[priority.name] = priority;
  AddModels(objects, size.models);
  AddPipelines(objects, size);
  for (int i = 0; i < size.teams; ++i) {
    Team team;
    team.name = TeamId(Numbered("team", i));
    team.token_sha256 = Sha256Hex(TeamToken(i));
    objects.teams[team.name] = team;
  }
  return objects;
}

HostList MakeHostList(const FleetSize& size) {
  HostList list;
  list.version = 1;
  const int pools = size.models + kServicePools;
  for (int i = 0; i < size.endpoints; ++i) {
    // Pools and domains vary independently of each other.
    const int pool = (i / size.domains) % pools;
    EndpointRecord record;
    record.id = EndpointId(Numbered("endpoint", i));
    record.address = "10.0.0.1:" + std::to_string(i + 1);
    record.pool =
        PoolId(pool < size.models ? Numbered("engines", pool)
                                  : Numbered("services", pool - size.models));
    record.failure_domain = DomainName(i % size.domains);
    record.incarnation = Incarnation(i + 1);
    list.endpoints.push_back(record);
  }
  for (int i = 0; i < size.nodes; ++i) {
    list.nodes.push_back({NodeName(i), "10.0.1.1:" + std::to_string(i + 1),
                          DomainName(i % size.domains), false});
  }
  return list;
}

void Publish(MemoryStore& store, const ObjectSet& objects, Revision base) {
  PublicationRequest request;
  request.base = base;
  request.nonce =
      Nonce(Numbered("publication", static_cast<int>(base.value() + 1)));
  request.author = "capacity";
  request.published_at = 1'790'000'000;
  Publication publication = StartPublication(request, objects, 1);
  TimePoint now{std::chrono::hours(1)};
  while (!publication.result) {
    if (const auto call = NextPublicationCall(publication, now)) {
      ApplyPublicationAnswer(publication, store.Execute(*call), now);
    }
    now += std::chrono::milliseconds(1);
  }
  if (publication.result->status != PublicationStatus::kPublished) {
    std::fprintf(stderr, "the objects were not published: %s\n",
                 ToString(publication.result->findings).c_str());
    std::exit(1);
  }
}

}  // namespace peridotmill::capacity
