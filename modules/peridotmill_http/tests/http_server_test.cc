#include "peridotmill_http/server/http_server.h"

#include <gtest/gtest.h>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_http/server/request_head_check.h"
#include "peridotmill_http/tests/socket_peer.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

struct HeadCase {
  const char* name;
  std::string head;
  bool is_accepted;
};

class HeadCheckTest : public testing::TestWithParam<HeadCase> {};

// Guards against heads that two parties could read in two ways.
TEST_P(HeadCheckTest, AcceptsOnlyUnambiguousHeads) {
  EXPECT_EQ(!FindHeadFault(GetParam().head).has_value(),
            GetParam().is_accepted);
}

INSTANTIATE_TEST_SUITE_P(
    Heads,
    HeadCheckTest,
    testing::Values(
        HeadCase{"plain", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
        HeadCase{"length",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n",
                 true},
        HeadCase{"two_lengths",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                 "Content-Length: 4\r\n\r\n",
                 false},
        HeadCase{"equal_lengths",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                 "content-length: 3\r\n\r\n",
                 false},
        HeadCase{"length_and_chunked",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
                 false},
        HeadCase{"length_list",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\n",
                 false},
        HeadCase{"signed_length",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n",
                 false},
        HeadCase{"gzip_chunked",
                 "POST / HTTP/1.1\r\nHost: a\r\n"
                 "Transfer-Encoding: gzip, chunked\r\n\r\n",
                 false},
        HeadCase{"folded", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n",
                 false},
        HeadCase{"bare_line_feed", "GET / HTTP/1.1\r\nHost: a\n\r\n\r\n",
                 false},
        HeadCase{"bare_carriage_return",
                 "GET / HTTP/1.1\r\nHost: a\r\nX: b\rc\r\n\r\n", false},
        HeadCase{"blank_before_colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
                 false},
        HeadCase{
            "nul_in_value",
            std::string("GET / HTTP/1.1\r\nHost: a\r\nX: b").append(1, '\0') +
                "c\r\n\r\n",
            false},
        HeadCase{"no_host", "GET / HTTP/1.1\r\n\r\n", false},
        HeadCase{"two_hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
                 false},
        HeadCase{"space_in_target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
                 false}),
    [](const auto& info) { return info.param.name; });

class HttpServerTest : public testing::Test {
 protected:
  HttpServerTest() {
    HttpServerSettings settings;
    settings.address = "127.0.0.1:0";
    settings.limits.max_head_bytes = 1000;
    settings.limits.max_body_bytes = 2000;
    settings.limits.head_timeout = 300ms;
    settings.limits.idle_timeout = 600ms;
    server_ = *HttpServer::Create(
        settings, clock_, [this](const std::shared_ptr<HttpExchange>& e) {
          requests_.push_back(e->request());
          exchanges_.push_back(e);
          if (answers_at_once_) {
            Answer(*e);
          }
        });
  }

  static void Answer(HttpExchange& exchange) {
    HttpResponseHead head;
    head.status = 200;
    SendComplete(exchange, head, "answer to " + exchange.request().target);
  }

  SystemClock clock_;
  bool answers_at_once_ = true;
  std::vector<HttpRequest> requests_;
  std::vector<std::shared_ptr<HttpExchange>> exchanges_;
  std::unique_ptr<HttpServer> server_;
};

// Guards against a target that arrives decoded or normalised.
TEST_F(HttpServerTest, PassesTheTargetOnAsSent) {
  SocketPeer caller(server_->port());
  caller.Send("GET /a/../%68?x=%20&y HTTP/1.1\r\nHost: h\r\nX-Y: z\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.Has("answer to"); }));
  EXPECT_EQ(requests_[0].target, "/a/../%68?x=%20&y");
  EXPECT_EQ(requests_[0].headers.Find("x-y"), "z");
  EXPECT_FALSE(caller.end);
}

// Guards against a second request hidden behind an ambiguous first one.
TEST_F(HttpServerTest, ClosesAfterAmbiguousFraming) {
  SocketPeer caller(server_->port());
  caller.Send(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
      "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }));
  EXPECT_TRUE(caller.Has("HTTP/1.1 400"));
  EXPECT_TRUE(requests_.empty());
}

// Guards against answers out of order on one connection.
TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder) {
  SocketPeer caller(server_->port());
  caller.Send(
      "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.Has("answer to /2"); }));
  EXPECT_EQ(requests_[0].body, "abcde");
  EXPECT_LT(caller.received.find("answer to /1"),
            caller.received.find("answer to /2"));
}

// Guards against callers who send too much or too slowly.
TEST_F(HttpServerTest, BoundsWhatCallersSend) {
  struct Case {
    std::string bytes;
    const char* status;
  };
  std::string chunks =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 2; ++i) {
    chunks.append("5dc\r\n").append(1500, 'x').append("\r\n");
  }
  for (const Case& test :
       {Case{"GET / HTTP/1.1\r\nX: " + std::string(1200, 'a'), " 431 "},
        Case{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2001\r\n\r\n",
             " 413 "},
        Case{chunks, " 413 "}, Case{"GET / HTT", " 408 "},
        Case{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
             " 408 "},
        Case{"\x16\x03\x01 no HTTP\n", " 400 "}}) {
    SocketPeer caller(server_->port());
    caller.Send(test.bytes);
    ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }))
        << test.status;
    EXPECT_TRUE(caller.Has(std::string("HTTP/1.1") + test.status))
        << caller.received;
    EXPECT_TRUE(caller.Has("not_run"));
  }
  EXPECT_TRUE(requests_.empty());
}

// Guards against work for a caller who has left.
TEST_F(HttpServerTest, TellsWhenTheCallerLeaves) {
  answers_at_once_ = false;
  auto caller = std::make_unique<SocketPeer>(server_->port());
  caller->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return !exchanges_.empty(); }));
  bool is_gone = false;
  exchanges_[0]->set_on_caller_gone([&] { is_gone = true; });
  caller->Close();
  EXPECT_TRUE(RunLoopUntil([&] { return is_gone; }));
  // What follows goes nowhere and does no harm.
  Answer(*exchanges_[0]);
}

// Guards against an answer that was broken off and looks complete.
TEST_F(HttpServerTest, AnAbortedAnswerEndsWithAReset) {
  answers_at_once_ = false;
  SocketPeer caller(server_->port());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return !exchanges_.empty(); }));
  HttpResponseHead head;
  head.status = 200;
  exchanges_[0]->SendHead(head);
  exchanges_[0]->SendBody("part");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.Has("part"); }));
  exchanges_[0]->Abort();
  ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }));
  EXPECT_EQ(caller.end, SocketEnd::kReset);
  EXPECT_FALSE(caller.Has("0\r\n\r\n"));
}

// Guards against connections that stay open on a stopping node, and against
// closing one in the middle of a request.
TEST_F(HttpServerTest, AnnouncesTheCloseWhenStopping) {
  answers_at_once_ = false;
  SocketPeer idle(server_->port());
  SocketPeer caller(server_->port());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return !exchanges_.empty(); }));
  server_->StopKeepingConnections();
  server_->CloseIdleConnections();
  ASSERT_TRUE(RunLoopUntil([&] { return idle.end.has_value(); }));
  EXPECT_FALSE(caller.end);
  Answer(*exchanges_[0]);
  ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }));
  EXPECT_TRUE(caller.Has("Connection: close"));
  EXPECT_TRUE(caller.Has("answer to /"));
}

// Guards against a head that can never end correctly and is not refused before
// its time limit: a bare line feed beyond the first line.
TEST_F(HttpServerTest, RefusesABareLineFeedAtOnce) {
  SocketPeer caller(server_->port());
  const TimePoint start = clock_.Now();
  caller.Send("GET / HTTP/1.1\r\nHost: h\nX: y\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }));
  EXPECT_TRUE(caller.Has(" 400 ")) << caller.received;
  EXPECT_LT(clock_.Now() - start, 250ms);
}

// Guards against a request body that comes a byte now and then and holds its
// connection for good.
TEST_F(HttpServerTest, GivesUpABodyThatTrickles) {
  SocketPeer caller(server_->port());
  caller.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
  for (int i = 0; i < 200 && !caller.end; ++i) {
    caller.Send("x");
    RunLoopFor(20ms);
  }
  ASSERT_TRUE(caller.end);
  EXPECT_TRUE(caller.Has(" 408 ")) << caller.received;
  EXPECT_TRUE(requests_.empty());
}

// Guards against memory filled for callers who do not read, unseen by whoever
// sends.
TEST_F(HttpServerTest, TellsHowMuchWaitsForACaller) {
  answers_at_once_ = false;
  SocketPeer caller(server_->port());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return !exchanges_.empty(); }));
  int drained = 0;
  exchanges_[0]->set_on_drained([&] { ++drained; });
  HttpResponseHead head;
  head.status = 200;
  exchanges_[0]->SendHead(head);
  caller.PauseReading();
  const std::string piece(1 << 20, 'x');
  size_t sent = 0;
  while (exchanges_[0]->unsent_bytes() == 0 && sent < (size_t{64} << 20)) {
    exchanges_[0]->SendBody(piece);
    sent += piece.size();
  }
  EXPECT_GT(exchanges_[0]->unsent_bytes(), 0u);
  EXPECT_EQ(drained, 0);
  caller.ResumeReading();
  ASSERT_TRUE(RunLoopUntil([&] { return drained > 0; }));
  EXPECT_EQ(exchanges_[0]->unsent_bytes(), 0u);
  exchanges_[0]->Finish();
  EXPECT_TRUE(RunLoopUntil([&] { return caller.Has("0\r\n\r\n"); }));
}

// Guards against a planned stop that cuts a request which has arrived and was
// not read yet: closing the connection would reset it without an answer.
TEST_F(HttpServerTest, AStopAnswersWhatHasJustArrived) {
  SocketPeer caller(server_->port());
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.Has("answer to /1"); }));
  // Without a turn of the loop in between.
  caller.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  server_->StopKeepingConnections();
  server_->CloseIdleConnections();
  ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }));
  EXPECT_TRUE(caller.Has("answer to /2")) << caller.received;
  EXPECT_TRUE(caller.Has("Connection: close"));
  EXPECT_EQ(caller.end, SocketEnd::kOrderly);
}

// Plays random damage to a request; the server must answer or close, and never
// crash or hang.
TEST_F(HttpServerTest, SurvivesDamagedRequests) {
  Random random(3);
  const std::string whole =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n";
  for (int i = 0; i < 300; ++i) {
    std::string damaged = whole;
    for (int change = 0; change < 2; ++change) {
      damaged[random.Below(damaged.size())] =
          static_cast<char>(random.Below(256));
    }
    SocketPeer caller(server_->port());
    caller.Send(damaged);
    ASSERT_TRUE(RunLoopUntil([&] {
      return caller.end.has_value() || caller.Has("HTTP/1.1 ");
    })) << i;
  }
}

}  // namespace
}  // namespace peridotmill
