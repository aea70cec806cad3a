#include "peridotmill_config/objects/enum_names.h"

#include <array>
#include <utility>

namespace peridotmill {
namespace {

constexpr std::array<std::pair<StageRole, std::string_view>, 5> kRoles = {{
    {StageRole::kEncode, "encode"},
    {StageRole::kRetrieve, "retrieve"},
    {StageRole::kRerank, "rerank"},
    {StageRole::kGenerate, "generate"},
    {StageRole::kService, "service"},
}};

constexpr std::array<std::pair<RoutingPolicy, std::string_view>, 5> kPolicies =
    {{
        {RoutingPolicy::kDefault, "default"},
        {RoutingPolicy::kRoundRobin, "round-robin"},
        {RoutingPolicy::kLeastLoad, "least-load"},
        {RoutingPolicy::kNoAdmission, "no-admission"},
        {RoutingPolicy::kRetryAnywhere, "retry-anywhere"},
    }};

template <typename Table, typename Value>
std::string_view NameIn(const Table& table, Value value) {
  for (const auto& [known, name] : table) {
    if (known == value) {
      return name;
    }
  }
  return "";
}

template <typename Value, size_t N>
std::optional<Value> ValueIn(
    const std::array<std::pair<Value, std::string_view>, N>& table,
    std::string_view name) {
  for (const auto& [value, known] : table) {
    if (known == name) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string_view ToString(StageRole role) {
  return NameIn(kRoles, role);
}

std::string_view ToString(RoutingPolicy policy) {
  return NameIn(kPolicies, policy);
}

std::optional<StageRole> StageRoleFrom(std::string_view name) {
  return ValueIn(kRoles, name);
}

std::optional<RoutingPolicy> RoutingPolicyFrom(std::string_view name) {
  return ValueIn(kPolicies, name);
}

}  // namespace peridotmill
