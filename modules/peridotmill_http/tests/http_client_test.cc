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
  void OnCallBody(std::string_view bytes) override { body += bytes; }
  void OnCallEnd(HttpCallEnd call_end) override { end = call_end; }

  int status = 0;
  std::string body;
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
    call.body = "question";
    call.has_body = true;
    return call;
  }

  // Makes a call on connection `index`, answers it with `bytes` and ends the
  // connection as told.
  CollectingListener Play(size_t index,
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
      // The bytes must arrive before the reset discards them.
      RunLoopUntil([&] { return !listener.body.empty(); });
      server_.peers[index]->Abort();
    }
    EXPECT_TRUE(RunLoopUntil([&] { return listener.end.has_value(); }));
    return listener;
  }

  SystemClock clock_;
  ScriptedPeers server_;
  HttpClient client_{clock_};
};

// Guards against answers that are cut but look complete, in each framing.
TEST_F(HttpClientTest, TellsCompleteAnswersFromCutOnes) {
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
      {"", SocketEnd::kOrderly, HttpCallEnd::kNoAnswer},
      {"no HTTP at all\r\n\r\n", std::nullopt, HttpCallEnd::kNoAnswer}};
  for (const Case& test : cases) {
    // A connection of its own for each case.
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

// Guards against a late answer of an earlier call reaching this one's caller.
TEST_F(HttpClientTest, SkipsTheAnswerOfAnotherCall) {
  const auto listener =
      Play(0,
           "HTTP/1.1 200 OK\r\nX-Id: foreign\r\nContent-Length: 3\r\n\r\nbad"
           "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_EQ(listener.status, 201);
  EXPECT_EQ(listener.body, "ok");
  EXPECT_EQ(client_.counters().mismatched_responses, 1u);
}

// Guards against bytes behind an answer being taken for the next one.
TEST_F(HttpClientTest, GivesUpAConnectionWithSurplusBytes) {
  Play(0,
       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
       "Content-Length: 3\r\n\r\nbad");
  EXPECT_EQ(client_.idle_connection_count(), 0u);
  const auto listener =
      Play(1, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_EQ(listener.body, "ok");
}

// Guards against a new connection for each call, and against using one that was
// idle for longer than the call allows.
TEST_F(HttpClientTest, ReusesConnectionsAsFarAsTheCallAllows) {
  constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  Play(0, kAnswer);
  Play(0, kAnswer);
  EXPECT_EQ(client_.counters().connections_opened, 1u);
  HttpCall call = MakeCall();
  call.max_connection_idle = -1ms;
  CollectingListener listener;
  const auto open = client_.Start(call, &listener);
  EXPECT_TRUE(server_.WaitFor(1, "question"));
}

// Guards against a call that is sent again by the client itself, and against
// "may have run" for a call that never left.
TEST_F(HttpClientTest, NeverSendsACallTwice) {
  Play(0, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  CollectingListener listener;
  const auto call = client_.Start(MakeCall(), &listener);
  ASSERT_TRUE(server_.WaitFor(0, "question"));
  server_.peers[0]->Abort();
  ASSERT_TRUE(RunLoopUntil([&] { return listener.end.has_value(); }));
  EXPECT_EQ(listener.end, HttpCallEnd::kNoAnswer);
  EXPECT_EQ(server_.peers.size(), 1u);

  HttpCall refused = MakeCall();
  refused.address = "127.0.0.1:1";
  CollectingListener never_sent;
  const auto other = client_.Start(refused, &never_sent);
  ASSERT_TRUE(RunLoopUntil([&] { return never_sent.end.has_value(); }));
  EXPECT_EQ(never_sent.end, HttpCallEnd::kNotSent);
}

// Guards against an endpoint that works on for a call that was given up.
TEST_F(HttpClientTest, CancellingClosesTheConnection) {
  CollectingListener listener;
  auto call = client_.Start(MakeCall(), &listener);
  ASSERT_TRUE(server_.WaitFor(0, "question"));
  call.reset();
  EXPECT_TRUE(RunLoopUntil([&] { return server_.peers[0]->end.has_value(); }));
  EXPECT_FALSE(listener.end);
}

// Guards against a second copy of an answer that reaches the next caller on the
// same connection, in each framing and at each time at which it may come.
TEST_F(HttpClientTest, NoCopyOfAnAnswerReachesTheNextCall) {
  struct Case {
    const char* name;
    const char* copy;
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
  constexpr char kOwn[] = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok";
  enum class Arrival { kRightBehind, kWhileIdle, kBeforeTheNextAnswer };
  for (const Case& test : cases) {
    for (const Arrival arrival : {Arrival::kRightBehind, Arrival::kWhileIdle,
                                  Arrival::kBeforeTheNextAnswer}) {
      SCOPED_TRACE(test.name);
      SCOPED_TRACE(static_cast<int>(arrival));
      server_.peers.clear();
      HttpClient client(clock_);
      CollectingListener first;
      const auto first_call = client.Start(MakeCall(), &first);
      ASSERT_TRUE(server_.WaitFor(0, "question"));
      server_.peers[0]->received.clear();
      server_.peers[0]->Send(
          std::string(kOwn) +
          (arrival == Arrival::kRightBehind ? test.copy : ""));
      ASSERT_TRUE(RunLoopUntil([&] { return first.end.has_value(); }));
      if (arrival == Arrival::kWhileIdle) {
        server_.peers[0]->Send(test.copy);
        RunLoopFor(10ms);
      }
      CollectingListener second;
      const auto second_call = client.Start(MakeCall(), &second);
      ASSERT_TRUE(
          RunLoopUntil([&] { return server_.peers.back()->Has("question"); }));
      const bool is_same_connection = server_.peers.size() == 1;
      EXPECT_EQ(is_same_connection, arrival == Arrival::kBeforeTheNextAnswer);
      if (arrival == Arrival::kBeforeTheNextAnswer) {
        server_.peers[0]->Send(test.copy);
      }
      server_.peers.back()->Send(kOwn);
      ASSERT_TRUE(RunLoopUntil([&] { return second.end.has_value(); }));
      EXPECT_EQ(second.end, HttpCallEnd::kComplete);
      EXPECT_EQ(second.status, 201);
      EXPECT_EQ(second.body, "ok");
    }
  }
}

// Guards against memory and time spent on bytes that never become an answer,
// or never end, at each place where they may come.
TEST_F(HttpClientTest, GivesUpBytesWithoutEnd) {
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
  constexpr size_t kEnough = size_t{4} << 20;
  for (const Case& test : cases) {
    server_.peers.clear();
    HttpClient client(clock_);
    CollectingListener listener;
    HttpCall call = MakeCall();
    call.max_answer_bytes = size_t{1} << 20;
    const auto open = client.Start(call, &listener);
    ASSERT_TRUE(server_.WaitFor(0, "question"));
    std::string piece(test.start);
    size_t sent = 0;
    while (!listener.end && sent < kEnough) {
      while (piece.size() < 60'000) {
        piece += test.repeated;
      }
      server_.peers[0]->Send(piece);
      sent += std::exchange(piece, std::string()).size();
      RunLoopFor(2ms);
    }
    RunLoopUntil([&] { return listener.end.has_value(); });
    ASSERT_TRUE(listener.end) << test.start << test.repeated;
    EXPECT_NE(*listener.end, HttpCallEnd::kComplete) << test.repeated;
    EXPECT_LE(listener.body.size(), call.max_answer_bytes);
    EXPECT_TRUE(RunLoopUntil([&] { return server_.peers[0]->end.has_value(); }))
        << "the connection stays open";
  }
}

// Guards against a server that fills memory while nobody takes its answer.
TEST_F(HttpClientTest, APausedCallTakesNoBytes) {
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
