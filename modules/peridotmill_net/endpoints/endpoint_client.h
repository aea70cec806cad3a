#ifndef PERIDOTMILL_NET_ENDPOINTS_ENDPOINT_CLIENT_H_
#define PERIDOTMILL_NET_ENDPOINTS_ENDPOINT_CLIENT_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "peridotmill_net/soup/soup_pointers.h"
#include "peridotmill_node/interface/node_command.h"
#include "peridotmill_node/interface/node_event.h"

namespace peridotmill {

class OpenAttempt;

// Carries attempts, load reads and orders to endpoints over HTTP.
class EndpointClient {
 public:
  using EventSink = std::function<void(NodeEvent)>;

  // Events arrive at `sink` from the main loop, never from within a call.
  // Endpoints are told the failure domain that calls come from.
  static std::unique_ptr<EndpointClient> Create(FailureDomainId failure_domain,
                                                EventSink sink);
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  void Start(const StartAttempt& command);
  // After this no event of the attempt arrives.
  void Cancel(const CancelAttempt& command);
  void Read(const ReadLoad& command);
  void Send(const SendOrder& command);
  // Asks the weight store at `base_url`; permits at once when that is empty.
  void Read(const ReadWeights& command, const std::string& base_url);

 private:
  friend class OpenAttempt;
  EndpointClient(FailureDomainId failure_domain, EventSink sink);

  // Sends a small POST or GET and hands the whole answer to `done`; status 0
  // means that no answer came.
  using SmallAnswer = std::function<void(int status, const std::string& body)>;
  void SendSmall(const char* method,
                 const std::string& url,
                 const std::string& body,
                 SmallAnswer done);
  void Finish(const AttemptId& attempt, AttemptFinished event);
  void AddHeaders(SoupMessage* message) const;

  FailureDomainId failure_domain_;
  EventSink sink_;
  // Attempts have their own timeouts; small calls share one of the session.
  ObjectPtr<SoupSession> session_;
  ObjectPtr<SoupSession> small_session_;
  ObjectPtr<GCancellable> cancellable_;
  std::unordered_map<AttemptId, std::shared_ptr<OpenAttempt>> attempts_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_ENDPOINTS_ENDPOINT_CLIENT_H_
