#ifndef PERIDOTMILL_DAEMONS_SETTINGS_FILE_H_
#define PERIDOTMILL_DAEMONS_SETTINGS_FILE_H_

#include <cstdint>
#include <string>

#include "peridotmill_core/errors/finding.h"
#include "peridotmill_gateway/settings/gateway_settings.h"

namespace peridotmill {

// Reads the platform's settings file. Appends errors to `findings`; the result
// is usable only if there are none.
GatewaySettings ReadSettingsFile(const std::string& path, Findings& findings);

// Returns the file's modification time in nanoseconds since the epoch, or 0 if
// it cannot be read.
int64_t GetModificationTimeNs(const std::string& path);

}  // namespace peridotmill

#endif  // PERIDOTMILL_DAEMONS_SETTINGS_FILE_H_
