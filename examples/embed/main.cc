// Drives one node without a socket: events go in, commands come out.

#include <chrono>
#include <iostream>
#include <memory>

#include "peridotmill_node/peridotmill_node.h"
#include "peridotmill_node/status/status_page.h"

namespace pm = peridotmill;

namespace {

// The token is "demo-token".
constexpr char kObjects[] = R"(
{kind: Priority, name: interactive, level: 1}
---
{kind: Pool, name: calendars}
---
kind: Stage
name: find-dates
role: service
pool: calendars
price: {per_call: 30}
---
kind: Pipeline
name: date-lookup
priority: interactive
stages: [{stage: find-dates}]
---
kind: Team
name: treks
token_sha256: TOKEN
)";

std::shared_ptr<const pm::ObjectSet> ReadSet() {
  std::string text = kObjects;
  text.replace(text.find("TOKEN"), 5, pm::Sha256Hex("demo-token"));
  auto objects = std::make_shared<pm::ObjectSet>();
  pm::ObjectPlaces places;
  pm::Findings findings;
  pm::ReadObjects(text, "objects.yaml", *objects, places, findings);
  if (findings.empty()) {
    findings = pm::ValidateObjects(*objects, places);
  }
  std::cerr << pm::ToString(findings);
  return findings.empty() ? objects : nullptr;
}

}  // namespace

int main() {
  pm::NodeSettings settings;
  settings.id = pm::NodeId("embedded");
  settings.failure_domain = pm::FailureDomainId("here");
  auto node = pm::MakeNode(settings);
  const auto objects = ReadSet();
  pm::TimePoint now{};
  if (!node || !objects ||
      !pm::ApplyConfig(*node, pm::Revision(1), objects, now)) {
    return 1;
  }
  pm::HostList hosts;
  hosts.endpoints.push_back(
      {pm::EndpointId("calendar-1"), "10.0.0.1:80", pm::PoolId("calendars"),
       pm::FailureDomainId("here"), false, pm::Incarnation(1)});
  pm::Step(*node, pm::HostListRead{hosts}, now);

  pm::CallerRequest request;
  request.id = pm::NextRequestId(*node);
  request.pipeline = pm::PipelineId("date-lookup");
  request.token = "demo-token";
  request.body = R"({"input": "north ridge"})";
  pm::AttemptFinished finished;
  for (const auto& command : pm::Step(*node, request, now)) {
    if (const auto* start = std::get_if<pm::StartAttempt>(&command)) {
      std::cout << "call " << start->address << start->path << "\n";
      finished.attempt = start->attempt;
    }
  }
  // In place of a call over the network.
  finished.echoed_attempt = finished.attempt.value();
  finished.outcome = pm::AttemptOutcome::kCompleted;
  finished.body = R"({"result": ["2027-05-14"]})";
  now += std::chrono::milliseconds(20);
  bool is_answered = false;
  for (const auto& command : pm::Step(*node, finished, now)) {
    if (const auto* answer = std::get_if<pm::CallerAnswer>(&command)) {
      std::cout << "answer " << answer->body << "\n";
      is_answered = true;
    }
  }
  std::cout << pm::RenderExplanation(*node, request.id, now).value_or("")
            << "\n";
  return is_answered ? 0 : 1;
}
