#ifndef PERIDOTMILL_NET_SETTINGS_SETTINGS_CHECKER_H_
#define PERIDOTMILL_NET_SETTINGS_SETTINGS_CHECKER_H_

#include <string>
#include <string_view>
#include <vector>

#include "peridotmill_core/errors/finding.h"

namespace peridotmill {

// Exit code of a program whose settings or input have findings.
inline constexpr int kExitFindings = 2;

// Whether `text` is "host:port" or "[ipv6]:port"; port 0 only when allowed.
bool IsNetworkAddress(std::string_view text, bool allows_port_0 = false);

// Elements between commas, without empty ones.
std::vector<std::string> SplitList(std::string_view text);

// Collects findings on the values of flags. `flag` is the name without dashes.
class SettingsChecker {
 public:
  void Address(std::string_view flag, std::string_view value);
  // An address to listen on; port 0 takes any free port.
  void ListenAddress(std::string_view flag, std::string_view value);
  // At least one address, separated by commas.
  void Addresses(std::string_view flag, std::string_view value);
  // As Addresses, or empty.
  void OptionalAddresses(std::string_view flag, std::string_view value);
  void Positive(std::string_view flag, double value);
  void NotEmpty(std::string_view flag, std::string_view value);
  // Names of nodes, domains and the like: not empty, up to 255 letters, digits,
  // '.', '_' and '-'.
  void Id(std::string_view flag, std::string_view value);
  // At least 16 bytes. The finding never holds the value.
  void Secret(std::string_view flag, std::string_view value);
  void Add(std::string_view flag, std::string message);

  const Findings& findings() const { return findings_; }

 private:
  Findings findings_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_SETTINGS_SETTINGS_CHECKER_H_
