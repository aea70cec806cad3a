#ifndef PERIDOTMILL_NET_CALLERS_CALLER_LISTENER_H_
#define PERIDOTMILL_NET_CALLERS_CALLER_LISTENER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_net/callers/caller_connection.h"
#include "peridotmill_net/soup/soup_pointers.h"

namespace peridotmill {

// Accepts callers' connections and hands them to libsoup. libsoup's own
// listener bounds neither their number nor the time that one may stay silent.
class CallerListener {
 public:
  // `on_slow_request`: a request did not arrive in time.
  // `refuse_connection`: the bound on connections is reached; returns the body
  // of the refusal.
  struct Handlers {
    std::function<void(CallerConnection&)> on_slow_request;
    std::function<std::string()> refuse_connection;
  };

  // `certificate` may be null: plain HTTP. `limits` and `server` must outlive
  // the listener. Errors: kMalformed, kUnavailable.
  static Result<std::unique_ptr<CallerListener>> Create(
      const std::string& address,
      const CallerLimits& limits,
      SoupServer* server,
      GTlsCertificate* certificate,
      Handlers handlers);
  ~CallerListener();
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  // Stops accepting connections and closes idle ones.
  void Stop();

  // The connection of a message; null when it is gone.
  CallerConnection* Find(SoupServerMessage* message) const;

  uint16_t port() const { return port_; }
  size_t connection_count() const { return connections_.size(); }
  // Whether a response is still being written or computed.
  bool is_answering() const;

 private:
  CallerListener(const CallerLimits& limits,
                 SoupServer* server,
                 GTlsCertificate* certificate,
                 Handlers handlers);
  static gboolean OnIncoming(GSocketService* service,
                             GSocketConnection* connection,
                             GObject* source,
                             gpointer data);
  void Accept(GSocketConnection* connection);
  ObjectPtr<GIOStream> StreamOver(GSocketConnection* connection) const;

  const CallerLimits& limits_;
  SoupServer* server_;
  ObjectPtr<GTlsCertificate> certificate_;
  Handlers handlers_;
  ObjectPtr<GSocketService> service_;
  ObjectPtr<GSocket> silent_;
  uint16_t port_ = 0;
  bool is_stopped_ = false;
  std::unordered_map<GSocketAddress*, std::unique_ptr<CallerConnection>>
      connections_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_CALLERS_CALLER_LISTENER_H_
