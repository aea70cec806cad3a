#include "peridotmill_net/endpoints/endpoint_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "peridotmill_net/endpoints/load_codec.h"
#include "peridotmill_net/endpoints/open_attempt.h"

namespace peridotmill {
namespace {

constexpr guint kSmallTimeoutSeconds = 2;
constexpr gsize kMaxSmallAnswer = 4 << 20;
constexpr int kHttpOk = 200;

// Connections of one node to all endpoints; attempts are bounded by the
// concurrency limits, so this only has to be out of their way.
constexpr int kMaxConnections = 10'000;

struct SmallCall {
  std::function<void(int, const std::string&)> done;
  ObjectPtr<SoupMessage> message;
};

}  // namespace

EndpointClient::EndpointClient(FailureDomainId failure_domain, EventSink sink)
    : failure_domain_(std::move(failure_domain)),
      sink_(std::move(sink)),
      session_(SOUP_SESSION(g_object_new(SOUP_TYPE_SESSION,
                                         "max-conns",
                                         kMaxConnections,
                                         "max-conns-per-host",
                                         kMaxConnections,
                                         "user-agent",
                                         "peridotmill",
                                         nullptr))),
      small_session_(SOUP_SESSION(g_object_new(SOUP_TYPE_SESSION,
                                               "timeout",
                                               kSmallTimeoutSeconds,
                                               "max-conns",
                                               kMaxConnections,
                                               nullptr))),
      cancellable_(g_cancellable_new()) {}

std::unique_ptr<EndpointClient> EndpointClient::Create(
    FailureDomainId failure_domain,
    EventSink sink) {
  return std::unique_ptr<EndpointClient>(
      new EndpointClient(std::move(failure_domain), std::move(sink)));
}

void EndpointClient::AddHeaders(SoupMessage* message) const {
  soup_message_headers_replace(soup_message_get_request_headers(message),
                               "X-Failure-Domain",
                               failure_domain_.value().c_str());
}

EndpointClient::~EndpointClient() {
  for (auto& [id, attempt] : attempts_) {
    attempt->Abandon();
  }
  g_cancellable_cancel(cancellable_.get());
}

void EndpointClient::Start(const StartAttempt& command) {
  auto attempt = std::make_shared<OpenAttempt>(*this, command);
  attempts_[command.attempt] = attempt;
  attempt->Send(session_.get());
}

void EndpointClient::Cancel(const CancelAttempt& command) {
  const auto open = attempts_.find(command.attempt);
  if (open != attempts_.end()) {
    open->second->Abandon();
    attempts_.erase(open);
  }
  if (command.is_stream) {
    SendSmall(SOUP_METHOD_POST, "http://" + command.address + "/v1/cancel",
              nlohmann::json{{"attempt_id", command.attempt.value()}}.dump(),
              [](int, const std::string&) {});
  }
}

void EndpointClient::Finish(const AttemptId& attempt, AttemptFinished event) {
  attempts_.erase(attempt);
  sink_(std::move(event));
}

void EndpointClient::Read(const ReadLoad& command) {
  SendSmall(
      SOUP_METHOD_GET, "http://" + command.address + "/v1/load", "",
      [this, endpoint = command.endpoint](int status, const std::string& body) {
        LoadRead event{endpoint, std::nullopt};
        if (status == kHttpOk) {
          if (auto load = DecodeLoad(body)) {
            event.load = *std::move(load);
          }
        }
        sink_(std::move(event));
      });
  if (!command.with_cache_events) {
    return;
  }
  SendSmall(
      SOUP_METHOD_GET,
      "http://" + command.address + "/v1/cache-events?since=" +
          std::to_string(command.cache_events_since),
      "",
      [this, endpoint = command.endpoint](int status, const std::string& body) {
        if (status != kHttpOk) {
          return;
        }
        if (auto events = DecodeCacheEvents(body)) {
          sink_(CacheEventsRead{endpoint, *std::move(events)});
        }
      });
}

void EndpointClient::Send(const SendOrder& command) {
  SendSmall(
      SOUP_METHOD_POST, "http://" + command.address + "/v1/orders",
      nlohmann::json{{"fence", command.fence.value()},
                     {"order", "load"},
                     {"model", command.model}}
          .dump(),
      [this, endpoint = command.endpoint](int status, const std::string&) {
        sink_(OrderFinished{endpoint, status == kHttpOk});
      });
}

void EndpointClient::Read(const ReadWeights& command,
                          const std::string& base_url) {
  // The weight store's Retry-After is given in whole seconds; this is the
  // least that it can be.
  static constexpr Duration kRetryAfter = std::chrono::seconds(1);
  if (base_url.empty()) {
    sink_(WeightsRead{command.pool, true, {}});
    return;
  }
  SendSmall(SOUP_METHOD_GET, base_url + "/v1/weights/" + command.model, "",
            [this, pool = command.pool](int status, const std::string&) {
              sink_(WeightsRead{pool, status == kHttpOk, kRetryAfter});
            });
}

void EndpointClient::SendSmall(const char* method,
                               const std::string& url,
                               const std::string& body,
                               SmallAnswer done) {
  auto call = std::make_unique<SmallCall>();
  call->done = std::move(done);
  call->message.reset(soup_message_new(method, url.c_str()));
  if (!call->message) {
    return;
  }
  AddHeaders(call->message.get());
  if (!body.empty()) {
    const BytesPointer bytes(g_bytes_new(body.data(), body.size()));
    soup_message_set_request_body_from_bytes(call->message.get(),
                                             "application/json", bytes.get());
  }
  SoupMessage* message = call->message.get();
  soup_session_send_and_read_async(
      small_session_.get(), message, G_PRIORITY_DEFAULT, cancellable_.get(),
      [](GObject* source, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<SmallCall> call(static_cast<SmallCall*>(data));
        GError* error = nullptr;
        const BytesPointer bytes(soup_session_send_and_read_finish(
            SOUP_SESSION(source), result, &error));
        const ErrorPointer owned_error(error);
        if (error != nullptr &&
            g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
          return;
        }
        if (!bytes || g_bytes_get_size(bytes.get()) > kMaxSmallAnswer) {
          call->done(0, "");
          return;
        }
        call->done(
            static_cast<int>(soup_message_get_status(call->message.get())),
            std::string(ViewOf(bytes.get())));
      },
      call.release());
}

}  // namespace peridotmill
