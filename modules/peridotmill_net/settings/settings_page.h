#ifndef PERIDOTMILL_NET_SETTINGS_SETTINGS_PAGE_H_
#define PERIDOTMILL_NET_SETTINGS_SETTINGS_PAGE_H_

#include <string>

namespace peridotmill {

// Markdown section with a table of the program's own flags, for
// docs/operators/settings.md.
std::string RenderSettingsPage(const std::string& program);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_SETTINGS_SETTINGS_PAGE_H_
