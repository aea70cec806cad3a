#include "peridotmill_config/reading/field_reader.h"

#include <cmath>

namespace peridotmill {

int LineOf(const YAML::Node& node) {
  return node.Mark().line + 1;
}

YAML::Node FieldReader::Take(const char* field) {
  taken_.insert(field);
  return node_[field];
}

template <typename T>
bool FieldReader::Convert(const char* field, const char* expected, T& value) {
  const YAML::Node node = Take(field);
  if (!node.IsDefined()) {
    return false;
  }
  T read{};
  if (!node.IsScalar() || !YAML::convert<T>::decode(node, read)) {
    InputLocation place = place_;
    place.line = LineOf(node);
    place.field = field;
    findings_.push_back({place, std::string("expected ") + expected});
    return false;
  }
  value = read;
  return true;
}

void FieldReader::Read(const char* field, std::string& value) {
  Convert(field, "a text", value);
}

void FieldReader::Read(const char* field, bool& value) {
  Convert(field, "true or false", value);
}

void FieldReader::Read(const char* field,
                       double& value,
                       double min,
                       double max) {
  const double before = value;
  if (Convert(field, "a number", value) &&
      (!std::isfinite(value) || value < min || value > max)) {
    // The check of the whole set must not report it once more.
    value = before;
    Report(field, "must be from " + std::to_string(min) + " to " +
                      std::to_string(max));
  }
}

void FieldReader::Read(const char* field,
                       int64_t& value,
                       int64_t min,
                       int64_t max) {
  const int64_t before = value;
  if (Convert(field, "a whole number", value) && (value < min || value > max)) {
    value = before;
    Report(field, "must be at least " + std::to_string(min) +
                      (max == std::numeric_limits<int64_t>::max()
                           ? std::string()
                           : " and at most " + std::to_string(max)));
  }
}

void FieldReader::Read(const char* field, int32_t& value, int32_t min) {
  int64_t wide = value;
  Read(field, wide, min, std::numeric_limits<int32_t>::max());
  value = static_cast<int32_t>(wide);
}

void FieldReader::ReadMapping(const char* field,
                              const std::function<void(FieldReader&)>& read) {
  const YAML::Node node = Take(field);
  if (!node.IsDefined()) {
    return;
  }
  if (!node.IsMap()) {
    Report(field, "expected a mapping");
    return;
  }
  InputLocation place = place_;
  place.line = LineOf(node);
  FieldReader nested(node, place, findings_);
  read(nested);
  nested.ReportUnknownFields();
}

void FieldReader::ReadSequence(
    const char* field,
    const std::function<void(const YAML::Node&, const InputLocation&)>& read) {
  const YAML::Node node = Take(field);
  if (!node.IsDefined()) {
    return;
  }
  if (!node.IsSequence()) {
    Report(field, "expected a sequence");
    return;
  }
  for (const YAML::Node& element : node) {
    InputLocation place = place_;
    place.line = LineOf(element);
    place.field = field;
    read(element, place);
  }
}

void FieldReader::ReportUnknownFields() {
  for (const auto& entry : node_) {
    const auto name = entry.first.as<std::string>("");
    if (!taken_.contains(name)) {
      InputLocation place = place_;
      place.line = LineOf(entry.first);
      place.field = name;
      findings_.push_back({place, "unknown field"});
    }
  }
}

void FieldReader::Report(const std::string& field, const std::string& message) {
  InputLocation place = place_;
  if (const YAML::Node node = node_[field]; node.IsDefined()) {
    place.line = LineOf(node);
  }
  place.field = field;
  findings_.push_back({place, message});
}

}  // namespace peridotmill
