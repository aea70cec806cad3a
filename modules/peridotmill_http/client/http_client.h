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

struct HttpClientCounters {
  uint64_t connections_opened = 0;
  uint64_t connections_reused = 0;
  uint64_t mismatched_responses = 0;
  uint64_t surplus_bytes = 0;
};

// HTTP/1.1 client on the default GLib main context that keeps connections. It
// never sends a call twice.
class HttpClient final : public HttpCaller {
 public:
  explicit HttpClient(const Clock& clock);
  ~HttpClient() override;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::unique_ptr<OpenHttpCall> Start(HttpCall call,
                                      HttpCallListener* listener) override;

  const HttpClientCounters& counters() const { return counters_; }
  size_t idle_connection_count() const;

 private:
  friend class HttpClientConnection;

  static gboolean OnSweep(gpointer data);
  std::unique_ptr<HttpClientConnection> TakeIdle(const HttpCall& call);
  // Takes back a connection whose call is complete.
  void Keep(std::unique_ptr<HttpClientConnection> connection);
  // An idle connection has ended.
  void Drop(HttpClientConnection* connection);

  const Clock& clock_;
  guint sweep_source_ = 0;
  HttpClientCounters counters_;
  std::unordered_map<std::string,
                     std::deque<std::unique_ptr<HttpClientConnection>>>
      idle_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_CLIENT_HTTP_CLIENT_H_
