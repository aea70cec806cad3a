#ifndef PERIDOTMILL_NET_CALLERS_CALLER_SERVER_H_
#define PERIDOTMILL_NET_CALLERS_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "peridotmill_core/peridotmill_core.h"
#include "peridotmill_net/callers/caller_limits.h"
#include "peridotmill_net/callers/caller_listener.h"
#include "peridotmill_net/callers/refusal_body.h"
#include "peridotmill_net/soup/soup_pointers.h"
#include "peridotmill_node/interface/node_command.h"
#include "peridotmill_node/interface/node_event.h"

namespace peridotmill {

class OpenCall;

// An answer that is ready at once.
struct PageAnswer {
  int http_status = 200;
  std::string content_type = "application/json";
  std::string body;
};

// What the server asks of the node.
struct CallerServerHandlers {
  std::function<void(NodeEvent)> on_event;
  std::function<RequestId()> next_request_id;
  // Pages without a request state: /metrics, /healthz, /readyz, /v1/models,
  // /admin/... `token` is the bearer token, if any.
  std::function<PageAnswer(const std::string& path, const std::string& token)>
      page;
  // Counts a refusal that the server makes itself.
  std::function<void(Reason)> on_refused;
};

// Serves callers and operators over HTTP.
class CallerServer {
 public:
  // `address` is "ip:port"; port 0 takes any free port. `certificate` with its
  // key makes this an HTTPS server; null: HTTP. Errors: kMalformed for the
  // address, kUnavailable when it cannot be listened on.
  static Result<std::unique_ptr<CallerServer>> Create(
      const std::string& address,
      CallerLimits limits,
      CallerServerHandlers handlers,
      GTlsCertificate* certificate = nullptr);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  void Send(const CallerFragment& command);
  void Send(const CallerAnswer& command);
  void Send(const CallerRefusal& command);

  // Stops accepting connections, so that another process can bind the address,
  // and closes idle ones; open calls go on. Each answer from now on is the last
  // one of its connection.
  void StopListening();

  // Whether a caller still waits for an answer or has not read all of one.
  bool has_open_calls() const;
  uint16_t port() const { return listener_->port(); }
  size_t connection_count() const { return listener_->connection_count(); }

 private:
  friend class OpenCall;

  CallerServer(CallerLimits limits, CallerServerHandlers handlers);
  void ConnectSignals();
  void OnStarted(SoupServerMessage* message);
  void OnHead(SoupServerMessage* message);
  void OnChunk(SoupServerMessage* message, std::string_view bytes);
  void OnRequest(SoupServerMessage* message, const char* path);
  // True when the path is one of the callers' interfaces.
  bool OpenCallFor(SoupServerMessage* message,
                   const std::string& path,
                   std::string& body);
  void OpenAndPost(SoupServerMessage* message,
                   NodeEvent event,
                   const RequestId& id);
  void OnGone(const RequestId& request);
  void AnswerPage(SoupServerMessage* message, const std::string& path);
  // Sets the headers that all answers have.
  void PrepareAnswer(SoupServerMessage* message) const;
  // Counts bytes handed to libsoup; false when the caller reads too little.
  bool AddUnsent(SoupServerMessage* message, size_t bytes) const;
  void RefuseMethod(SoupServerMessage* message, const char* allowed);
  std::string CountedRefusal(Reason reason, const std::string& detail) const;

  CallerLimits limits_;
  CallerServerHandlers handlers_;
  ObjectPtr<SoupServer> server_;
  std::unique_ptr<CallerListener> listener_;
  bool is_stopping_ = false;
  std::unordered_map<RequestId, std::unique_ptr<OpenCall>> calls_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_CALLERS_CALLER_SERVER_H_
