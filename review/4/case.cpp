// Requests omit a stage of a chain (0 pieces). The stage that needs the omitted
// stage's results is then called with an empty `key` in place of `inputs`.
#include "../common/harness.hpp"

using namespace review;

int main(int, char** argv) {
  Record record(std::string(argv[1]) + "/record.txt");
  const std::string folder = MakeTemporaryFolder();
  Store store;
  std::mutex mutex;
  std::map<std::string, std::string> keys;  // sent by clients, by request
  std::atomic<int> next_handle{0}, wrong_keys{0}, right_items{0}, answered{0};
  std::string address;
  // A sound server of pieces.
  ThreadServer stage([&](Connection& connection) {
    while (true) {
      const Message request = connection.Read(NowMs() + 60000, false);
      if (!request.is_complete) return;
      if (request.path() != "/stage-run") {
        connection.Write(MakeResponse(200, "{}"));
        continue;
      }
      const json body = json::parse(request.body, nullptr, false);
      json items = json::array();
      for (const json& item : body["items"]) {
        const std::string id = item.value("id", "");
        std::string client_key;
        {
          const std::lock_guard<std::mutex> lock(mutex);
          client_key = keys[id];
        }
        const bool is_wrong = item.contains("key") && item["key"] != client_key;
        (is_wrong ? wrong_keys : right_items)++;
        record.Line("server: runs %s%s", item.dump().c_str(),
                    is_wrong ? ("; the client's key is " + client_key).c_str()
                             : "");
        items.push_back(
            {{"handle", address + "/" + std::to_string(++next_handle)}});
      }
      SleepMs(20);
      connection.Write(
          MakeResponse(200, json{{"items", items}}.dump(),
                       {{"Content-Type", "application/json"},
                        {"Peridotmill-Server-Load", "1,0,1"}}));
    }
  });
  address = stage.address();
  ThreadServer engine([&](Connection& connection) {
    while (true) {
      const Message request = connection.Read(NowMs() + 60000, false);
      if (!request.is_complete) return;
      const std::string id = request.Header("Peridotmill-Request-Id");
      record.Line("model server: runs %s with inputs %s", id.c_str(),
                  request.Header("Peridotmill-Inputs").c_str());
      connection.Write(MakeResponse(
          200, "id: 1\ndata: x\n\n",
          {{"Content-Type", "text/event-stream"},
           {"Peridotmill-Request-Id", id},
           {"Peridotmill-Response-Seal", "seal." + id}}));
    }
  });
  const auto stage_entry = [](const json& after) {
    return json{{"service", "kalender"}, {"after", after}, {"bytes", 8000}};
  };
  const json config = {
      {"version", 1},
      {"routes",
       json::array({{{"name", "query"}, {"host", "h.example"},
                     {"path-prefix", "/query/"}, {"kind", "streaming"},
                     {"service", "glockenrat"}, {"timeout-ms", 8000},
                     {"target-latency-ms", 1700}, {"gap-aim-ms", 300},
                     {"priority", 0}, {"max-attempts", 2}, {"sticky", true},
                     {"resumable", true},
                     {"stages", json::array({stage_entry(json::array()),
                                             stage_entry(json::array({0})),
                                             stage_entry(json::array({1}))})}}})},
      {"services",
       json::array({{{"name", "glockenrat"}, {"health-path", "/health"},
                     {"max-conns", 370}},
                    {{"name", "kalender"}, {"health-path", "/health"},
                     {"max-conns", 370},
                     {"pieces", {{"slots", 1}, {"queue", 2}, {"batch", 8},
                                 {"call-ms", 20}, {"item-ms", 1},
                                 {"headroom-mb", 51}, {"handle-s", 4},
                                 {"link-mbps", 10000}}}}})},
      {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 4194304},
                  {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}}}};
  store.Put("op/config", config.dump());
  store.Put("servers/i-1", Registration("glockenrat", engine.address(), "zone-a"));
  store.Put("servers/i-2", Registration("kalender", stage.address(), "zone-a", 1));
  Gateway gateway(folder, "front-a-1", "zone-a", store.address());
  gateway.Start();
  if (!gateway.WaitReady()) {
    record.Line("the gateway isn't ready");
    Exit(kCouldNotRun);
  }
  for (int i = 0; i < 12; ++i) {
    const std::string id = "request-" + std::to_string(i);
    const std::string key = "7c1e07a2" + std::to_string(1000 + i);
    const std::string counts = !IsTroubled() ? "1,2,1" : i % 2 == 0 ? "1,0,1" : "0,2,1";
    {
      const std::lock_guard<std::mutex> lock(mutex);
      keys[id] = key;
    }
    const auto connection = Connection::Open(gateway.port());
    record.Line("client: sends %s with pieces %s and key %s", id.c_str(),
                counts.c_str(), key.c_str());
    connection->Write(
        "POST /query/x HTTP/1.1\r\nHost: h.example\r\nPeridotmill-Request-Id: " +
        id + "\r\nPeridotmill-Model: m\r\nPeridotmill-Token-Counts: 100,10\r\n"
        "Peridotmill-Prompt-Prefix: 5c1e07a2:80,e4402b7d:20\r\n"
        "Peridotmill-Deadline-Ms: 8000\r\nPeridotmill-Pieces: " + counts +
        "\r\nPeridotmill-Piece-Key: " + key + "\r\nContent-Length: 2\r\n\r\nhi");
    const Message answer = connection->Read(NowMs() + 9000, true);
    answered += answer.is_complete ? 1 : 0;
    record.Line("client: %s: %d %s", id.c_str(), answer.status(),
                answer.end.c_str());
  }
  record.Line("pieces with the client's key or with inputs: %d; pieces with "
              "another key: %d",
              right_items.load(), wrong_keys.load());
  gateway.Kill();
  if (answered == 0 || right_items + wrong_keys == 0) Exit(kCouldNotRun);
  Exit(wrong_keys > 0 ? kBroken : kHeld);
}
