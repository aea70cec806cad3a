// Case 6: clients read slowly: they pause once for a few seconds.
// Usage: main PROGRAM FOLDER RECORD TROUBLE
#include "../lab-2/lab.hpp"

using namespace lab;

namespace {

constexpr char kKey[] = "9dnn2ctnfzs989anu6ws";
constexpr int kClients = 8;
// The client reads nothing for this time, once.
constexpr int64_t kPauseMs = 3500;
constexpr int kReceiveBufferBytes = 8192;
constexpr int kEvents = 120;
constexpr size_t kEventBytes = 300;
constexpr int64_t kEventMs = 15;

std::atomic<int> passed_on{0}, written{0}, broken_off{0};

std::string EventText(const std::string& request, int number) {
  std::string text =
      "id: " + std::to_string(number) + "\ndata: " + request + " ";
  text.resize(kEventBytes - 2, 'x');
  return text + "\n\n";
}

// A sound server: it writes all events and reads the next request.
void Serve(Connection& connection) {
  Message request;
  while (connection.Read(request, false, NowMs() + 60000)) {
    const std::string id = request.Header("Peridotmill-Request-Id");
    const Headers own = {{"Peridotmill-Request-Id", id},
                         {"Peridotmill-Response-Seal", "seal." + id}};
    if (request.target.rfind("/wuhu344/", 0) == 0) {
      connection.Send(Response(200, "short answer to " + id, own));
      continue;
    }
    RECORD("server runs %s", id.c_str());
    ++passed_on;
    bool is_sent = connection.Send(
        "HTTP/1.1 200 OK\r\nPeridotmill-Request-Id: " + id +
        "\r\nPeridotmill-Response-Seal: seal." + id +
        "\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
    for (int number = 1; number <= kEvents && is_sent; ++number) {
      const std::string text = EventText(id, number);
      char size[16];
      snprintf(size, sizeof(size), "%zx\r\n", text.size());
      is_sent = !connection.IsGone() && connection.Send(size + text + "\r\n");
      SleepMs(kEventMs);
    }
    is_sent = is_sent && connection.Send("0\r\n\r\n");
    RECORD(is_sent ? "server has written the whole answer to %s"
                   : "the connection of %s ended while the server wrote",
           id.c_str());
    ++(is_sent ? written : broken_off);
  }
}

std::string Head(const char* method, const char* path, const std::string& id,
                 int deadline_ms) {
  return std::string(method) + " " + path +
         "x HTTP/1.1\r\nHost: pule25.example\r\nPeridotmill-Request-Id: " + id +
         "\r\nPeridotmill-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nPeridotmill-Credential: " + kKey + "\r\n";
}

// Returns whether the client got the whole answer on its kept connection.
bool AskOnce(int port, int64_t pause_ms) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // The small window of a slow link.
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  sockaddr_in address = LoopbackAddress(port);
  Connection connection(descriptor);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0)
    CannotRun("a gateway refuses a connection");
  Message answer;
  if (!connection.Send(Head("GET", "/wuhu344/", NewId(), 3000) + "\r\n") ||
      !connection.Read(answer, true, NowMs() + 4000) || answer.status != 200)
    CannotRun("the first request on a connection isn't answered");
  const std::string id = NewId();
  RECORD("client sends %s on its kept connection", id.c_str());
  connection.Send(Head("POST", "/puxa400/", id, 15000) +
                  "Content-Length: 2\r\n\r\n{}");
  // The answer has begun when the client stops to read.
  SleepMs(200);
  if (pause_ms > 0) {
    RECORD("client of %s reads nothing for %d ms", id.c_str(),
           static_cast<int>(pause_ms));
    SleepMs(pause_ms);
  }
  const bool has_answer = connection.Read(answer, true, NowMs() + 12000);
  std::string expected;
  for (int number = 1; number <= kEvents; ++number)
    expected += EventText(id, number);
  const bool is_whole =
      has_answer && answer.is_complete && answer.body == expected;
  RECORD("client of %s gets %d, %zu of %zu bytes, %s", id.c_str(),
         answer.status, answer.body.size(), expected.size(),
         is_whole ? "whole" : "and then the connection ends");
  return is_whole;
}

}  // namespace

int main(int, char** arguments) {
  Record::Get().Open(arguments[3]);
  const bool has_trouble = std::string(arguments[4]) != "0";
  Store store;
  store.Start();
  std::vector<std::unique_ptr<Listener>> servers;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<Listener>());
    servers.back()->Start(0, [](auto connection) { Serve(*connection); });
    store.Put("servers/i-7f3a91c" + std::to_string(i),
              "{\"service\":\"huvo11a\",\"address\":\"127.0.0.1:" +
                  std::to_string(servers.back()->port()) +
                  "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,"
                  "\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1,"
                  "\"born\":" +
                  std::to_string(WallMs()) + "}");
  }
  store.Put("op/config",
            "{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"host\":"
            "\"pule25.example\",\"path-prefix\":\"/puxa400/\",\"kind\":"
            "\"streaming\",\"timeout-ms\":15000,\"target-latency-ms\":1500,"
            "\"priority\":1,\"service\":\"huvo11a\",\"max-attempts\":1,"
            "\"public\":false,\"resumable\":false,\"gap-aim-ms\":400},"
            "{\"name\":\"r-look\",\"host\":\"pule25.example\","
            "\"path-prefix\":\"/wuhu344/\",\"kind\":\"idempotent\","
            "\"timeout-ms\":3000,\"target-latency-ms\":300,\"priority\":1,"
            "\"service\":\"huvo11a\",\"max-attempts\":2,\"public\":false}],"
            "\"services\":[{\"name\":\"huvo11a\",\"health-path\":\"/health\","
            "\"max-conns\":370}],\"limits\":{\"max-header-bytes\":16384,"
            "\"max-body-bytes\":4194304,\"header-timeout-ms\":5000,"
            "\"idle-timeout-ms\":10000},\"tenants\":[{\"name\":\"bozi300\","
            "\"api-keys\":[\"" +
                std::string(kKey) + "\"]}]}");
  const std::vector<int> ports = FreePorts(2);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < 2; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        arguments[1], arguments[2], "front-" + std::to_string(i + 1), "zone-a",
        ports[i], store.address(), kGrownBounds));
    gateways.back()->Start();
  }
  WaitUntilReady(gateways, 15000);
  // From here on all machines are in touch.
  SleepMs(5000);
  std::atomic<int> whole{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      whole += AskOnce(gateways[i % 2]->port(), has_trouble ? kPauseMs : 0);
    });
    SleepMs(50);
  }
  for (auto& client : clients) client.join();
  SleepMs(200);
  for (auto& gateway : gateways)
    if (gateway->HasEnded()) CannotRun("a gateway ended by itself");
  const int lost = kClients - whole;
  RECORD("%d requests passed on to sound servers, %d answers written whole by "
         "the servers, %d given whole to the clients",
         passed_on.load(), written.load(), whole.load());
  RECORD("requests from kept connections that were passed on and whose "
         "connection was closed without an answer: %d; the rule allows 3",
         lost);
  if (passed_on < kClients) CannotRun("not all requests were passed on");
  RECORD("%s", lost > 3 ? "BROKEN" : "held");
  printf("%s: %d of %d answers lost\n", lost > 3 ? "broken" : "held", lost,
         kClients);
  for (auto& gateway : gateways) gateway->Kill();
  fflush(nullptr);
  _exit(lost > 3 ? 1 : 0);
}
