// Case 6: the servers of a service are replaced one after the other, and a
// machine that was partitioned from the store reaches it again.
// Usage: main PROGRAM FOLDER RECORD TROUBLE
#include "../lab-2/lab.hpp"

using namespace lab;

namespace {

constexpr char kKey[] = "9dnn2ctnfzs989anu6ws";
constexpr int kServers = 6;
constexpr int kClients = 36;
constexpr int64_t kDrainMs = 2000;
// A server that leaves serves for so much longer than drain-ms.
constexpr int64_t kLittleLongerMs = 150;
constexpr int64_t kWorkMs = 60;
// Servers are replaced one at a time, each after this time.
constexpr int64_t kGapMs = 1000;
constexpr int kRounds = 6;
// Length of each cut, and time between its end and the next one.
constexpr int64_t kCutMs = 3000;
constexpr int64_t kPauseMs = 4000;

std::mutex mutex;
// Entries that are gone from the store, and when the store acknowledged that.
std::map<std::string, int64_t> gone_at;
int late = 0, late_lost = 0;
std::atomic<int> asked{0}, served{0}, lost{0};
std::atomic<bool> is_over{false};

class Server {
 public:
  explicit Server(Store& store) : store_(store), id_("i-" + NewId().substr(0, 8)) {
    listener_.Start(0, [this](auto connection) { Serve(*connection); });
    store_.Put("servers/" + id_,
               "{\"service\":\"vode12d\",\"address\":\"127.0.0.1:" +
                   std::to_string(listener_.port()) +
                   "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":16,"
                   "\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1,"
                   "\"born\":" +
                   std::to_string(WallMs()) + "}");
  }
  // The server never reports that it drains: its entry is removed, it goes on
  // for drain-ms and a little longer, and then exits.
  void Leave() {
    store_.Remove("servers/" + id_);
    {
      const std::lock_guard lock(mutex);
      gone_at[id_] = NowMs();
    }
    RECORD("the entry of server %s is removed", id_.c_str());
    std::thread([this] {
      SleepMs(kDrainMs + kLittleLongerMs);
      has_exited_ = true;
      listener_.Stop();
      RECORD("server %s exits", id_.c_str());
    }).detach();
  }

 private:
  void Serve(Connection& connection) {
    const auto is_over = [this] { return has_exited_.load(); };
    Message request;
    while (connection.Read(request, false, NowMs() + 10000, is_over)) {
      const std::string id = request.Header("Peridotmill-Request-Id");
      if (request.Header("Peridotmill-Expect-Instance") != id_) {
        connection.Send(
            Response(421, "", {{"Peridotmill-Request-Id", id},
                               {"Peridotmill-Not-Executed", "1"}}));
        continue;
      }
      bool is_late = false;
      {
        const std::lock_guard lock(mutex);
        const auto gone = gone_at.find(id_);
        is_late = gone != gone_at.end() && NowMs() > gone->second + kDrainMs;
        if (is_late) {
          ++late;
          RECORD("request %s reaches server %s %d ms after its entry was "
                 "removed",
                 id.c_str(), id_.c_str(),
                 static_cast<int>(NowMs() - gone->second));
        }
      }
      for (const int64_t end = NowMs() + kWorkMs; NowMs() < end;) {
        if (has_exited_) {
          RECORD("server %s exits while it works on %s", id_.c_str(),
                 id.c_str());
          const std::lock_guard lock(mutex);
          ++late_lost;
          connection.Reset();
          return;
        }
        SleepMs(2);
      }
      if (!connection.Send(Response(
              200, "answer to " + id,
              {{"Peridotmill-Request-Id", id},
               {"Peridotmill-Response-Seal", "seal." + id}})))
        return;
    }
    if (has_exited_) connection.Reset();
  }

  Store& store_;
  const std::string id_;
  std::atomic<bool> has_exited_{false};
  Listener listener_;
};

}  // namespace

int main(int, char** arguments) {
  Record::Get().Open(arguments[3]);
  const bool has_trouble = std::string(arguments[4]) != "0";
  Store store;
  store.Start();
  std::vector<Server*> servers;
  for (int i = 0; i < kServers; ++i) servers.push_back(new Server(store));
  store.Put("op/config",
            "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"host\":"
            "\"pule25.example\",\"path-prefix\":\"/bobo563/\",\"kind\":"
            "\"non_idempotent\",\"timeout-ms\":1500,\"target-latency-ms\":300,"
            "\"priority\":1,\"service\":\"vode12d\",\"max-attempts\":1,"
            "\"public\":false}],\"services\":[{\"name\":\"vode12d\","
            "\"health-path\":\"/health\",\"max-conns\":370}],\"limits\":{"
            "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            "\"header-timeout-ms\":5000,\"idle-timeout-ms\":10000},"
            "\"tenants\":[{\"name\":\"bozi300\",\"api-keys\":[\"" +
                std::string(kKey) + "\"]}]}");
  const std::vector<int> ports = FreePorts(3);
  const char* const zones[] = {"zone-a", "zone-b", "zone-c"};
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < 3; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        arguments[1], arguments[2], "front-" + std::to_string(i + 1), zones[i],
        ports[i], i == 2 ? store.second_address() : store.address()));
    gateways.back()->Start();
  }
  WaitUntilReady(gateways, 15000);
  SleepMs(4000);
  // The clients of the two machines that are in touch all the while.
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] {
      SleepMs(i * 13);
      while (!is_over) {
        const std::string id = NewId();
        const Message answer = Ask(
            gateways[i % 2]->port(),
            "POST /bobo563/x HTTP/1.1\r\nHost: pule25.example\r\n"
            "Peridotmill-Request-Id: " +
                id + "\r\nPeridotmill-Deadline-Ms: 1500\r\n"
                     "Peridotmill-Credential: " +
                kKey + "\r\n",
            "{}", 2500);
        ++asked;
        const bool is_served = answer.status == 200 && answer.is_complete;
        served += is_served;
        if (!is_served) {
          ++lost;
          RECORD("client gets %d for %s", answer.status, id.c_str());
        }
        SleepMs(400);
      }
    });
  // Replaces one server: the new one starts first.
  const auto replace = [&] {
    servers.push_back(new Server(store));
    SleepMs(100);
    servers.front()->Leave();
    servers.erase(servers.begin());
  };
  for (int round = 0; round < kRounds; ++round) {
    if (has_trouble) {
      store.set_is_second_cut(true);
      RECORD("front-3 is partitioned from the store");
    }
    for (const int64_t end = NowMs() + kCutMs - kGapMs; NowMs() < end;) {
      replace();
      SleepMs(kGapMs - 100);
    }
    SleepMs(kGapMs);
    replace();
    SleepMs(100);
    if (has_trouble) {
      store.set_is_second_cut(false);
      RECORD("front-3 reaches the store again");
    }
    SleepMs(kPauseMs);
  }
  is_over = true;
  for (auto& client : clients) client.join();
  for (auto& gateway : gateways)
    if (gateway->HasEnded()) CannotRun("a gateway ended by itself");
  if (served == 0) CannotRun("no request was served");
  const std::lock_guard lock(mutex);
  RECORD("%d requests, %d served, %d not", asked.load(), served.load(),
         lost.load());
  RECORD("requests that reached a server later than drain-ms after the store "
         "had acknowledged that it is gone, from machines in touch: %d, of "
         "which %d were cut off when the server exited; the rule allows none",
         late, late_lost);
  RECORD("%s", late > 0 ? "BROKEN" : "held");
  printf("%s: %d late requests\n", late > 0 ? "broken" : "held", late);
  for (auto& gateway : gateways) gateway->Kill();
  fflush(nullptr);
  _exit(late > 0 ? 1 : 0);
}
