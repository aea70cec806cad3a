#include "daemons/peridotmill-gateway/settings_file.h"

#include <sys/stat.h>

#include <fstream>
#include <iterator>

#include "platform/settings_codec.h"

namespace peridotmill {

GatewaySettings ReadSettingsFile(const std::string& path, Findings& findings) {
  std::ifstream file(path, std::ios::binary);
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  if (!file && text.empty()) {
    findings.push_back({.place = {.file = path}, .message = "cannot be read"});
    return {};
  }
  return platform::DecodeSettings(text, path, findings);
}

int64_t GetModificationTimeNs(const std::string& path) {
  struct stat status = {};
  if (stat(path.c_str(), &status) != 0) {
    return 0;
  }
  constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;
  return status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec;
}

}  // namespace peridotmill
