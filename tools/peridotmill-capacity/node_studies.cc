#include "node_studies.h"

#include <cstdio>

#include "measurement.h"
#include "node_driver.h"

namespace peridotmill::capacity {
namespace {

constexpr int kSeconds = 30;

void PrintHead(const char* size) {
  std::printf(
      "%s,relay,step_us_per_s,memory_kib,bytes_sent_per_s,bytes_received_per_s,"
      "frames_per_s,events_per_s,tokens_per_s,answered,refused\n",
      size);
}

void PrintRow(double point, const DriverSettings& settings) {
  MemoryStore store;
  Publish(store, MakeObjects(settings.size), Revision());
  const double before = AllocatedBytes();
  NodeDriver driver(settings, store);
  driver.RunSeconds(5);
  driver.ResetWork();
  driver.RunSeconds(kSeconds);
  const double memory = AllocatedBytes() - before;
  uint64_t events = 0;
  for (const auto& [name, work] : driver.WorkByEvent()) {
    events += work.count;
  }
  const double span = kSeconds;
  std::printf(
      "%g,%d,%.1f,%.0f,%.0f,%.0f,%.1f,%.0f,%.0f,%lu,%lu\n", point,
      driver.is_relay() ? 1 : 0,
      static_cast<double>(driver.nanoseconds()) / 1e3 / span, memory / 1024,
      static_cast<double>(driver.bytes_sent()) / span,
      static_cast<double>(driver.bytes_received()) / span,
      static_cast<double>(driver.frames_sent() + driver.frames_received()) /
          span,
      static_cast<double>(events) / span,
      static_cast<double>(driver.tokens()) / span, driver.answered(),
      driver.refused());
  std::fflush(stdout);
}

}  // namespace

void StudyNodeByMembers() {
  PrintHead("members");
  for (const int domains : {2, 4, 8, 16}) {
    for (const bool is_relay : {false, true}) {
      DriverSettings settings;
      settings.size.domains = domains;
      settings.size.nodes = domains * 330 / 16;
      settings.size.endpoints = domains * 1300 / 16;
      settings.is_relay = is_relay;
      PrintRow(settings.size.nodes, settings);
    }
  }
}

void StudyNodeByEndpoints() {
  PrintHead("endpoints");
  for (const int endpoints : {160, 325, 650, 1300, 2600}) {
    DriverSettings settings;
    settings.size.endpoints = endpoints;
    PrintRow(endpoints, settings);
  }
}

void StudyNodeByTeams() {
  PrintHead("teams");
  for (const int teams : {3'750, 7'500, 15'000, 30'000, 60'000}) {
    DriverSettings settings;
    settings.size.teams = teams;
    PrintRow(teams, settings);
  }
}

void StudyNodeByRequests() {
  PrintHead("requests_per_second");
  for (const double rate : {0.0, 2.5, 5.0, 10.0, 20.0}) {
    for (const bool is_relay : {false, true}) {
      DriverSettings settings;
      settings.requests_per_second = rate;
      settings.is_relay = is_relay;
      PrintRow(rate, settings);
    }
  }
}

void StudyNodeByEvent() {
  std::printf("relay,event,per_second,us_per_event,us_per_second\n");
  for (const bool is_relay : {false, true}) {
    DriverSettings settings;
    settings.is_relay = is_relay;
    MemoryStore store;
    Publish(store, MakeObjects(settings.size), Revision());
    NodeDriver driver(settings, store);
    driver.ResetWork();
    driver.RunSeconds(kSeconds);
    for (const auto& [name, work] : driver.WorkByEvent()) {
      std::printf("%d,%s,%.2f,%.2f,%.1f\n", is_relay ? 1 : 0, name.c_str(),
                  static_cast<double>(work.count) / double{kSeconds},
                  static_cast<double>(work.nanoseconds) / 1e3 /
                      static_cast<double>(work.count),
                  static_cast<double>(work.nanoseconds) / 1e3 / kSeconds);
    }
  }
}

}  // namespace peridotmill::capacity
