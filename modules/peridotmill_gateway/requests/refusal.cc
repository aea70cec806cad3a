#include "peridotmill_gateway/requests/refusal.h"

#include <algorithm>
#include <cstdio>
#include <string>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

// Callers honour a Retry-After of up to a third of their remaining time.
constexpr int kRetryAfterDeadlineDivisor = 3;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(250);
// A Retry-After is extended by a random part of up to this fraction, so that
// callers which are refused together do not return together.
constexpr double kRetryAfterJitter = 0.5;

bool IsTimeout(Reason reason) {
  return reason == Reason::kDeadlineExpired ||
         reason == Reason::kAttemptTimeout;
}

}  // namespace

NodeResponse MakeDenial(int status, Reason reason) {
  return {.status = status,
          .reason = reason,
          .execution = Execution::kNotRun,
          .retry_after = std::nullopt};
}

NodeResponse MakeFailure(const AttemptHistory& history,
                         Reason reason,
                         Duration retry_after) {
  if (history.IsKnownNotRunYet()) {
    return {.status = kServiceUnavailable,
            .reason = reason,
            .execution = Execution::kNotRun,
            .retry_after = std::max(retry_after, Duration::zero())};
  }
  return {.status = IsTimeout(reason) ? kGatewayTimeout : kBadGateway,
          .reason = reason,
          .execution = Execution::kUnknown,
          .retry_after = std::nullopt};
}

Duration BoundRetryAfter(Duration queue_drain_time,
                         Duration time_left,
                         Random& random) {
  const double jitter_factor = 1 + kRetryAfterJitter * random.Unit();
  return std::min(time_left / kRetryAfterDeadlineDivisor,
                  FromMilliseconds(ToMilliseconds(std::max(kMinRetryAfter,
                                                           queue_drain_time)) *
                                   jitter_factor));
}

void SendNodeResponse(ResponseWriter& channel, const NodeResponse& response) {
  HttpResponseHead head;
  head.status = response.status;
  head.headers.Add("Content-Type", "application/json");
  if (response.retry_after) {
    char seconds[32];
    std::snprintf(seconds, sizeof(seconds), "%.2f",
                  ToMilliseconds(*response.retry_after) / 1000);
    head.headers.Add("Retry-After", seconds);
  }
  std::string body = R"({"error":{"code":")";
  body += ToString(response.reason);
  body += R"(","message":")";
  body += GetReasonInfo(response.reason).description;
  body += R"(","execution":")";
  body += ToString(response.execution);
  body += R"("}})";
  SendComplete(channel, std::move(head), body);
}

}  // namespace peridotmill
