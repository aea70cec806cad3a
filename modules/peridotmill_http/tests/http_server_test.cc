#include "peridotmill_http/server/http_server.h"

#include <gtest/gtest.h>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_http/server/request_head_check.h"
#include "peridotmill_http/tests/socket_peer.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

struct RequestHeadCase {
  const char* name;
  std::string head;
  bool is_accepted;
};

class RequestHeadCheckTest : public testing::TestWithParam<RequestHeadCase> {};

// Guards against request smuggling: a head with ambiguous framing, which a
// proxy and the server could parse differently.
TEST_P(RequestHeadCheckTest, AcceptsOnlyUnambiguousHeads) {
  EXPECT_EQ(!FindRequestHeadViolation(GetParam().head).has_value(),
            GetParam().is_accepted);
}

INSTANTIATE_TEST_SUITE_P(
    Heads,
    RequestHeadCheckTest,
    testing::Values(
        RequestHeadCase{"plain", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
        RequestHeadCase{
            "length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n",
            true},
        RequestHeadCase{"two_lengths",
                        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                        "Content-Length: 4\r\n\r\n",
                        false},
        RequestHeadCase{"equal_lengths",
                        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                        "content-length: 3\r\n\r\n",
                        false},
        RequestHeadCase{"length_and_chunked",
                        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
                        false},
        RequestHeadCase{
            "length_list",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\n",
            false},
        RequestHeadCase{
            "signed_length",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n", false},
        RequestHeadCase{"gzip_chunked",
                        "POST / HTTP/1.1\r\nHost: a\r\n"
                        "Transfer-Encoding: gzip, chunked\r\n\r\n",
                        false},
        RequestHeadCase{
            "folded", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", false},
        RequestHeadCase{"bare_line_feed", "GET / HTTP/1.1\r\nHost: a\n\r\n\r\n",
                        false},
        RequestHeadCase{"bare_carriage_return",
                        "GET / HTTP/1.1\r\nHost: a\r\nX: b\rc\r\n\r\n", false},
        RequestHeadCase{"blank_before_colon",
                        "GET / HTTP/1.1\r\nHost : a\r\n\r\n", false},
        RequestHeadCase{
            "nul_in_value",
            std::string("GET / HTTP/1.1\r\nHost: a\r\nX: b").append(1, '\0') +
                "c\r\n\r\n",
            false},
        RequestHeadCase{"no_host", "GET / HTTP/1.1\r\n\r\n", false},
        RequestHeadCase{"two_hosts",
                        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", false},
        RequestHeadCase{"space_in_target",
                        "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", false}),
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
          if (responds_immediately_) {
            SendResponse(*e);
          }
        });
  }

  static void SendResponse(HttpExchange& exchange) {
    HttpResponseHead head;
    head.status = 200;
    SendComplete(exchange, head, "answer to " + exchange.request().target);
  }

  SystemClock clock_;
  bool responds_immediately_ = true;
  std::vector<HttpRequest> requests_;
  std::vector<std::shared_ptr<HttpExchange>> exchanges_;
  std::unique_ptr<HttpServer> server_;
};

// Guards against a request target that the server decodes or normalises before
// the handler receives it.
TEST_F(HttpServerTest, DeliversTargetAsSent) {
  SocketPeer caller(server_->port());
  caller.Send("GET /a/../%68?x=%20&y HTTP/1.1\r\nHost: h\r\nX-Y: z\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.Has("answer to"); }));
  EXPECT_EQ(requests_[0].target, "/a/../%68?x=%20&y");
  EXPECT_EQ(requests_[0].headers.Find("x-y"), "z");
  EXPECT_FALSE(caller.end);
}

// Guards against a second request that is smuggled behind one with ambiguous
// framing: both Content-Length and Transfer-Encoding.
TEST_F(HttpServerTest, RejectsAmbiguousFramingAndCloses) {
  SocketPeer caller(server_->port());
  caller.Send(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
      "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }));
  EXPECT_TRUE(caller.Has("HTTP/1.1 400"));
  EXPECT_TRUE(requests_.empty());
}

// Guards against responses out of order when a caller pipelines requests on one
// connection.
TEST_F(HttpServerTest, RespondsToPipelinedRequestsInOrder) {
  SocketPeer caller(server_->port());
  caller.Send(
      "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.Has("answer to /2"); }));
  EXPECT_EQ(requests_[0].body.bytes(), "abcde");
  EXPECT_LT(caller.received.find("answer to /1"),
            caller.received.find("answer to /2"));
}

// Guards against callers that exhaust memory or hold connections: heads and
// bodies over their limits, requests that stall, and bytes that are not HTTP.
TEST_F(HttpServerTest, RejectsOversizedSlowAndMalformedRequests) {
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

// Guards against callers that fill the memory with heads of many short fields,
// which take far more memory than their bytes.
TEST_F(HttpServerTest, RejectsRequestsWithTooManyFields) {
  const auto server = *HttpServer::Create({.address = "127.0.0.1:0"}, clock_,
                                          [](const auto& exchange) {
                                            HttpResponseHead head;
                                            head.status = 200;
                                            SendComplete(*exchange, head, "");
                                          });
  const auto send = [&](int fields) {
    SocketPeer caller(server->port());
    std::string bytes = "GET / HTTP/1.1\r\nHost: h\r\n";
    for (int i = 0; i < fields; ++i) {
      bytes += "a:\r\n";
    }
    caller.Send(bytes + "\r\n");
    RunLoopUntil([&] { return caller.Has("\r\n\r\n"); });
    return caller.received.substr(0, caller.received.find("\r\n"));
  };
  EXPECT_EQ(send(400), "HTTP/1.1 200 OK");
  EXPECT_EQ(send(600), "HTTP/1.1 431 Request Header Fields Too Large");
  EXPECT_EQ(send(3900), "HTTP/1.1 431 Request Header Fields Too Large");
}

// Guards against work that continues after its caller has disconnected.
TEST_F(HttpServerTest, ReportsCallerDisconnect) {
  responds_immediately_ = false;
  auto caller = std::make_unique<SocketPeer>(server_->port());
  caller->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return !exchanges_.empty(); }));
  bool is_disconnected = false;
  exchanges_[0]->set_on_caller_gone([&] { is_disconnected = true; });
  caller->Close();
  EXPECT_TRUE(RunLoopUntil([&] { return is_disconnected; }));
  // A response after the disconnect is discarded.
  SendResponse(*exchanges_[0]);
}

// Guards against an aborted response that the caller takes for a complete one.
TEST_F(HttpServerTest, AbortedResponseResetsConnection) {
  responds_immediately_ = false;
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

// Guards against connections that stay open while a node stops, and against a
// connection that closes before the response to its request.
TEST_F(HttpServerTest, StoppingClosesIdleConnectionsAndFinishesResponses) {
  SocketPeer idle(server_->port());
  idle.Send("GET /idle HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return idle.Has("answer to /idle"); }));
  responds_immediately_ = false;
  SocketPeer caller(server_->port());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return exchanges_.size() == 2; }));
  const TimePoint start = clock_.Now();
  server_->DisableKeepAlive();
  server_->CloseIdleConnections();
  ASSERT_TRUE(RunLoopUntil([&] { return idle.end.has_value(); }));
  EXPECT_LT(clock_.Now() - start, 300ms) << "closed by the idle timeout only";
  EXPECT_FALSE(caller.end);
  SendResponse(*exchanges_[1]);
  ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }));
  EXPECT_TRUE(caller.Has("Connection: close"));
  EXPECT_TRUE(caller.Has("answer to /"));
}

// Guards against an invalid head that is rejected only when its timeout
// expires: a bare line feed after the first line makes a valid end impossible.
TEST_F(HttpServerTest, RejectsBareLineFeedImmediately) {
  SocketPeer caller(server_->port());
  const TimePoint start = clock_.Now();
  caller.Send("GET / HTTP/1.1\r\nHost: h\nX: y\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }));
  EXPECT_TRUE(caller.Has(" 400 ")) << caller.received;
  EXPECT_LT(clock_.Now() - start, 250ms);
}

// Guards against a request body that holds its connection indefinitely because
// it arrives byte by byte and each byte restarts the idle timeout.
TEST_F(HttpServerTest, RejectsSlowBody) {
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

// Guards against unbounded memory for responses to callers that do not read:
// unsent_bytes() and the drain callback let the sender limit it.
TEST_F(HttpServerTest, ReportsUnsentBytesAndDrain) {
  responds_immediately_ = false;
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

// Guards against a planned stop that closes a connection as idle although a
// request has arrived and is unread, which would reset it without a response.
TEST_F(HttpServerTest, StoppingServesRequestsThatHaveArrived) {
  SocketPeer caller(server_->port());
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.Has("answer to /1"); }));
  // The main loop does not run between the arrival and the stop.
  caller.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  server_->DisableKeepAlive();
  server_->CloseIdleConnections();
  ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }));
  EXPECT_TRUE(caller.Has("answer to /2")) << caller.received;
  EXPECT_TRUE(caller.Has("Connection: close"));
  EXPECT_EQ(caller.end, SocketEnd::kOrderly);
}

// Guards against a planned stop that closes a connection between its accept and
// the first byte of its request.
TEST_F(HttpServerTest, StoppingServesCallersThatHaveJustConnected) {
  SocketPeer caller(server_->port());
  ASSERT_TRUE(RunLoopUntil([&] { return server_->connection_count() == 1; }));
  server_->DisableKeepAlive();
  server_->CloseIdleConnections();
  RunLoopFor(50ms);
  EXPECT_FALSE(caller.end);
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }));
  EXPECT_TRUE(caller.Has("answer to /")) << caller.received;
}

// Guards against a stop that waits for connections whose callers never send.
TEST_F(HttpServerTest, StoppingClosesConnectionsThatNeverSend) {
  HttpServerSettings settings;
  settings.address = "127.0.0.1:0";
  settings.limits.idle_timeout = 60s;
  const auto server = *HttpServer::Create(settings, clock_, [](const auto&) {});
  SocketPeer caller(server->port());
  RunLoopFor(1050ms);
  server->CloseIdleConnections();
  ASSERT_TRUE(RunLoopUntil([&] { return caller.end.has_value(); }));
  EXPECT_EQ(caller.end, SocketEnd::kOrderly);
}

// Guards against a process that exits without a word to callers whose requests
// are being received, or with a cut response that looks complete.
TEST_F(HttpServerTest, EndsAllConnectionsBeforeTheExit) {
  SocketPeer sending(server_->port());
  sending.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
  RunLoopFor(20ms);
  responds_immediately_ = false;
  SocketPeer slow(server_->port());
  slow.Send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return exchanges_.size() == 1; }));
  slow.PauseReading();
  HttpResponseHead head;
  head.status = 200;
  exchanges_[0]->SendHead(head);
  while (exchanges_[0]->unsent_bytes() == 0) {
    exchanges_[0]->SendBody(std::string(1 << 20, 'x'));
  }
  exchanges_[0]->Finish();
  server_->EndAllConnections();
  slow.ResumeReading();
  ASSERT_TRUE(RunLoopUntil(
      [&] { return sending.end.has_value() && slow.end.has_value(); }));
  EXPECT_TRUE(sending.Has("HTTP/1.1 503 ")) << sending.received;
  EXPECT_TRUE(sending.Has("not_run"));
  EXPECT_EQ(slow.end, SocketEnd::kReset);
  EXPECT_EQ(server_->connection_count(), 0u);
}

// Guards against a stopping process that resets connections which its callers
// have established and it has not accepted yet.
TEST_F(HttpServerTest, StoppingServesConnectionsThatWaitToBeAccepted) {
  constexpr int kCallers = 100;
  std::vector<std::unique_ptr<SocketPeer>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<SocketPeer>(server_->port()));
    callers.back()->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  // The main loop does not run between the arrival and the stop.
  server_->DisableKeepAlive();
  server_->StopListening();
  EXPECT_EQ(server_->connection_count(), size_t{kCallers});
  for (const auto& caller : callers) {
    ASSERT_TRUE(RunLoopUntil([&] { return caller->end.has_value(); }));
    EXPECT_TRUE(caller->Has("answer to /")) << caller->received;
  }
  SocketPeer late(server_->port());
  ASSERT_TRUE(RunLoopUntil([&] { return late.end.has_value(); }));
  EXPECT_EQ(late.end, SocketEnd::kConnectFailed);
}

// Guards against a crash or hang on corrupted input: sends requests with random
// byte changes, to each of which the server must respond or close.
TEST_F(HttpServerTest, RespondsToOrClosesOnCorruptedRequests) {
  Random random(3);
  const std::string valid =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n";
  for (int i = 0; i < 300; ++i) {
    std::string corrupted = valid;
    for (int change = 0; change < 2; ++change) {
      corrupted[random.Below(corrupted.size())] =
          static_cast<char>(random.Below(256));
    }
    SocketPeer caller(server_->port());
    caller.Send(corrupted);
    ASSERT_TRUE(RunLoopUntil([&] {
      return caller.end.has_value() || caller.Has("HTTP/1.1 ");
    })) << i;
  }
}

}  // namespace
}  // namespace peridotmill
