#include "peridotmill_net/settings/settings_checker.h"

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace peridotmill {
namespace {

constexpr size_t kMaxIdSize = 255;
// Shorter keys can be guessed from one recorded handshake.
constexpr size_t kMinSecretSize = 16;

bool IsIdCharacter(char c) {
  return g_ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
}

bool IsHost(std::string_view host) {
  if (host.starts_with('[') && host.ends_with(']')) {
    const std::string inner(host.substr(1, host.size() - 2));
    return inner.find(':') != std::string::npos &&
           g_hostname_is_ip_address(inner.c_str()) != FALSE;
  }
  return !host.empty() && std::all_of(host.begin(), host.end(), IsIdCharacter);
}

}  // namespace

bool IsNetworkAddress(std::string_view text, bool allows_port_0) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsHost(text.substr(0, colon))) {
    return false;
  }
  constexpr int kMaxPort = 65535;
  const std::string_view digits = text.substr(colon + 1);
  const char* const end = digits.data() + digits.size();
  int port = 0;
  const auto [last, error] = std::from_chars(digits.data(), end, port);
  return error == std::errc() && last == end && port <= kMaxPort &&
         port >= (allows_port_0 ? 0 : 1);
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> elements;
  while (!text.empty()) {
    const std::string_view element = text.substr(0, text.find(','));
    if (!element.empty()) {
      elements.emplace_back(element);
    }
    text.remove_prefix(std::min(element.size() + 1, text.size()));
  }
  return elements;
}

void SettingsChecker::Address(std::string_view flag, std::string_view value) {
  if (!IsNetworkAddress(value)) {
    Add(flag, "must be an address such as 10.0.0.1:2379");
  }
}

void SettingsChecker::ListenAddress(std::string_view flag,
                                    std::string_view value) {
  if (!IsNetworkAddress(value, /*allows_port_0=*/true)) {
    Add(flag, "must be an address to listen on, such as 0.0.0.0:8080");
  }
}

void SettingsChecker::Addresses(std::string_view flag, std::string_view value) {
  if (SplitList(value).empty()) {
    Add(flag, "must name at least one address");
  }
  OptionalAddresses(flag, value);
}

void SettingsChecker::OptionalAddresses(std::string_view flag,
                                        std::string_view value) {
  for (const std::string& address : SplitList(value)) {
    if (!IsNetworkAddress(address)) {
      Add(flag, "`" + address + "` is not an address such as 10.0.0.1:2379");
    }
  }
}

void SettingsChecker::Positive(std::string_view flag, double value) {
  if (!std::isfinite(value) || value <= 0) {
    Add(flag, "must be positive");
  }
}

void SettingsChecker::NotEmpty(std::string_view flag, std::string_view value) {
  if (value.empty()) {
    Add(flag, "must be set");
  }
}

void SettingsChecker::Id(std::string_view flag, std::string_view value) {
  if (value.empty()) {
    Add(flag, "must be set");
  } else if (value.size() > kMaxIdSize ||
             !std::all_of(value.begin(), value.end(), IsIdCharacter)) {
    Add(flag, "must be up to 255 letters, digits, '.', '_' and '-'");
  }
}

void SettingsChecker::Secret(std::string_view flag, std::string_view value) {
  if (value.size() < kMinSecretSize) {
    Add(flag, "must be set to at least 16 bytes");
  }
}

void SettingsChecker::Add(std::string_view flag, std::string message) {
  InputLocation place;
  place.object = "--" + std::string(flag);
  findings_.push_back({std::move(place), std::move(message)});
}

}  // namespace peridotmill
