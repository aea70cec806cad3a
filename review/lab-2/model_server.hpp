// Stand-in for a model server that answers with streams, and that a part of a
// prompt may crash.
#pragma once

#include "lab.hpp"

namespace lab {

struct Arrival {
  std::string request;
  std::string server;
  int64_t at;
  bool is_poison;
};

// What all servers have seen.
struct ServerLog {
  std::mutex mutex;
  std::vector<Arrival> arrivals;
  std::vector<int64_t> crashes;
};

class ModelServer {
 public:
  ModelServer(Store& store, ServerLog& log, std::string service,
              std::string zone, std::string poison, int64_t prefill_ms = 300)
      : prefill_ms_(prefill_ms),
        store_(store),
        log_(log),
        service_(std::move(service)),
        zone_(std::move(zone)),
        poison_(std::move(poison)) {}
  void Start() {
    Begin(0);
  }
  static constexpr int kEvents = 8;
  static constexpr int64_t kEventMs = 30;
  // A crashed server is back after this time.
  static constexpr int64_t kDownMs = 3000;
  // The platform removes the entry of a silent server after three heartbeat
  // intervals.
  static constexpr int64_t kExpiryMs = 3600;

 private:
  void Begin(int port) {
    id_ = "i-" + NewId().substr(0, 8);
    ++generation_;
    listener_ = std::make_unique<Listener>();
    const int generation = generation_;
    const std::string id = id_;
    listener_->Start(port, [this, generation, id](auto connection) {
      Serve(*connection, generation, id);
    });
    Register();
  }
  void Register() {
    store_.Put("servers/" + id_,
               "{\"service\":" + Json(service_) + ",\"address\":\"127.0.0.1:" +
                   std::to_string(listener_->port()) + "\",\"zone\":" +
                   Json(zone_) +
                   ",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                   "\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[{"
                   "\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":1,"
                   "\"born\":" +
                   std::to_string(WallMs()) + "}");
  }
  // The process ends: all its connections are reset.
  void Crash(const std::string& request, const std::string& id) {
    {
      const std::lock_guard lock(crash_mutex_);
      if (id != id_) return;
      ++generation_;
      id_.clear();
    }
    {
      const std::lock_guard lock(log_.mutex);
      log_.crashes.push_back(NowMs());
      RECORD("server %s crashes (crash %zu) as it begins to answer %s",
             id.c_str(), log_.crashes.size(), request.c_str());
    }
    std::thread([this, id] {
      const int port = listener_->port();
      listener_->Stop();
      SleepMs(kDownMs);
      {
        const std::lock_guard lock(crash_mutex_);
        Begin(port);
        RECORD("server %s is back as %s", id.c_str(), id_.c_str());
      }
      SleepMs(kExpiryMs - kDownMs);
      store_.Remove("servers/" + id);
    }).detach();
  }
  void Serve(Connection& connection, int generation, const std::string& id) {
    const auto is_over = [this, generation] {
      return generation != generation_;
    };
    while (true) {
      Message request;
      if (!connection.Read(request, false, NowMs() + 30000, is_over)) {
        is_over() ? connection.Reset() : connection.Close();
        return;
      }
      if (!Answer(request, connection, id, is_over)) {
        connection.Reset();
        return;
      }
    }
  }
  bool Answer(const Message& request, Connection& connection,
              const std::string& id, const std::function<bool()>& is_over) {
    const std::string request_id = request.Header("Peridotmill-Request-Id");
    const std::string expected = request.Header("Peridotmill-Expect-Instance");
    Headers headers = {{"Peridotmill-Request-Id", request_id}};
    if (request_id.empty()) {
      headers[0] = {"Peridotmill-Not-Executed", "1"};
      return connection.Send(Response(400, "", headers));
    }
    if (!expected.empty() && expected != id) {
      headers.emplace_back("Peridotmill-Not-Executed", "1");
      return connection.Send(Response(421, "", headers));
    }
    const std::string prefix =
        "," + request.Header("Peridotmill-Prompt-Prefix");
    const bool is_poison = prefix.find("," + poison_ + ":") != std::string::npos;
    {
      const std::lock_guard lock(log_.mutex);
      log_.arrivals.push_back({request_id, id, NowMs(), is_poison});
      if (is_poison)
        RECORD("server %s (%s) gets %s, which has the part %s", id.c_str(),
               service_.c_str(), request_id.c_str(), poison_.c_str());
    }
    const auto wait = [&](int64_t ms) {
      const int64_t end = NowMs() + ms;
      while (NowMs() < end) {
        // The server drops a request when its connection closes.
        if (is_over() || connection.IsGone()) return false;
        SleepMs(5);
      }
      return true;
    };
    if (!wait(prefill_ms_)) return false;
    if (is_poison) {
      Crash(request_id, id);
      return false;
    }
    std::string head = "HTTP/1.1 200 OK\r\nPeridotmill-Request-Id: " +
                       request_id +
                       "\r\nPeridotmill-Response-Seal: seal." + request_id +
                       "\r\nPeridotmill-Weight-Versions: 1\r\n"
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    for (int event = 1; event <= kEvents; ++event) {
      const std::string text =
          "id: " + std::to_string(event) + "\ndata: " + request_id + "\n\n";
      char size[16];
      snprintf(size, sizeof(size), "%zx\r\n", text.size());
      if (!connection.Send((event == 1 ? head : std::string()) + size + text +
                           "\r\n") ||
          !wait(kEventMs))
        return false;
    }
    return connection.Send("0\r\n\r\n");
  }

  // Time from the arrival of a request to its first event.
  const int64_t prefill_ms_;
  Store& store_;
  ServerLog& log_;
  const std::string service_, zone_, poison_;
  std::mutex crash_mutex_;
  std::string id_;
  std::atomic<int> generation_{0};
  std::unique_ptr<Listener> listener_;
};

inline std::string StreamHead(const std::string& id, const std::string& path,
                              const std::string& parts,
                              const std::string& key) {
  return "POST " + path +
         "x HTTP/1.1\r\nHost: pule25.example\r\nPeridotmill-Request-Id: " + id +
         "\r\nPeridotmill-Model: m\r\nPeridotmill-Token-Counts: 1460,80\r\n"
         "Peridotmill-Prompt-Prefix: " +
         parts +
         "\r\nPeridotmill-Deadline-Ms: 8000\r\nPeridotmill-Credential: " + key +
         "\r\n";
}

}  // namespace lab
