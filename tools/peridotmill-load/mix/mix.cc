#include "tools/peridotmill-load/mix/mix.h"

#include <optional>
#include <set>
#include <utility>

#include "peridotmill_config/reading/field_reader.h"

namespace peridotmill::load {
namespace {

constexpr double kMaxRate = 1e5;

std::optional<RequestForm> FormFrom(const std::string& name) {
  if (name == "chat") {
    return RequestForm::kChat;
  }
  if (name == "pipeline") {
    return RequestForm::kPipeline;
  }
  if (name == "action") {
    return RequestForm::kAction;
  }
  return std::nullopt;
}

InputLocation At(const YAML::Node& node, InputLocation place) {
  place.line = LineOf(node);
  return place;
}

void ReadClass(FieldReader& reader, RequestClass& one) {
  std::string form;
  reader.Read("name", one.name);
  reader.Read("form", form);
  reader.Read("pipeline", one.pipeline);
  reader.Read("weight", one.weight, 0, 1e6);
  reader.Read("token", one.token);
  reader.Read("domain", one.domain);
  reader.Read("prompt_bytes", one.prompt_bytes, 0);
  reader.Read("shared_prefix_bytes", one.shared_prefix_bytes, 0);
  reader.Read("output_tokens", one.output_tokens, 0);
  reader.Read("stream", one.stream);
  reader.ReadDuration("deadline_ms", one.deadline, 1);
  reader.Read("repeat_probability", one.repeat_probability, 0, 1);
  reader.ReadDuration("max_repeat_delay_ms", one.max_repeat_delay, 0);
  reader.ReportUnknownFields();
  if (const auto known = FormFrom(form)) {
    one.form = *known;
  } else {
    reader.Report("form", "must be chat, pipeline or action");
  }
  if (one.name.empty()) {
    reader.Report("name", "missing");
  }
  if (one.pipeline.empty()) {
    reader.Report("pipeline", "missing");
  }
  if (one.repeat_probability > 0 && one.form != RequestForm::kAction) {
    reader.Report("repeat_probability", "is for actions only");
  }
  if (one.stream && one.form != RequestForm::kChat) {
    reader.Report("stream", "is for chats only");
  }
}

void ReadMixFields(FieldReader& reader, Findings& findings, Mix& mix) {
  reader.Read("seed", mix.seed, 0);
  reader.Read("rate_per_second", mix.rate_per_second, 0.01, kMaxRate);
  reader.ReadDuration("duration_ms", mix.duration, 1);
  reader.ReadSequence("bursts",
                      [&](const YAML::Node& node, const InputLocation& at) {
                        Burst burst;
                        FieldReader fields(node, At(node, at), findings);
                        fields.ReadDuration("from_ms", burst.from, 0);
                        fields.ReadDuration("to_ms", burst.to, 0);
                        fields.Read("factor", burst.factor, 0, 1e3);
                        fields.ReportUnknownFields();
                        mix.bursts.push_back(burst);
                      });
  std::set<std::string> names;
  reader.ReadSequence("classes",
                      [&](const YAML::Node& node, const InputLocation& at) {
                        RequestClass one;
                        FieldReader fields(node, At(node, at), findings);
                        ReadClass(fields, one);
                        if (!names.insert(one.name).second) {
                          fields.Report("name", "is used twice");
                        }
                        mix.classes.push_back(std::move(one));
                      });
  reader.ReportUnknownFields();
  if (mix.classes.empty()) {
    reader.Report("classes", "at least one class is needed");
  }
}

}  // namespace

Mix ReadMix(const std::string& text,
            const std::string& file,
            Findings& findings) {
  Mix mix;
  try {
    const YAML::Node node = YAML::Load(text);
    const InputLocation place{file, LineOf(node), "", ""};
    if (!node.IsMap()) {
      findings.push_back({place, "expected a mapping with `classes`"});
      return mix;
    }
    FieldReader reader(node, place, findings);
    ReadMixFields(reader, findings, mix);
  } catch (const YAML::Exception& error) {
    findings.push_back({{file, error.mark.line + 1, "", ""}, error.msg});
  }
  return mix;
}

}  // namespace peridotmill::load
