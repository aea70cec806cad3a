#ifndef PERIDOTMILL_NET_CALLERS_OPEN_CALL_H_
#define PERIDOTMILL_NET_CALLERS_OPEN_CALL_H_

#include <string>

#include "peridotmill_core/peridotmill_core.h"
#include "peridotmill_net/soup/soup_pointers.h"

namespace peridotmill {

class CallerServer;

// A caller that waits for its answer.
class OpenCall {
 public:
  OpenCall(CallerServer& server, SoupServerMessage* message, RequestId id);
  ~OpenCall();
  OpenCall(const OpenCall&) = delete;
  OpenCall& operator=(const OpenCall&) = delete;

  // Appends one server-sent event; the first one sends the head. False when the
  // caller has left too much unread; the connection is then closed.
  bool SendEvent(const std::string& data);
  // Ends a stream.
  void EndStream();
  void SendWhole(int http_status, const std::string& body);
  // Closes the connection without an answer.
  void Abort();

 private:
  void WatchConnection(SoupServerMessage* message);
  static gboolean OnClosed(gint fd, GIOCondition condition, gpointer data);

  CallerServer& server_;
  ObjectPtr<SoupServerMessage> message_;
  RequestId id_;
  GSource* connection_watch_ = nullptr;
  bool is_stream_ = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_CALLERS_OPEN_CALL_H_
