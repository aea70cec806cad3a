#ifndef PERIDOTMILL_NET_HOSTS_HOST_LIST_CLIENT_H_
#define PERIDOTMILL_NET_HOSTS_HOST_LIST_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "peridotmill_core/peridotmill_core.h"
#include "peridotmill_net/soup/soup_pointers.h"

namespace peridotmill {

// Reads the platform's `GET /v1/hosts` answer. Errors: kMalformed.
Result<HostList> DecodeHostList(const std::string& body);

// Polls the platform's host list. When it does not answer, the last list
// stays in use.
class HostListClient {
 public:
  using ListSink = std::function<void(HostList)>;

  // `base_url` such as "http://127.0.0.1:7002".
  static std::unique_ptr<HostListClient> Create(std::string base_url,
                                                guint interval_ms,
                                                ListSink sink);
  ~HostListClient();
  HostListClient(const HostListClient&) = delete;
  HostListClient& operator=(const HostListClient&) = delete;

 private:
  HostListClient(std::string base_url, guint interval_ms, ListSink sink);
  void Poll();
  void OnAnswer(GBytes* bytes);

  std::string url_;
  guint interval_ms_;
  ListSink sink_;
  std::string last_body_;
  ObjectPtr<SoupSession> session_;
  ObjectPtr<GCancellable> cancellable_;
  ObjectPtr<SoupMessage> message_;
  ScopedTimeout next_poll_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_HOSTS_HOST_LIST_CLIENT_H_
