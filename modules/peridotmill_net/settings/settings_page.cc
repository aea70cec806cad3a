#include "peridotmill_net/settings/settings_page.h"

#include "peridotmill_net/settings/program_flags.h"

namespace peridotmill {
namespace {

// Text within a table cell.
std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '|') {
      escaped += "\\|";
    } else {
      escaped += c == '\n' ? ' ' : c;
    }
  }
  return escaped;
}

std::string Code(const std::string& text) {
  return text.empty() ? "(none)" : "`" + Escape(text) + "`";
}

}  // namespace

std::string RenderSettingsPage(const std::string& program) {
  std::string page = "## " + program +
                     "\n\n| flag | environment variable | default | "
                     "description |\n| --- | --- | --- | --- |\n";
  for (const ProgramFlag& flag : ProgramFlags()) {
    page += "| " + Code("--" + flag.name) + " | " +
            Code(EnvironmentVariableOf(flag.name)) + " | " +
            Code(flag.default_value) + " | " + Escape(flag.description) +
            " |\n";
  }
  return page;
}

}  // namespace peridotmill
