#include "peridotmill_net/settings/program_flags.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string_view>

#include "peridotmill_net/settings/settings_checker.h"

namespace peridotmill {
namespace {

// gflags defines its own flags in files of these names.
bool IsOwnFlag(const gflags::CommandLineFlagInfo& flag) {
  return flag.filename.find("src/gflags") == std::string::npos;
}

// gflags ends the program with code 1 at the first kind of fault that it finds.
// This reads the arguments beforehand, so that all faults are reported at once
// and with the exit code of findings, and leaves gflags only what it accepts.
class ArgumentFilter {
 public:
  std::vector<std::string> Filter(const std::vector<std::string>& arguments) {
    for (size_t i = 0; i < arguments.size(); ++i) {
      const std::string& argument = arguments[i];
      if (argument == "--") {
        accepted_.insert(accepted_.end(),
                         arguments.begin() + static_cast<std::ptrdiff_t>(i),
                         arguments.end());
        break;
      }
      if (argument.size() < 2 || argument[0] != '-') {
        accepted_.push_back(argument);
        continue;
      }
      const bool has_next = i + 1 < arguments.size();
      if (FilterFlag(argument, has_next ? &arguments[i + 1] : nullptr)) {
        ++i;
      }
    }
    return std::move(accepted_);
  }

  // Names of own flags with a usable environment variable.
  std::string FilterEnvironment() {
    std::string names;
    for (const ProgramFlag& flag : ProgramFlags()) {
      const std::string variable = EnvironmentVariableOf(flag.name);
      const char* const value = std::getenv(variable.c_str());
      if (value != nullptr && Accepts(flag.name, value, variable)) {
        names += (names.empty() ? "" : ",") + flag.name;
      }
    }
    return names;
  }

  Findings TakeFindings() { return std::move(findings_); }

 private:
  // Returns whether the flag also takes the next argument.
  bool FilterFlag(const std::string& argument, const std::string* next) {
    const std::string text = argument.substr(argument[1] == '-' ? 2 : 1);
    const size_t equals = text.find('=');
    std::string name = text.substr(0, equals);
    gflags::CommandLineFlagInfo info;
    bool known = gflags::GetCommandLineFlagInfo(name.c_str(), &info);
    std::optional<std::string> value;
    if (equals != std::string::npos) {
      value = text.substr(equals + 1);
    } else if (!known && name.starts_with("no")) {
      known = gflags::GetCommandLineFlagInfo(name.c_str() + 2, &info) &&
              info.type == "bool";
      value = "false";
    } else if (info.type == "bool") {
      value = "true";
    }
    if (!known) {
      Report("--" + name, "unknown flag");
      return false;
    }
    const bool takes_next = !value && next != nullptr;
    if (takes_next) {
      value = *next;
    }
    if (!value) {
      Report("--" + name, "needs a value");
      return false;
    }
    if (!IsOwnFlag(info) || Accepts(info.name, *value, "--" + info.name)) {
      accepted_.push_back(argument);
      if (takes_next) {
        accepted_.push_back(*next);
      }
    }
    return takes_next;
  }

  bool Accepts(const std::string& name,
               const std::string& value,
               const std::string& source) {
    if (!gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
      return true;
    }
    const auto info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
    Report(source, "is not a value of type " + info.type);
    return false;
  }

  void Report(const std::string& setting, std::string message) {
    InputLocation place;
    place.object = setting;
    findings_.push_back({std::move(place), std::move(message)});
  }

  std::vector<std::string> accepted_;
  Findings findings_;
};

}  // namespace

std::vector<ProgramFlag> ProgramFlags() {
  std::vector<gflags::CommandLineFlagInfo> all;
  gflags::GetAllFlags(&all);
  std::vector<ProgramFlag> flags;
  for (const gflags::CommandLineFlagInfo& flag : all) {
    if (IsOwnFlag(flag)) {
      flags.push_back({flag.name, flag.default_value, flag.description});
    }
  }
  std::sort(flags.begin(), flags.end(),
            [](const ProgramFlag& a, const ProgramFlag& b) {
              return a.name < b.name;
            });
  return flags;
}

std::string EnvironmentVariableOf(const std::string& flag) {
  return "FLAGS_" + flag;
}

Findings ReadProgramFlags(int* argc, char*** argv) {
  ArgumentFilter filter;
  const std::string from_environment = filter.FilterEnvironment();
  std::vector<std::string> arguments =
      filter.Filter({*argv + 1, *argv + *argc});
  if (!from_environment.empty()) {
    arguments.insert(arguments.begin(), "--tryfromenv=" + from_environment);
  }
  // gflags and the caller keep pointers to the arguments until the process
  // ends.
  static std::vector<std::string> texts;
  static std::vector<char*> pointers;
  texts = std::move(arguments);
  pointers = {(*argv)[0]};
  for (std::string& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  *argc = static_cast<int>(pointers.size()) - 1;
  *argv = pointers.data();
  gflags::ParseCommandLineFlags(argc, argv, /*remove_flags=*/true);
  return filter.TakeFindings();
}

std::string TakeSecretFlag(const std::string& flag) {
  std::string secret;
  gflags::GetCommandLineOption(flag.c_str(), &secret);
  gflags::SetCommandLineOption(flag.c_str(), "");
  return secret;
}

int ReportFindings(const Findings& findings) {
  std::fputs(ToString(findings).c_str(), stderr);
  return findings.empty() ? 0 : kExitFindings;
}

}  // namespace peridotmill
