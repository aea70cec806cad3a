#ifndef PERIDOTMILL_DAEMONS_SETTINGS_FILE_H_
#define PERIDOTMILL_DAEMONS_SETTINGS_FILE_H_

#include <cstdint>
#include <string>

#include "peridotmill_core/errors/finding.h"
#include "peridotmill_gateway/settings/gateway_settings.h"

namespace peridotmill {

// Reads the platform's settings file; faults become findings.
GatewaySettings ReadSettingsFile(const std::string& path, Findings& findings);

// Time of the file's last change in nanoseconds, or 0 when it cannot be read.
int64_t ModificationTime(const std::string& path);

}  // namespace peridotmill

#endif  // PERIDOTMILL_DAEMONS_SETTINGS_FILE_H_
