#include "peridotmill_http/client/http_client.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

#include "peridotmill_http/tests/socket_peer.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

class CollectingListener final : public HttpCallListener {
 public:
  bool OnCallHead(const HttpResponseHead& head) override {
    if (head.headers.Find("X-Id") == "foreign") {
      return false;
    }
    status = head.status;
    return true;
  }
  void OnCallBody(std::string_view bytes) override {
    body += bytes;
    ++body_parts;
  }
  void OnCallEnd(HttpCallEnd call_end) override { end = call_end; }

  int status = 0;
  std::string body;
  int body_parts = 0;
  std::optional<HttpCallEnd> end;
};

class HttpClientTest : public testing::Test {
 protected:
  HttpCall MakeCall() {
    HttpCall call;
    call.address = server_.address;
    call.method = "POST";
    call.target = "/x";
    call.headers.Add("Host", "h");
    call.body = MessageBody("question");
    call.has_body = true;
    return call;
  }

  // Makes a call that is expected on connection `index`, responds with `bytes`
  // and ends the connection as `ending` says. Returns what the listener got.
  CollectingListener MakeCallAndRespond(
      size_t index,
      std::string_view bytes,
      std::optional<SocketEnd> ending = std::nullopt) {
    CollectingListener listener;
    const auto call = client_.Start(MakeCall(), &listener);
    EXPECT_TRUE(server_.WaitFor(index, "question"));
    server_.peers[index]->received.clear();
    server_.peers[index]->Send(bytes);
    if (ending == SocketEnd::kOrderly) {
      server_.peers[index]->Close();
    } else if (ending == SocketEnd::kReset) {
      // A reset discards bytes that have not been read yet.
      RunLoopUntil([&] { return !listener.body.empty(); });
      server_.peers[index]->Abort();
    }
    EXPECT_TRUE(RunLoopUntil([&] { return listener.end.has_value(); }));
    return listener;
  }

  SystemClock clock_;
  ScriptedTcpServer server_;
  HttpClient client_{clock_};
};

// Guards against truncated responses that are reported as complete: the
// connection ends early under each kind of framing.
TEST_F(HttpClientTest, DistinguishesCompleteFromTruncatedResponses) {
  struct Case {
    const char* bytes;
    std::optional<SocketEnd> ending;
    HttpCallEnd end;
  };
  const Case cases[] = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", std::nullopt,
       HttpCallEnd::kComplete},
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", SocketEnd::kOrderly,
       HttpCallEnd::kTruncated},
      {"HTTP/1.1 200 OK\r\n\r\nok", SocketEnd::kOrderly,
       HttpCallEnd::kComplete},
      {"HTTP/1.1 200 OK\r\n\r\nok", SocketEnd::kReset, HttpCallEnd::kTruncated},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       SocketEnd::kOrderly, HttpCallEnd::kTruncated},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "2\r\nok\r\n0\r\n\r\n",
       std::nullopt, HttpCallEnd::kComplete},
      {"", SocketEnd::kOrderly, HttpCallEnd::kNoResponse},
      {"no HTTP at all\r\n\r\n", std::nullopt, HttpCallEnd::kNoResponse}};
  for (const Case& test : cases) {
    // Uses a new connection for each case.
    server_.peers.clear();
    HttpClient client(clock_);
    CollectingListener listener;
    const auto call = client.Start(MakeCall(), &listener);
    ASSERT_TRUE(server_.WaitFor(0, "question"));
    server_.peers[0]->Send(test.bytes);
    if (test.ending == SocketEnd::kOrderly) {
      server_.peers[0]->Close();
    } else if (test.ending == SocketEnd::kReset) {
      RunLoopUntil([&] { return !listener.body.empty(); });
      server_.peers[0]->Abort();
    }
    ASSERT_TRUE(RunLoopUntil([&] { return listener.end.has_value(); }))
        << test.bytes;
    EXPECT_EQ(listener.end, test.end) << test.bytes;
  }
}

// Guards against a server that makes its client handle each of many small
// chunks by itself.
TEST_F(HttpClientTest, DeliversTheChunksOfOneReadAtOnce) {
  constexpr int kChunks = 1000;
  std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < kChunks; ++i) {
    bytes += "1\r\nx\r\n";
  }
  const auto listener = MakeCallAndRespond(0, bytes + "0\r\n\r\n");
  EXPECT_EQ(listener.body, std::string(kChunks, 'x'));
  EXPECT_EQ(listener.end, HttpCallEnd::kComplete);
  EXPECT_LE(listener.body_parts, kChunks / 100);
}

// Guards against servers that fill the memory with heads of many short fields,
// which take far more memory than their bytes.
TEST_F(HttpClientTest, EndsCallsWhoseHeadsHaveTooManyFields) {
  const auto respond = [&](int fields) {
    server_.peers.clear();
    RunLoopFor(2ms);
    std::string bytes = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < fields; ++i) {
      bytes += "a:\r\n";
    }
    return MakeCallAndRespond(0, bytes + "Content-Length: 0\r\n\r\n").end;
  };
  EXPECT_EQ(respond(400), HttpCallEnd::kComplete);
  EXPECT_EQ(respond(600), HttpCallEnd::kNoResponse);
  EXPECT_EQ(respond(15'000), HttpCallEnd::kNoResponse);
}

// Guards against delivering the late response of an earlier call to a later
// call on the same connection.
TEST_F(HttpClientTest, SkipsTheResponseOfAnotherCall) {
  const auto listener = MakeCallAndRespond(
      0,
      "HTTP/1.1 200 OK\r\nX-Id: foreign\r\nContent-Length: 3\r\n\r\nbad"
      "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_EQ(listener.status, 201);
  EXPECT_EQ(listener.body, "ok");
  EXPECT_EQ(client_.counters().mismatched_responses, 1u);
}

// Guards against sending a request that another request is hidden in, on a new
// and on a kept connection.
TEST_F(HttpClientTest, DoesNotSendARequestWithALineBreakInAField) {
  for (const bool is_kept : {false, true}) {
    SCOPED_TRACE(is_kept);
    if (is_kept) {
      MakeCallAndRespond(0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    HttpCall call = MakeCall();
    call.headers.Add("X", "a\r\n\r\nPOST /hidden HTTP/1.1");
    CollectingListener listener;
    const auto handle = client_.Start(std::move(call), &listener);
    ASSERT_TRUE(RunLoopUntil([&] { return listener.end.has_value(); }));
    RunLoopFor(2ms);
    EXPECT_EQ(listener.end, HttpCallEnd::kNotSent);
    for (const auto& peer : server_.peers) {
      EXPECT_EQ(peer->received, "");
    }
  }
  EXPECT_EQ(client_.counters().calls_not_encodable, 2u);
}

// Guards against taking bytes that follow a complete response for the response
// to the next call.
TEST_F(HttpClientTest, ClosesAConnectionWithSurplusBytes) {
  MakeCallAndRespond(
      0,
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
      "Content-Length: 3\r\n\r\nbad");
  EXPECT_EQ(client_.idle_connection_count(), 0u);
  const auto listener =
      MakeCallAndRespond(1, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_EQ(listener.body, "ok");
}

// Guards against opening a connection for each call, and against reusing a
// connection that was idle for longer than the call allows.
TEST_F(HttpClientTest, ReusesConnectionsWithinTheMaxIdleTimeOfTheCall) {
  constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  MakeCallAndRespond(0, kResponse);
  MakeCallAndRespond(0, kResponse);
  EXPECT_EQ(client_.counters().connections_opened, 1u);
  HttpCall call = MakeCall();
  call.max_connection_idle = -1ms;
  CollectingListener listener;
  const auto handle = client_.Start(call, &listener);
  EXPECT_TRUE(server_.WaitFor(1, "question"));
}

// Guards against the client retrying a call by itself when a reused connection
// is reset, and against reporting a call that was never sent as possibly run.
TEST_F(HttpClientTest, NeverSendsACallTwice) {
  MakeCallAndRespond(0, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  CollectingListener listener;
  const auto call = client_.Start(MakeCall(), &listener);
  ASSERT_TRUE(server_.WaitFor(0, "question"));
  server_.peers[0]->Abort();
  ASSERT_TRUE(RunLoopUntil([&] { return listener.end.has_value(); }));
  EXPECT_EQ(listener.end, HttpCallEnd::kNoResponse);
  EXPECT_EQ(server_.peers.size(), 1u);

  HttpCall refused_request = MakeCall();
  refused_request.address = "127.0.0.1:1";
  CollectingListener refused_listener;
  const auto refused_call = client_.Start(refused_request, &refused_listener);
  ASSERT_TRUE(RunLoopUntil([&] { return refused_listener.end.has_value(); }));
  EXPECT_EQ(refused_listener.end, HttpCallEnd::kNotSent);
}

// Guards against an endpoint that goes on working on a cancelled call.
TEST_F(HttpClientTest, DestroyingTheHandleClosesTheConnection) {
  CollectingListener listener;
  auto call = client_.Start(MakeCall(), &listener);
  ASSERT_TRUE(server_.WaitFor(0, "question"));
  call.reset();
  EXPECT_TRUE(RunLoopUntil([&] { return server_.peers[0]->end.has_value(); }));
  EXPECT_FALSE(listener.end);
}

// Guards against delivering a duplicate response to the next call on the same
// connection. The duplicate arrives with the first response, while the
// connection is idle, or before the second response, in each kind of framing.
TEST_F(HttpClientTest, DuplicateResponseNeverReachesTheNextCall) {
  struct Case {
    const char* name;
    const char* duplicate;
  };
  const Case cases[] = {
      {"length",
       "HTTP/1.1 200 OK\r\nX-Id: foreign\r\nContent-Length: 3\r\n\r\nbad"},
      {"chunked",
       "HTTP/1.1 200 OK\r\nX-Id: foreign\r\nTransfer-Encoding: chunked\r\n\r\n"
       "3\r\nbad\r\n0\r\n\r\n"},
      {"no content", "HTTP/1.1 204 No Content\r\nX-Id: foreign\r\n\r\n"},
      {"not modified", "HTTP/1.1 304 Not Modified\r\nX-Id: foreign\r\n\r\n"},
      {"interim before it",
       "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: foreign\r\n"
       "Content-Length: 3\r\n\r\nbad"}};
  constexpr char kOwnResponse[] =
      "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok";
  enum class Arrival { kWithFirstResponse, kWhileIdle, kBeforeSecondResponse };
  for (const Case& test : cases) {
    for (const Arrival arrival :
         {Arrival::kWithFirstResponse, Arrival::kWhileIdle,
          Arrival::kBeforeSecondResponse}) {
      SCOPED_TRACE(test.name);
      SCOPED_TRACE(static_cast<int>(arrival));
      server_.peers.clear();
      HttpClient client(clock_);
      CollectingListener first;
      const auto first_call = client.Start(MakeCall(), &first);
      ASSERT_TRUE(server_.WaitFor(0, "question"));
      server_.peers[0]->received.clear();
      server_.peers[0]->Send(
          std::string(kOwnResponse) +
          (arrival == Arrival::kWithFirstResponse ? test.duplicate : ""));
      ASSERT_TRUE(RunLoopUntil([&] { return first.end.has_value(); }));
      if (arrival == Arrival::kWhileIdle) {
        server_.peers[0]->Send(test.duplicate);
        RunLoopFor(10ms);
      }
      CollectingListener second;
      const auto second_call = client.Start(MakeCall(), &second);
      ASSERT_TRUE(
          RunLoopUntil([&] { return server_.peers.back()->Has("question"); }));
      const bool is_same_connection = server_.peers.size() == 1;
      EXPECT_EQ(is_same_connection, arrival == Arrival::kBeforeSecondResponse);
      if (arrival == Arrival::kBeforeSecondResponse) {
        server_.peers[0]->Send(test.duplicate);
      }
      server_.peers.back()->Send(kOwnResponse);
      ASSERT_TRUE(RunLoopUntil([&] { return second.end.has_value(); }));
      EXPECT_EQ(second.end, HttpCallEnd::kComplete);
      EXPECT_EQ(second.status, 201);
      EXPECT_EQ(second.body, "ok");
    }
  }
}

// Guards against unbounded memory and time for a response that never ends: any
// part of it may be repeated endlessly, from the status line to the trailer.
TEST_F(HttpClientTest, EndsCallsWhoseResponsesNeverEnd) {
  struct Case {
    const char* start;
    const char* repeated;
  };
  const Case cases[] = {
      {"HTTP/1.1 200 ", "xxxxxxxxxxxxxxxx"},
      {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
      {"HTTP/1.1 200 OK\r\nX-Name", "-and-more-of-it"},
      {"HTTP/1.1 200 OK\r\nX-Name: ", "value-without-end"},
      {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
      {"", "HTTP/1.1 200 OK\r\nX-Id: foreign\r\nContent-Length: 3\r\n\r\nbad"},
      {"HTTP/1.1 200 OK\r\nX-Id: foreign\r\n\r\n", "a body without end"},
      {"HTTP/1.1 200 OK\r\n\r\n", "a body without end"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "too long"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;", "extension="},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-Trailer: value\r\n"}};
  constexpr size_t kMaxSentBytes = size_t{4} << 20;
  for (const Case& test : cases) {
    server_.peers.clear();
    HttpClient client(clock_);
    CollectingListener listener;
    HttpCall call = MakeCall();
    call.max_response_bytes = size_t{1} << 20;
    const auto handle = client.Start(call, &listener);
    ASSERT_TRUE(server_.WaitFor(0, "question"));
    std::string unsent(test.start);
    size_t sent = 0;
    while (!listener.end && sent < kMaxSentBytes) {
      while (unsent.size() < 60'000) {
        unsent += test.repeated;
      }
      server_.peers[0]->Send(unsent);
      sent += std::exchange(unsent, std::string()).size();
      RunLoopFor(2ms);
    }
    RunLoopUntil([&] { return listener.end.has_value(); });
    ASSERT_TRUE(listener.end) << test.start << test.repeated;
    EXPECT_NE(*listener.end, HttpCallEnd::kComplete) << test.repeated;
    EXPECT_LE(listener.body.size(), call.max_response_bytes);
    EXPECT_TRUE(RunLoopUntil([&] { return server_.peers[0]->end.has_value(); }))
        << "the connection stays open";
  }
}

// Guards against unbounded buffering of a response whose reader is slower than
// the server.
TEST_F(HttpClientTest, PausedCallReceivesNoBytes) {
  CollectingListener listener;
  const auto call = client_.Start(MakeCall(), &listener);
  ASSERT_TRUE(server_.WaitFor(0, "question"));
  server_.peers[0]->Send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na");
  ASSERT_TRUE(RunLoopUntil([&] { return listener.body == "a"; }));
  call->PauseReading();
  server_.peers[0]->Send("bc");
  RunLoopFor(30ms);
  EXPECT_EQ(listener.body, "a");
  call->ResumeReading();
  ASSERT_TRUE(RunLoopUntil([&] { return listener.end.has_value(); }));
  EXPECT_EQ(listener.body, "abc");
}

}  // namespace
}  // namespace peridotmill
