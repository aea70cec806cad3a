// A few answers of a faulty model server go on without end: short lines, sent
// in small chunks, and never the empty line that ends an event. The gateway
// searches all bytes of the unfinished event again for each chunk, and has no
// time for the requests of other services meanwhile.
#include "../common/harness.hpp"

using namespace review;

namespace {

constexpr int kStreamsPerSecond = 40;
constexpr double kTroubleAtMs = 3000;
constexpr double kTroubleMs = 5500;
constexpr double kLengthMs = 22000;
constexpr int kTimeoutMs = 800;  // timeout-ms of the idempotent route
constexpr int kLookupsPerSecond = 20;
// Of the answers of the faulty server: 1 in 50.
constexpr int kSpoiledOneIn = 50;

struct Lookup {
  double sent = 0;
  double ended = 0;
  std::string end;
  int status = 0;
};

}  // namespace

int main(int, char** argv) {
  Record record(std::string(argv[1]) + "/record.txt");
  const std::string folder = MakeTemporaryFolder();
  const bool is_troubled = IsTroubled();
  Store store;
  ThreadServer calendar([&](Connection& connection) {
    while (true) {
      const Message request = connection.Read(NowMs() + 60000, false);
      if (!request.is_complete) return;
      SleepMs(60);
      connection.Write(MakeResponse(
          200, "slot free",
          {{"Peridotmill-Request-Id", request.Header("Peridotmill-Request-Id")},
           {"Peridotmill-Response-Seal", "seal"}}));
    }
  });
  std::atomic<double> start{0};
  std::atomic<int> answers{0}, answers_in_trouble{0}, spoiled{0};
  const auto serve_stream = [&](Connection& connection, bool is_faulty) {
    while (true) {
      const Message request = connection.Read(NowMs() + 60000, false);
      if (!request.is_complete) return;
      const std::string id = request.Header("Peridotmill-Request-Id");
      const double now = NowMs() - start;
      bool is_spoiled = false;
      ++answers;
      if (is_faulty && now >= kTroubleAtMs && now < kTroubleAtMs + kTroubleMs)
        is_spoiled = ++answers_in_trouble % kSpoiledOneIn == 0 && is_troubled;
      connection.Write("HTTP/1.1 200 OK\r\nPeridotmill-Request-Id: " + id +
                       "\r\nPeridotmill-Response-Seal: seal." + id +
                       "\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
      if (!is_spoiled) {
        for (int event = 1; event <= 3; ++event) {
          SleepMs(20);
          const std::string text = "id: " + std::to_string(event) + "\ndata: x\n\n";
          char size[16];
          snprintf(size, sizeof(size), "%zx\r\n", text.size());
          connection.Write(size + text + "\r\n");
        }
        connection.Write("0\r\n\r\n");
        continue;
      }
      record.Line("server: answer to %s goes on without end", id.c_str());
      ++spoiled;
      std::string block;
      while (block.size() < 30000) block += "2\r\na\n\r\n";
      size_t sent = 0;
      while (connection.Write(block)) sent += block.size();
      record.Line("server: the caller of %s closed after %zu bytes", id.c_str(),
                  sent);
      return;
    }
  };
  ThreadServer engine([&](Connection& c) { serve_stream(c, false); });
  ThreadServer faulty_engine([&](Connection& c) { serve_stream(c, true); });
  const json config = {
      {"version", 1},
      {"routes",
       json::array(
           {{{"name", "chat"}, {"host", "h.example"}, {"path-prefix", "/chat/"},
             {"kind", "streaming"}, {"service", "glockenrat"},
             {"timeout-ms", 15000}, {"target-latency-ms", 1500},
             {"gap-aim-ms", 300}, {"priority", 2}, {"max-attempts", 1},
             {"sticky", true}},
            {{"name", "lookup"}, {"host", "h.example"},
             {"path-prefix", "/lookup/"}, {"kind", "idempotent"},
             {"service", "aufstieg"}, {"timeout-ms", kTimeoutMs},
             {"target-latency-ms", 300}, {"priority", 2},
             {"max-attempts", 2}}})},
      {"services", json::array({{{"name", "glockenrat"},
                                 {"health-path", "/health"},
                                 {"max-conns", 370}},
                                {{"name", "aufstieg"},
                                 {"health-path", "/health"},
                                 {"max-conns", 110}}})},
      {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 4194304},
                  {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}}}};
  store.Put("op/config", config.dump());
  store.Put("servers/i-1", Registration("glockenrat", engine.address(), "zone-a"));
  store.Put("servers/i-2",
            Registration("glockenrat", faulty_engine.address(), "zone-a"));
  store.Put("servers/i-3", Registration("aufstieg", calendar.address(), "zone-a"));
  Gateway gateway(folder, "front-a-1", "zone-a", store.address());
  gateway.Start();
  if (!gateway.WaitReady()) {
    record.Line("the gateway isn't ready");
    Exit(kCouldNotRun);
  }
  std::mutex mutex;
  std::vector<Lookup> lookups;
  std::atomic<int> streams{0}, whole_streams{0}, next_id{0};
  std::vector<std::thread> threads;
  start = NowMs();
  // The platform's readiness check, once a second.
  std::atomic<int> missed_checks{0};
  threads.emplace_back([&] {
    while (NowMs() - start < kLengthMs) {
      const double sent = NowMs();
      int status = 0;
      if (const auto connection = Connection::Open(gateway.port() + 1)) {
        connection->Write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        status = connection->Read(sent + 1000, true).status();
      }
      if (status != 200) {
        ++missed_checks;
        record.Line("platform: no 200 of the readiness check within 1 s");
      }
      SleepMs(sent + 1000 - NowMs());
    }
  });
  for (int i = 0; i < kStreamsPerSecond; ++i)
    threads.emplace_back([&, i] {
      SleepMs(i * 1000.0 / kStreamsPerSecond);
      while (NowMs() - start < kLengthMs) {
        const double sent = NowMs();
        const std::string id = "s" + std::to_string(++next_id);
        if (const auto connection = Connection::Open(gateway.port())) {
          ++streams;
          connection->Write(
              "POST /chat/x HTTP/1.1\r\nHost: h.example\r\n"
              "Peridotmill-Request-Id: " + id +
              "\r\nPeridotmill-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi");
          const Message answer = connection->Read(NowMs() + 17000, true);
          whole_streams += answer.is_complete && answer.status() == 200 ? 1 : 0;
          if (NowMs() - sent > 5000)
            record.Line("client: %s ended after %.0f ms: %s %d", id.c_str(),
                        NowMs() - sent, answer.end.c_str(), answer.status());
        }
        SleepMs(sent + 1000 - NowMs());
      }
    });
  // Lookups come at a steady rate, each in a thread of its own.
  const int lookup_count = static_cast<int>(kLengthMs / 1000 * kLookupsPerSecond);
  for (int i = 0; i < lookup_count; ++i) {
    SleepMs(start + i * 1000.0 / kLookupsPerSecond - NowMs());
    threads.emplace_back([&, i] {
      Lookup lookup;
      const std::string id = "l" + std::to_string(i);
      lookup.sent = NowMs();
      if (const auto connection = Connection::Open(gateway.port())) {
        connection->Write("GET /lookup/x HTTP/1.1\r\nHost: h.example\r\n"
                          "Peridotmill-Request-Id: " + id +
                          "\r\nPeridotmill-Deadline-Ms: 1500\r\n\r\n");
        const Message answer = connection->Read(lookup.sent + 12000, true);
        lookup.end = answer.end;
        lookup.status = answer.status();
      }
      lookup.ended = NowMs();
      record.Line("client: %s sent at %.0f: %s %d after %.0f ms", id.c_str(),
                  lookup.sent, lookup.end.c_str(), lookup.status,
                  lookup.ended - lookup.sent);
      const std::lock_guard<std::mutex> lock(mutex);
      lookups.push_back(lookup);
    });
  }
  for (std::thread& thread : threads) thread.join();
  int late = 0;
  int very_late = 0;
  double slowest = 0;
  for (const Lookup& lookup : lookups) {
    const double ms = lookup.ended - lookup.sent;
    slowest = std::max(slowest, ms);
    late += ms > kTimeoutMs ? 1 : 0;
    very_late += ms > kTimeoutMs + 500 ? 1 : 0;
  }
  record.Line("streams %d, whole %d; answers of servers %d, spoiled %d of %d "
              "answers of the faulty server",
              streams.load(), whole_streams.load(), answers.load(),
              spoiled.load(), answers_in_trouble.load());
  record.Line("missed readiness checks: %d", missed_checks.load());
  record.Line("lookups %zu, slowest %.0f ms, unanswered at timeout-ms %d, "
              "without an answer half a second later %d",
              lookups.size(), slowest, late, very_late);
  int status = 0;
  if (gateway.HasEnded(&status)) record.Line("the gateway has ended: %d", status);
  gateway.Kill();
  // Too few late requests would leave the share to chance.
  Exit(late >= 8 && very_late * 2 > late ? kBroken : kHeld);
}
