// peridotmill-gateway: the gateway process of an entry node on the users'
// platform.

#include <gflags/gflags.h>
#include <glib-unix.h>
#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "daemons/peridotmill-gateway/gateway_process.h"
#include "daemons/peridotmill-gateway/settings_file.h"
#include "peridotmill_core/time/boot_clock.h"
#include "platform/settings_codec.h"

DEFINE_string(
    settings,
    "",
    "path of the platform's settings file; by default the path in the "
    "platform's environment variable");
DEFINE_bool(check, false, "check the settings file and exit");

namespace peridotmill {
namespace {

constexpr int kExitInvalidSettings = 2;

gboolean OnStopSignal(gpointer process) {
  static_cast<GatewayProcess*>(process)->RequestStop();
  return G_SOURCE_CONTINUE;
}

gboolean OnReloadSignal(gpointer process) {
  static_cast<GatewayProcess*>(process)->ReloadSettings();
  return G_SOURCE_CONTINUE;
}

std::string SettingsPath() {
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* const path = std::getenv(platform::kSettingsVariable);
  return path == nullptr ? "" : path;
}

// Takes large blocks from the system, one by one, and returns them when they
// are freed. By default the heap takes them over after the first one, and its
// free parts stay in use between small blocks.
void KeepHeapSmall() {
  constexpr int kLargeBlockBytes = 64 * 1024;
  constexpr int kFreeEndBytes = 1024 * 1024;
  (void)mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  (void)mallopt(M_TRIM_THRESHOLD, kFreeEndBytes);
}

int Main(int argc, char** argv) {
  gflags::SetUsageMessage("--settings=FILE [--check]");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  const std::string path = SettingsPath();
  Findings findings;
  if (path.empty()) {
    findings.push_back({.place = {.object = "--settings"},
                        .message = std::string("is missing, and ") +
                                   platform::kSettingsVariable +
                                   " is not set"});
  }
  GatewaySettings settings;
  if (findings.empty()) {
    settings = ReadSettingsFile(path, findings);
  }
  if (!findings.empty()) {
    std::fputs(ToString(findings).c_str(), stderr);
    return kExitInvalidSettings;
  }
  if (FLAGS_check) {
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  if (settings.memory_bytes > 0) {
    KeepHeapSmall();
  }
  // Counts the time while the host is suspended, so that deadlines and leases
  // that expired meanwhile count as expired.
  const BootClock clock;
  OutputLog log(STDOUT_FILENO, clock);
  auto process = GatewayProcess::Create(settings, path, clock, log);
  if (!process) {
    log.Write("start_failed", {{"error", process.error().message()}});
    return 1;
  }
  g_unix_signal_add(SIGTERM, OnStopSignal, process->get());
  g_unix_signal_add(SIGINT, OnStopSignal, process->get());
  g_unix_signal_add(SIGHUP, OnReloadSignal, process->get());
  log.Write("started", {{"node", settings.node.value()},
                        {"failure_domain", settings.failure_domain.value()},
                        {"caller_address", settings.caller_address},
                        {"store", settings.store_address}});
  return (*process)->Run();
}

}  // namespace
}  // namespace peridotmill

int main(int argc, char** argv) {
  return peridotmill::Main(argc, argv);
}
