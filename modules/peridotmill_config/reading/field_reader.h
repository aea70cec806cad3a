#ifndef PERIDOTMILL_CONFIG_READING_FIELD_READER_H_
#define PERIDOTMILL_CONFIG_READING_FIELD_READER_H_

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>

#include "peridotmill_core/errors/finding.h"

namespace peridotmill {

// Reads the fields of one YAML mapping and collects findings with their place.
// Fields that no Read call asked for are reported by ReportUnknownFields().
class FieldReader {
 public:
  FieldReader(const YAML::Node& node, InputLocation place, Findings& findings)
      : node_(node), place_(std::move(place)), findings_(findings) {}

  // Each leaves `value` as it is when the field is absent.
  void Read(const char* field, std::string& value);
  void Read(const char* field, bool& value);
  void Read(const char* field, double& value, double min, double max);
  void Read(const char* field,
            int64_t& value,
            int64_t min,
            int64_t max = std::numeric_limits<int64_t>::max());
  void Read(const char* field, int32_t& value, int32_t min);

  template <typename Rep, typename Period>
  void ReadDuration(const char* field,
                    std::chrono::duration<Rep, Period>& value,
                    int64_t min) {
    int64_t count = value.count();
    Read(field, count, min);
    value = std::chrono::duration<Rep, Period>(count);
  }

  template <typename Id>
  void ReadId(const char* field, Id& value) {
    std::string text = value.value();
    Read(field, text);
    value = Id(text);
  }

  // Calls `read` for the nested mapping `field`, if present.
  void ReadMapping(const char* field,
                   const std::function<void(FieldReader&)>& read);

  // Calls `read` for each element of the sequence `field`, if present.
  void ReadSequence(
      const char* field,
      const std::function<void(const YAML::Node&, const InputLocation&)>& read);

  void ReportUnknownFields();
  void Report(const std::string& field, const std::string& message);

  const InputLocation& place() const { return place_; }

 private:
  YAML::Node Take(const char* field);

  template <typename T>
  bool Convert(const char* field, const char* expected, T& value);

  YAML::Node node_;
  InputLocation place_;
  Findings& findings_;
  std::set<std::string, std::less<>> taken_;
};

// Line of a node in its file, counted from 1.
int LineOf(const YAML::Node& node);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_READING_FIELD_READER_H_
