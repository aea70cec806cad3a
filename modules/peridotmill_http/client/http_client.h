#ifndef PERIDOTMILL_HTTP_CLIENT_HTTP_CLIENT_H_
#define PERIDOTMILL_HTTP_CLIENT_HTTP_CLIENT_H_

#include <glib.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "peridotmill_core/http/http_call.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_http/client/http_client_connection.h"

namespace peridotmill {

// Totals since the client was created.
struct HttpClientCounters {
  // Calls that opened a connection, and calls that used an idle one.
  uint64_t connections_opened = 0;
  uint64_t connections_reused = 0;
  // Responses that the call's listener rejected as not belonging to its call,
  // except those that cannot have a body.
  uint64_t mismatched_responses = 0;
  // Connections closed because bytes followed a complete response.
  uint64_t connections_closed_for_surplus_bytes = 0;
  // Idle connections closed instead of reused because bytes or the end of the
  // connection had arrived on them.
  uint64_t connections_closed_with_unread_input = 0;
  // Calls that were not sent because a part of their head would have changed
  // its structure, or because the head was too large.
  uint64_t calls_not_encodable = 0;
};

// HTTP/1.1 client on the default GLib main context with persistent connections.
// Never sends a call twice.
class HttpClient final : public HttpClientInterface {
 public:
  explicit HttpClient(const Clock& clock);
  ~HttpClient() override;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::unique_ptr<HttpCallHandle> Start(HttpCall call,
                                        HttpCallListener* listener) override;

  const HttpClientCounters& counters() const { return counters_; }
  size_t idle_connection_count() const;
  // Number of connections, those of calls and idle ones.
  size_t connection_count() const { return connection_count_; }

 private:
  friend class HttpClientConnection;

  static gboolean OnIdleCheck(gpointer data);
  // Returns an idle connection that `call` may use, or null.
  std::unique_ptr<HttpClientConnection> TakeIdle(const HttpCall& call);
  // Keeps a connection whose call is complete for later calls, or closes it if
  // it is no longer usable or its server has enough idle connections.
  void AddIdle(std::unique_ptr<HttpClientConnection> connection);
  // Removes an idle connection that was closed.
  void RemoveIdle(HttpClientConnection* connection);

  const Clock& clock_;
  guint idle_check_source_ = 0;
  HttpClientCounters counters_;
  size_t connection_count_ = 0;
  // Body bytes that a connection has parsed in the current read.
  std::string received_body_;
  // Idle connections by server address, the most recently used one last.
  std::unordered_map<std::string,
                     std::deque<std::unique_ptr<HttpClientConnection>>>
      idle_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_CLIENT_HTTP_CLIENT_H_
