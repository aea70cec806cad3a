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

bool IsTimeout(Reason reason) {
  return reason == Reason::kDeadlineExpired ||
         reason == Reason::kAttemptTimeout;
}

}  // namespace

NodeAnswer MakeDenial(int status, Reason reason) {
  return {.status = status,
          .reason = reason,
          .execution = Execution::kNotRun,
          .retry_after = std::nullopt};
}

NodeAnswer MakeFailure(const AttemptHistory& history,
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

void SendNodeAnswer(ResponseWriter& channel, const NodeAnswer& answer) {
  HttpResponseHead head;
  head.status = answer.status;
  head.headers.Add("Content-Type", "application/json");
  if (answer.retry_after) {
    char seconds[32];
    std::snprintf(seconds, sizeof(seconds), "%.2f",
                  ToMilliseconds(*answer.retry_after) / 1000);
    head.headers.Add("Retry-After", seconds);
  }
  std::string body = R"({"error":{"code":")";
  body += ToString(answer.reason);
  body += R"(","message":")";
  body += GetReasonInfo(answer.reason).description;
  body += R"(","execution":")";
  body += ToString(answer.execution);
  body += R"("}})";
  SendComplete(channel, std::move(head), body);
}

}  // namespace peridotmill
