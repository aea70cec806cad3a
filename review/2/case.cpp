// A stage server spoils a few answers: a handle ends with a line break. The
// gateway writes the handle into a header as it is, so the head of the request
// to the model server ends there. The model server runs the request without its
// body, and the bytes that follow are taken for another request.
#include "../common/harness.hpp"

using namespace review;

namespace {

constexpr int kSpoiledOneIn = 50;
constexpr double kTroubleMs = 5500;
constexpr double kTroubleAtMs = 2000;
constexpr double kLengthMs = 9000;
constexpr int kClients = 20;

}  // namespace

int main(int, char** argv) {
  Record record(std::string(argv[1]) + "/record.txt");
  const std::string folder = MakeTemporaryFolder();
  const bool is_troubled = IsTroubled();
  Store store;
  std::mutex mutex;
  std::map<std::string, std::string> bodies;  // sent by clients, by request
  std::atomic<double> start{0};
  std::atomic<int> next_handle{0}, faulty_answers{0}, spoiled{0}, runs{0},
      changed{0}, odd_requests{0};
  const auto serve_stage = [&](Connection& connection, const std::string& address,
                               bool is_faulty) {
    while (true) {
      const Message request = connection.Read(NowMs() + 60000, false);
      if (!request.is_complete) return;
      if (request.path() != "/stage-run") {
        connection.Write(MakeResponse(200, "{}"));
        continue;
      }
      const double now = NowMs() - start;
      const bool is_spoiled =
          is_faulty && now >= kTroubleAtMs && now < kTroubleAtMs + kTroubleMs &&
          ++faulty_answers % kSpoiledOneIn == 0 && is_troubled;
      const json body = json::parse(request.body, nullptr, false);
      json items = json::array();
      for (const json& item : body["items"]) {
        std::string handle = address + "/" + std::to_string(++next_handle);
        if (is_spoiled) {
          handle += "\r\n";
          ++spoiled;
          record.Line("stage server: spoils the handle of a piece of %s",
                      item.value("id", "").c_str());
        }
        items.push_back({{"handle", handle}});
      }
      SleepMs(10);
      connection.Write(
          MakeResponse(200, json{{"items", items}}.dump(),
                       {{"Content-Type", "application/json"},
                        {"Peridotmill-Server-Load", "1,0,1"}}));
    }
  };
  std::string addresses[2];
  ThreadServer stage_1([&](Connection& c) { serve_stage(c, addresses[0], false); });
  ThreadServer stage_2([&](Connection& c) { serve_stage(c, addresses[1], true); });
  addresses[0] = stage_1.address();
  addresses[1] = stage_2.address();
  // A sound model server. It rejects what is no request.
  ThreadServer engine([&](Connection& connection) {
    while (true) {
      const Message request = connection.Read(NowMs() + 60000, false);
      if (!request.is_complete) return;
      const std::string id = request.Header("Peridotmill-Request-Id");
      if (id.empty() || request.first_line.find(" HTTP/1.1") == std::string::npos) {
        ++odd_requests;
        record.Line("model server: rejects a message that begins \"%s\"",
                    request.first_line.c_str());
        connection.Write(MakeResponse(400, "", {{"Connection", "close"}}));
        return;
      }
      std::string expected;
      {
        const std::lock_guard<std::mutex> lock(mutex);
        expected = bodies[id];
      }
      ++runs;
      if (request.body != expected) {
        ++changed;
        record.Line("model server: runs %s with a body of %zu bytes; the client "
                    "sent %zu", id.c_str(), request.body.size(), expected.size());
      }
      connection.Write(MakeResponse(
          200, "id: 1\ndata: x\n\n",
          {{"Content-Type", "text/event-stream"},
           {"Peridotmill-Request-Id", id},
           {"Peridotmill-Response-Seal", "seal." + id}}));
    }
  });
  const json config = {
      {"version", 1},
      {"routes",
       json::array({{{"name", "chat"}, {"host", "h.example"},
                     {"path-prefix", "/chat/"}, {"kind", "streaming"},
                     {"service", "glockenrat"}, {"timeout-ms", 8000},
                     {"target-latency-ms", 1500}, {"gap-aim-ms", 300},
                     {"priority", 0}, {"max-attempts", 1}, {"sticky", true},
                     {"stages", json::array({{{"service", "kalender"},
                                              {"after", json::array()},
                                              {"bytes", 8000}}})}}})},
      {"services",
       json::array({{{"name", "glockenrat"}, {"health-path", "/health"},
                     {"max-conns", 370}},
                    {{"name", "kalender"}, {"health-path", "/health"},
                     {"max-conns", 370},
                     {"pieces", {{"slots", 4}, {"queue", 2}, {"batch", 1},
                                 {"call-ms", 10}, {"item-ms", 1},
                                 {"headroom-mb", 51}, {"handle-s", 4},
                                 {"link-mbps", 10000}}}}})},
      {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 4194304},
                  {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}}}};
  store.Put("op/config", config.dump());
  store.Put("servers/i-1", Registration("glockenrat", engine.address(), "zone-a"));
  store.Put("servers/i-2", Registration("kalender", addresses[0], "zone-a", 4));
  store.Put("servers/i-3", Registration("kalender", addresses[1], "zone-a", 4));
  Gateway gateway(folder, "front-a-1", "zone-a", store.address());
  gateway.Start();
  if (!gateway.WaitReady()) {
    record.Line("the gateway isn't ready");
    Exit(kCouldNotRun);
  }
  std::atomic<int> next_id{0}, answered{0};
  start = NowMs();
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i)
    threads.emplace_back([&, i] {
      SleepMs(i * 10);
      while (NowMs() - start < kLengthMs) {
        const std::string id = "request-" + std::to_string(++next_id);
        const std::string body = "{\"messages\":[\"" + id + "\"]}";
        {
          const std::lock_guard<std::mutex> lock(mutex);
          bodies[id] = body;
        }
        if (const auto connection = Connection::Open(gateway.port())) {
          connection->Write(
              "POST /chat/x HTTP/1.1\r\nHost: h.example\r\n"
              "Peridotmill-Request-Id: " + id +
              "\r\nPeridotmill-Model: m\r\nPeridotmill-Token-Counts: 100,10\r\n"
              "Peridotmill-Prompt-Prefix: 5c1e07a2:80,e4402b7d:20\r\n"
              "Peridotmill-Deadline-Ms: 8000\r\nPeridotmill-Pieces: 1\r\n"
              "Peridotmill-Piece-Key: 7c1e07a2\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
          const Message answer = connection->Read(NowMs() + 9000, true);
          answered += answer.is_complete ? 1 : 0;
        }
        SleepMs(60);
      }
    });
  for (std::thread& thread : threads) thread.join();
  record.Line("requests %d, answered %d; answers of the faulty stage server in "
              "the trouble %d, spoiled %d",
              next_id.load(), answered.load(), faulty_answers.load(),
              spoiled.load());
  record.Line("runs at the model server %d, with a changed body %d, messages "
              "that were no request %d",
              runs.load(), changed.load(), odd_requests.load());
  gateway.Kill();
  if (runs == 0) Exit(kCouldNotRun);
  Exit(changed > 0 ? kBroken : kHeld);
}
