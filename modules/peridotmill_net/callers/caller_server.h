#ifndef PERIDOTMILL_NET_CALLERS_CALLER_SERVER_H_
#define PERIDOTMILL_NET_CALLERS_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "peridotmill_core/peridotmill_core.h"
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

struct CallerServerLimits {
  size_t max_body_bytes = 4 << 20;
  // Time in which a caller must have sent the whole request.
  guint body_timeout_ms = 10'000;
};

// Serves callers and operators over HTTP.
class CallerServer {
 public:
  // `address` is "ip:port". Errors: those of GIO, as kUnavailable.
  static Result<std::unique_ptr<CallerServer>> Create(
      const std::string& address,
      CallerServerLimits limits,
      CallerServerHandlers handlers);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  void Send(const CallerFragment& command);
  void Send(const CallerAnswer& command);
  void Send(const CallerRefusal& command);

  // Stops accepting connections; open calls go on.
  void StopListening();

 private:
  friend class OpenCall;

  CallerServer(CallerServerLimits limits, CallerServerHandlers handlers);
  Result<void> Listen(const std::string& address);
  void OnHeaders(SoupServerMessage* message, const char* path);
  void OnRequest(SoupServerMessage* message, const char* path);
  // True when the path is one of the callers' interfaces.
  bool OpenCallFor(SoupServerMessage* message, const std::string& path);
  void OpenAndPost(SoupServerMessage* message, NodeEvent event, RequestId id);
  void OnGone(const RequestId& request);
  void RefuseAtOnce(SoupServerMessage* message,
                    Reason reason,
                    const std::string& detail);

  CallerServerLimits limits_;
  CallerServerHandlers handlers_;
  ObjectPtr<SoupServer> server_;
  std::unordered_map<RequestId, std::unique_ptr<OpenCall>> calls_;
};

// JSON body of a refusal.
std::string RefusalBody(Reason reason,
                        Execution execution,
                        const std::string& message,
                        const std::string& field);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_CALLERS_CALLER_SERVER_H_
