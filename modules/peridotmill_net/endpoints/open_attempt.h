#ifndef PERIDOTMILL_NET_ENDPOINTS_OPEN_ATTEMPT_H_
#define PERIDOTMILL_NET_ENDPOINTS_OPEN_ATTEMPT_H_

#include <memory>
#include <string>

#include "peridotmill_net/endpoints/attempt_stream.h"
#include "peridotmill_net/soup/soup_pointers.h"
#include "peridotmill_node/interface/node_command.h"

namespace peridotmill {

class EndpointClient;

// One attempt on its way: request, answer as it arrives, timeout.
class OpenAttempt : public std::enable_shared_from_this<OpenAttempt> {
 public:
  // Largest answer accepted, in bytes.
  static constexpr size_t kMaxAnswerBytes = 16 << 20;

  OpenAttempt(EndpointClient& client, const StartAttempt& command);

  void Send(SoupSession* session);
  // Silences the attempt: no event is sent any more.
  void Abandon();

 private:
  static void OnSent(GObject* source, GAsyncResult* result, gpointer data);
  static void OnRead(GObject* source, GAsyncResult* result, gpointer data);

  void ReadMore();
  void OnBytes(std::string_view bytes);
  void OnEnd();
  // Ends the attempt when no complete answer can come any more.
  void OnBroken();
  void Finish(AttemptOutcome outcome,
              const std::string& echoed_attempt,
              std::string body);

  EndpointClient& client_;
  StartAttempt command_;
  AttemptStream stream_;
  ObjectPtr<SoupMessage> message_;
  ObjectPtr<GCancellable> cancellable_;
  ObjectPtr<GInputStream> input_;
  ScopedTimeout timeout_;
  std::string body_;
  size_t received_ = 0;
  // Set just before the first byte may leave.
  bool may_have_left_ = false;
  bool has_timed_out_ = false;
  bool is_abandoned_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_ENDPOINTS_OPEN_ATTEMPT_H_
