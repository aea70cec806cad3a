#include "tools/peridotmill-experiment/watching/watchers.h"

#include <glib.h>
#include <cstdint>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>

#include "peridotctl/node_queries.h"
#include "tools/peridotmill-experiment/summing/metrics_text.h"

namespace peridotmill::experiment {
namespace {

constexpr int kHttpOk = 200;
// A node that does not answer for this long counts as unreachable.
constexpr std::chrono::milliseconds kTimeout{1000};

volatile std::sig_atomic_t stop_requested = 0;

void OnSignal(int /*signal*/) {
  stop_requested = 1;
}

int64_t NowMs() {
  return static_cast<int64_t>(g_get_real_time() / 1000);
}

// Runs `sample` each `interval` until SIGTERM.
template <typename Function>
void Repeat(Duration interval, Function sample) {
  std::signal(SIGTERM, OnSignal);
  auto next = std::chrono::steady_clock::now();
  while (stop_requested == 0) {
    sample();
    std::fflush(stdout);
    next = std::max(next + interval, std::chrono::steady_clock::now());
    std::this_thread::sleep_until(next);
  }
}

std::string Get(const std::string& address, const std::string& path) {
  const HttpReply reply = GetFromAll({address}, path, "", kTimeout).front();
  return reply.status == kHttpOk ? reply.body : "";
}

bool IsLeaving(const std::string& report) {
  const auto load = nlohmann::json::parse(report, nullptr, false);
  if (!load.is_object()) {
    return false;
  }
  return load.value("is_leaving", false);
}

int64_t CountOf(const nlohmann::json& counts, bool is_load_read) {
  int64_t sum = 0;
  for (const auto& [name, count] : counts.items()) {
    const bool is_work =
        name == "POST /v1/chat/completions" || name.starts_with("POST /call");
    if (is_load_read ? name == "GET /v1/load" : is_work) {
      sum += count.get<int64_t>();
    }
  }
  return sum;
}

}  // namespace

void WatchNode(const std::string& address, Duration interval) {
  Repeat(interval, [&] {
    const std::string page = Get(address, "/metrics");
    if (page.empty()) {
      std::printf("%ld down\n", NowMs());
      return;
    }
    MetricsText metrics;
    metrics.Add(page);
    std::printf("%ld up %s %.0f %.0f\n", NowMs(),
                metrics.LabelOf("peridotmill_node_info", "incarnation").c_str(),
                metrics.Sum("peridotmill_config_revision"),
                metrics.Sum("peridotmill_peer_bytes_sent_total") +
                    metrics.Sum("peridotmill_peer_bytes_received_total"));
  });
}

void WatchEndpoint(const std::string& address, Duration interval) {
  bool is_leaving = false;
  Repeat(interval, [&] {
    if (!is_leaving) {
      is_leaving = IsLeaving(Get(address, "/v1/load"));
    }
    const auto answer =
        nlohmann::json::parse(Get(address, "/stand-in/counts"), nullptr, false);
    if (answer.is_object() && answer.contains("counts")) {
      const auto& counts = answer["counts"];
      std::printf("%ld %s %ld %ld\n", NowMs(), is_leaving ? "leaving" : "live",
                  CountOf(counts, true), CountOf(counts, false));
    }
  });
}

}  // namespace peridotmill::experiment
