#include "standins/peridotmill-standin/scenario/scenario.h"

#include <array>
#include <charconv>
#include <optional>
#include <set>
#include <utility>

#include "peridotmill_config/reading/field_reader.h"

namespace peridotmill::standin {
namespace {

constexpr std::array<std::pair<StandInKind, std::string_view>, 6> kKinds = {{
    {StandInKind::kStore, "store"},
    {StandInKind::kHosts, "hosts"},
    {StandInKind::kWeights, "weights"},
    {StandInKind::kEngine, "engine"},
    {StandInKind::kService, "service"},
    {StandInKind::kAdmin, "admin"},
}};

// "address:port" split; nothing when the port is not a number.
std::optional<std::pair<std::string, int>> SplitAddress(
    const std::string& address) {
  constexpr int kMaxPort = 65535;
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  int port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port < 1 ||
      port > kMaxPort) {
    return std::nullopt;
  }
  return std::pair(address.substr(0, colon), port);
}

template <typename Target>
void ReadTime(FieldReader& reader, const char* field, Target& value) {
  auto time = std::chrono::duration_cast<std::chrono::microseconds>(value);
  reader.ReadDuration(field, time, 0);
  value = std::chrono::duration_cast<Target>(time);
}

void ReadEngine(FieldReader& reader, StandIn& stand_in) {
  EngineSettings& engine = stand_in.engine;
  reader.Read("max_running", engine.max_running, 1);
  reader.Read("max_waiting", engine.max_waiting, 0);
  ReadTime(reader, "step_base_us", engine.step_base);
  ReadTime(reader, "step_per_sequence_us", engine.step_per_sequence);
  ReadTime(reader, "prefill_per_token_us", engine.prefill_per_token);
  reader.Read("cache_blocks", engine.cache_blocks, 1);
  reader.Read("output_median", engine.output_median, 1);
  reader.Read("output_max", engine.output_max, 1);
  reader.Read("cache_event_loss", stand_in.cache_event_loss, 0, 1);
  reader.Read("checks_fencing", stand_in.checks_fencing);
  reader.Read("checks_model", stand_in.checks_model);
  reader.ReadDuration("model_load_ms", stand_in.model_load, 0);
  reader.Read("weights", stand_in.weights);
  reader.ReadSequence("loaded_models",
                      [&](const YAML::Node& node, const InputLocation&) {
                        stand_in.loaded_models.push_back(node.Scalar());
                      });
}

void ReadService(FieldReader& reader, StandIn& stand_in) {
  ServiceSettings& service = stand_in.service;
  std::chrono::milliseconds median(20);
  std::chrono::milliseconds p95(60);
  reader.Read("concurrency", service.concurrency, 1);
  reader.Read("max_waiting", service.max_waiting, 0);
  reader.ReadDuration("median_ms", median, 1);
  reader.ReadDuration("p95_ms", p95, 1);
  if (p95 < median) {
    reader.Report("p95_ms", "is below median_ms");
  }
  service.median = median;
  service.p95 = p95;
}

class ScenarioReader {
 public:
  ScenarioReader(const std::string& file, Findings& findings)
      : file_(file), findings_(findings) {}

  Scenario Read(const YAML::Node& node) {
    const InputLocation place{file_, LineOf(node), "", ""};
    if (!node.IsMap()) {
      findings_.push_back({place, "expected a mapping with `stand_ins`"});
      return {};
    }
    FieldReader reader(node, place, findings_);
    reader.Read("seed", scenario_.seed, 0);
    reader.ReadSequence(
        "stand_ins", [this](const YAML::Node& entry, const InputLocation& at) {
          ReadStandIn(entry, at);
        });
    reader.ReadSequence(
        "nodes", [this](const YAML::Node& entry, const InputLocation& at) {
          ReadNode(entry, at);
        });
    reader.ReportUnknownFields();
    if (scenario_.stand_ins.empty()) {
      reader.Report("stand_ins", "at least one stand-in is needed");
    }
    return std::move(scenario_);
  }

 private:
  std::optional<FieldReader> Open(const YAML::Node& entry,
                                  InputLocation place) {
    place.line = LineOf(entry);
    if (!entry.IsMap()) {
      findings_.push_back({place, "expected a mapping"});
      return std::nullopt;
    }
    return FieldReader(entry, place, findings_);
  }

  void ReadStandIn(const YAML::Node& entry, const InputLocation& place) {
    auto reader = Open(entry, place);
    if (!reader) {
      return;
    }
    StandIn stand_in;
    std::string kind;
    int32_t count = 1;
    reader->Read("id", stand_in.id);
    reader->Read("kind", kind);
    reader->Read("address", stand_in.address);
    reader->Read("count", count, 1);
    reader->Read("pool", stand_in.pool);
    reader->Read("failure_domain", stand_in.failure_domain);
    reader->ReadDuration("latency_ms", stand_in.latency, 0);
    reader->ReadDuration("lag_ms", stand_in.lag, 0);
    const bool is_known = ReadKind(kind, *reader, stand_in);
    if (is_known) {
      reader->ReportUnknownFields();
    }
    Expand(stand_in, count, *reader);
  }

  static bool ReadKind(const std::string& kind,
                       FieldReader& reader,
                       StandIn& stand_in) {
    for (const auto& [value, name] : kKinds) {
      if (name == kind) {
        stand_in.kind = value;
        if (value == StandInKind::kEngine) {
          ReadEngine(reader, stand_in);
        } else if (value == StandInKind::kService) {
          ReadService(reader, stand_in);
        } else if (value == StandInKind::kWeights) {
          reader.Read("rate_per_second", stand_in.rate_per_second, 0.01, 1e6);
        }
        return true;
      }
    }
    reader.Report("kind",
                  "must be store, hosts, weights, engine, service or admin");
    return false;
  }

  void Expand(const StandIn& stand_in, int32_t count, FieldReader& reader) {
    const bool is_endpoint = stand_in.kind == StandInKind::kEngine ||
                             stand_in.kind == StandInKind::kService;
    if (stand_in.id.empty()) {
      reader.Report("id", "missing");
    }
    if (is_endpoint && stand_in.pool.empty()) {
      reader.Report("pool", "missing");
    }
    if (is_endpoint && stand_in.failure_domain.empty()) {
      reader.Report("failure_domain", "missing");
    }
    const auto first = SplitAddress(stand_in.address);
    if (!first || !SplitAddress(first->first + ":" +
                                std::to_string(first->second + count - 1))) {
      reader.Report("address", "must be `address:port`");
      return;
    }
    for (int32_t i = 0; i < count; ++i) {
      StandIn one = stand_in;
      one.address = first->first + ":" + std::to_string(first->second + i);
      if (count > 1) {
        one.id += "-" + std::to_string(i + 1);
      }
      if (!ids_.insert(one.id).second) {
        reader.Report("id", "`" + one.id + "` is used twice");
      }
      if (!addresses_.insert(one.address).second) {
        reader.Report("address", "`" + one.address + "` is used twice");
      }
      scenario_.stand_ins.push_back(std::move(one));
    }
  }

  void ReadNode(const YAML::Node& entry, const InputLocation& place) {
    auto reader = Open(entry, place);
    if (!reader) {
      return;
    }
    EntryNode node;
    reader->Read("id", node.id);
    reader->Read("peer_address", node.peer_address);
    reader->Read("failure_domain", node.failure_domain);
    reader->ReportUnknownFields();
    if (node.id.empty() || !ids_.insert(node.id).second) {
      reader->Report("id", "is missing or used twice");
    }
    if (!SplitAddress(node.peer_address)) {
      reader->Report("peer_address", "must be `address:port`");
    }
    if (node.failure_domain.empty()) {
      reader->Report("failure_domain", "missing");
    }
    scenario_.nodes.push_back(std::move(node));
  }

  const std::string& file_;
  Findings& findings_;
  Scenario scenario_;
  std::set<std::string> ids_;
  std::set<std::string> addresses_;
};

}  // namespace

Scenario ReadScenario(const std::string& text,
                      const std::string& file,
                      Findings& findings) {
  try {
    return ScenarioReader(file, findings).Read(YAML::Load(text));
  } catch (const YAML::Exception& error) {
    findings.push_back({{file, error.mark.line + 1, "", ""}, error.msg});
    return {};
  }
}

}  // namespace peridotmill::standin
