#include "peridotmill_net/hosts/host_list_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "peridotmill_net/logging/event_log.h"

namespace peridotmill {
namespace {

using nlohmann::json;

constexpr guint kTimeoutSeconds = 2;
constexpr gsize kMaxListBytes = 8 << 20;
constexpr int kHttpOk = 200;

bool IsLeaving(const json& entry) {
  return entry.value("state", "live") == "leaving";
}

EndpointRecord ReadEndpoint(const json& entry) {
  EndpointRecord record;
  record.id = EndpointId(entry.at("id").get<std::string>());
  record.address = entry.at("address").get<std::string>();
  record.pool = PoolId(entry.at("pool").get<std::string>());
  record.failure_domain =
      FailureDomainId(entry.at("failure_domain").get<std::string>());
  record.is_leaving = IsLeaving(entry);
  record.incarnation = Incarnation(entry.value("incarnation", int64_t{0}));
  return record;
}

NodeRecord ReadNode(const json& entry) {
  NodeRecord record;
  record.id = NodeId(entry.at("id").get<std::string>());
  record.peer_address = entry.at("peer_address").get<std::string>();
  record.failure_domain =
      FailureDomainId(entry.at("failure_domain").get<std::string>());
  record.is_leaving = IsLeaving(entry);
  return record;
}

}  // namespace

Result<HostList> DecodeHostList(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  try {
    HostList list;
    list.version = parsed.at("version").get<int64_t>();
    for (const json& entry : parsed.at("endpoints")) {
      list.endpoints.push_back(ReadEndpoint(entry));
    }
    for (const json& entry : parsed.at("nodes")) {
      list.nodes.push_back(ReadNode(entry));
    }
    return list;
  } catch (const json::exception&) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
}

HostListClient::HostListClient(std::string base_url,
                               guint interval_ms,
                               ListSink sink)
    : url_(std::move(base_url) + "/v1/hosts"),
      interval_ms_(interval_ms),
      sink_(std::move(sink)),
      session_(SOUP_SESSION(g_object_new(SOUP_TYPE_SESSION,
                                         "timeout",
                                         kTimeoutSeconds,
                                         nullptr))),
      cancellable_(g_cancellable_new()) {}

std::unique_ptr<HostListClient> HostListClient::Create(std::string base_url,
                                                       guint interval_ms,
                                                       ListSink sink) {
  std::unique_ptr<HostListClient> client(
      new HostListClient(std::move(base_url), interval_ms, std::move(sink)));
  client->Poll();
  return client;
}

HostListClient::~HostListClient() {
  g_cancellable_cancel(cancellable_.get());
}

void HostListClient::Poll() {
  message_.reset(soup_message_new(SOUP_METHOD_GET, url_.c_str()));
  soup_session_send_and_read_async(
      session_.get(), message_.get(), G_PRIORITY_DEFAULT, cancellable_.get(),
      [](GObject* source, GAsyncResult* result, gpointer data) {
        GError* error = nullptr;
        const BytesPointer bytes(soup_session_send_and_read_finish(
            SOUP_SESSION(source), result, &error));
        const ErrorPointer owned_error(error);
        if (error != nullptr &&
            g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
          return;
        }
        static_cast<HostListClient*>(data)->OnAnswer(bytes.get());
      },
      this);
}

void HostListClient::OnAnswer(GBytes* bytes) {
  if (bytes != nullptr && g_bytes_get_size(bytes) <= kMaxListBytes &&
      soup_message_get_status(message_.get()) == kHttpOk) {
    const std::string body(ViewOf(bytes));
    // An unchanged list is not decoded again.
    if (body != last_body_) {
      if (auto list = DecodeHostList(body)) {
        last_body_ = body;
        sink_(*std::move(list));
      } else {
        LogWarning("host_list_malformed");
      }
    }
  }
  next_poll_.Start(
      interval_ms_,
      [](gpointer data) { static_cast<HostListClient*>(data)->Poll(); }, this);
}

}  // namespace peridotmill
