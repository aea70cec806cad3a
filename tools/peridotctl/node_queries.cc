#include "peridotctl/node_queries.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

#include "peridotmill_net/glib/object_ptr.h"

namespace peridotmill {
namespace {

constexpr size_t kMaxBody = size_t{1} << 20;

// One request. It ends once `is_done` is set, by an answer or by cancellation.
struct Query {
  ObjectPtr<SoupMessage> message;
  ObjectPtr<GInputStream> stream;
  GCancellable* cancellable = nullptr;
  std::string body;
  HttpReply reply;
  bool is_done = false;
};

void OnBody(GObject* stream, GAsyncResult* result, gpointer data) {
  auto* const query = static_cast<Query*>(data);
  gsize size = 0;
  const gboolean complete = g_input_stream_read_all_finish(
      G_INPUT_STREAM(stream), result, &size, nullptr);
  if (complete != FALSE && size <= kMaxBody) {
    query->reply.status =
        static_cast<int>(soup_message_get_status(query->message.get()));
    query->body.resize(size);
    query->reply.body = std::move(query->body);
  }
  query->is_done = true;
}

void OnHeaders(GObject* session, GAsyncResult* result, gpointer data) {
  auto* const query = static_cast<Query*>(data);
  query->stream.reset(
      soup_session_send_finish(SOUP_SESSION(session), result, nullptr));
  if (query->stream == nullptr) {
    query->is_done = true;
    return;
  }
  // One byte more than allowed shows that a body is too large.
  query->body.resize(kMaxBody + 1);
  g_input_stream_read_all_async(query->stream.get(), query->body.data(),
                                query->body.size(), G_PRIORITY_DEFAULT,
                                query->cancellable, OnBody, query);
}

void Start(SoupSession* session,
           const std::string& uri,
           const std::string& bearer_token,
           Query& query) {
  query.message.reset(soup_message_new("GET", uri.c_str()));
  if (query.message == nullptr) {
    query.is_done = true;
    return;
  }
  // A redirect could carry the token to another host.
  soup_message_add_flags(query.message.get(), SOUP_MESSAGE_NO_REDIRECT);
  if (!bearer_token.empty()) {
    soup_message_headers_replace(
        soup_message_get_request_headers(query.message.get()), "Authorization",
        ("Bearer " + bearer_token).c_str());
  }
  soup_session_send_async(session, query.message.get(), G_PRIORITY_DEFAULT,
                          query.cancellable, OnHeaders, &query);
}

std::string AddressOf(const nlohmann::json& node, int http_port) {
  if (const auto address = node.find("address"); address != node.end()) {
    return address->get<std::string>();
  }
  const auto peer_address = node.at("peer_address").get<std::string>();
  return peer_address.substr(0, peer_address.rfind(':')) + ":" +
         std::to_string(http_port);
}

}  // namespace

std::vector<HttpReply> GetFromAll(const std::vector<std::string>& addresses,
                                  const std::string& path,
                                  const std::string& bearer_token,
                                  Duration timeout) {
  // All nodes of the design size at once stay below the usual limit of 1,024
  // descriptors.
  constexpr int kMaxConnections = 400;
  const ObjectPtr<SoupSession> session(soup_session_new_with_options(
      "max-conns", kMaxConnections, "max-conns-per-host", kMaxConnections,
      nullptr));
  soup_session_set_proxy_resolver(session.get(), nullptr);
  const ObjectPtr<GCancellable> cancellable(g_cancellable_new());
  std::vector<Query> queries(addresses.size());
  for (size_t i = 0; i < addresses.size(); ++i) {
    queries[i].cancellable = cancellable.get();
    Start(session.get(), "http://" + addresses[i] + path, bearer_token,
          queries[i]);
  }
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  bool timer_runs = true;
  struct Timer {
    GCancellable* cancellable;
    bool& runs;
  } timer{cancellable.get(), timer_runs};
  const guint source = g_timeout_add(
      static_cast<guint>(ms.count()),
      [](gpointer data) -> gboolean {
        auto* const expired = static_cast<Timer*>(data);
        expired->runs = false;
        g_cancellable_cancel(expired->cancellable);
        return G_SOURCE_REMOVE;
      },
      &timer);
  const auto is_done = [](const Query& query) { return query.is_done; };
  // Ends, because the timer cancels all queries.
  while (!std::all_of(queries.begin(), queries.end(), is_done)) {
    g_main_context_iteration(nullptr, TRUE);
  }
  if (timer_runs) {
    g_source_remove(source);
  }
  std::vector<HttpReply> replies;
  replies.reserve(queries.size());
  for (Query& query : queries) {
    replies.push_back(std::move(query.reply));
  }
  return replies;
}

Result<std::vector<std::string>> NodeAddressesOf(const std::string& host_list,
                                                 int http_port) {
  const auto list = nlohmann::json::parse(host_list, nullptr, false);
  try {
    std::vector<std::string> addresses;
    for (const nlohmann::json& node : list.at("nodes")) {
      addresses.push_back(AddressOf(node, http_port));
    }
    return addresses;
  } catch (const nlohmann::json::exception&) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
}

}  // namespace peridotmill
