#include "peridotmill_orders/placement/converge.h"

#include <algorithm>

namespace peridotmill {
namespace {

bool IsUsable(const OrderedEngine& engine) {
  return !engine.record.is_leaving && !(engine.load && engine.load->is_leaving);
}

// Version that the engine has loaded; empty when it has none that is known.
ModelVersionId LoadedVersion(const PoolOrders& pool,
                             const OrderedEngine& engine) {
  for (const std::string& loaded : engine.load->loaded_models) {
    for (const auto& [name, version] : pool.versions) {
      if (LoadedName(version) == loaded) {
        return name;
      }
    }
  }
  return ModelVersionId();
}

ModelVersionId MostWanted(const EngineCounts& wanted,
                          const EngineCounts& loaded) {
  ModelVersionId best;
  int32_t best_shortage = 0;
  for (const auto& [version, count] : wanted) {
    const auto found = loaded.find(version);
    const int32_t shortage =
        count - (found == loaded.end() ? 0 : found->second);
    if (shortage > best_shortage) {
      best = version;
      best_shortage = shortage;
    }
  }
  return best;
}

bool IsInExcess(const ModelVersionId& version,
                const EngineCounts& wanted,
                const EngineCounts& loaded) {
  if (version.empty()) {
    return true;
  }
  const auto found = wanted.find(version);
  return loaded.at(version) > (found == wanted.end() ? 0 : found->second);
}

}  // namespace

std::string LoadedName(const ModelVersion& version) {
  return version.model + "@" + version.version;
}

int32_t CountReported(const PoolOrders& pool, TimePoint since) {
  return static_cast<int32_t>(
      std::ranges::count_if(pool.engines, [since](const auto& entry) {
        const OrderedEngine& engine = entry.second;
        return IsUsable(engine) && engine.load && engine.reported_at >= since;
      }));
}

int32_t CountUsable(const PoolOrders& pool) {
  return static_cast<int32_t>(std::ranges::count_if(
      pool.engines, [](const auto& entry) { return IsUsable(entry.second); }));
}

EngineCounts CountLoaded(const PoolOrders& pool) {
  EngineCounts counts;
  for (const auto& [id, engine] : pool.engines) {
    if (!IsUsable(engine) || !engine.load) {
      continue;
    }
    const ModelVersionId version = LoadedVersion(pool, engine);
    if (!version.empty()) {
      ++counts[version];
    }
  }
  return counts;
}

std::optional<PlacementChange> NextChange(const PoolOrders& pool,
                                          TimePoint now) {
  const EngineCounts loaded = CountLoaded(pool);
  const ModelVersionId version = MostWanted(pool.placement.wanted, loaded);
  if (version.empty()) {
    return std::nullopt;
  }
  const OrderedEngine* best = nullptr;
  for (const auto& [id, engine] : pool.engines) {
    // Only a report from under this lease may be acted on.
    if (!IsUsable(engine) || !engine.load || now < engine.not_before ||
        engine.reported_at < pool.lease.send_from ||
        !IsInExcess(LoadedVersion(pool, engine), pool.placement.wanted,
                    loaded)) {
      continue;
    }
    const auto work_of = [](const OrderedEngine& candidate) {
      return candidate.load->running + candidate.load->waiting;
    };
    if (best == nullptr || work_of(engine) < work_of(*best)) {
      best = &engine;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return PlacementChange{best->record.id, version, ChangeStep::kWeights, now};
}

bool IsDone(const PoolOrders& pool, const PlacementChange& change) {
  const auto engine = pool.engines.find(change.endpoint);
  const auto version = pool.versions.find(change.version);
  if (engine == pool.engines.end() || version == pool.versions.end() ||
      !engine->second.load) {
    return false;
  }
  return std::ranges::find(engine->second.load->loaded_models,
                           LoadedName(version->second)) !=
         engine->second.load->loaded_models.end();
}

}  // namespace peridotmill
