#include "peridotmill_net/callers/caller_server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "peridotmill_net/tests/main_loop.h"
#include "peridotmill_net/tests/raw_client.h"

namespace peridotmill {
namespace {

class CallerServerTest : public testing::Test {
 protected:
  CallerServerTest() {
    limits_.max_body_bytes = 1000;
    limits_.max_header_bytes = 2000;
    Open();
  }

  void Open() {
    server_.reset();
    CallerServerHandlers handlers;
    handlers.on_event = [this](NodeEvent event) {
      events_.push_back(std::move(event));
    };
    handlers.next_request_id = [this] {
      return RequestId("r" + std::to_string(++last_id_));
    };
    handlers.page = [](const std::string& path, const std::string&) {
      return path == "/readyz"
                 ? PageAnswer{200, "text/plain", "ready\n"}
                 : PageAnswer{404, "application/json",
                              RefusalBody(Reason::kBadRequest,
                                          Execution::kNotRun, "no path", "")};
    };
    handlers.on_refused = [this](Reason reason) { reasons_.push_back(reason); };
    auto server =
        CallerServer::Create("127.0.0.1:0", limits_, std::move(handlers));
    ASSERT_TRUE(server.has_value());
    server_ = *std::move(server);
  }

  static std::string Chat(const std::string& body) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  template <typename Event>
  size_t Count() const {
    return static_cast<size_t>(
        std::count_if(events_.begin(), events_.end(), [](const auto& event) {
          return std::holds_alternative<Event>(event);
        }));
  }

  // What follows the head of the last response.
  static nlohmann::json ErrorOf(const std::string& response) {
    const size_t end = response.rfind("\r\n\r\n");
    const auto parsed = nlohmann::json::parse(
        end == std::string::npos ? "" : response.substr(end + 4), nullptr,
        false);
    return parsed.is_object() ? parsed.value("error", nlohmann::json())
                              : nlohmann::json();
  }

  CallerLimits limits_;
  std::vector<NodeEvent> events_;
  std::vector<Reason> reasons_;
  int last_id_ = 0;
  std::unique_ptr<CallerServer> server_;
};

// Guards against requests that the server takes although it must refuse them,
// and against refusals without a JSON body.
TEST_F(CallerServerTest, RefusesWithJson) {
  const std::string chunked =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "1f4\r\n" + std::string(500, 'x') + "\r\n";
  struct Case {
    std::string name;
    std::string request;
    int status;
    std::string code;
  };
  const std::vector<Case> cases = {
      {"length over the limit",
       "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\n"
       "Content-Length: 1001\r\n\r\n",
       413, "body_too_large"},
      {"length over the limit, waiting for 100",
       "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\n"
       "Content-Length: 1001\r\nExpect: 100-continue\r\n\r\n",
       413, "body_too_large"},
      {"chunks over the limit, not ended", chunked + chunk + chunk + chunk, 413,
       "body_too_large"},
      {"one huge chunk announced",
       chunked + "fffffff\r\n" + std::string(5000, 'x'), 413, "body_too_large"},
      {"headers over the limit",
       "GET /readyz HTTP/1.1\r\nHost: n\r\nX-A: " + std::string(3000, 'x') +
           "\r\n\r\n",
       431, "bad_request"},
      {"unknown path", "GET /nowhere HTTP/1.1\r\nHost: n\r\n\r\n", 404,
       "bad_request"},
      {"options", "OPTIONS /v1/chat/completions HTTP/1.1\r\nHost: n\r\n\r\n",
       405, "bad_request"},
      {"get of a chat", "GET /v1/chat/completions HTTP/1.1\r\nHost: n\r\n\r\n",
       405, "bad_request"},
      {"delete of an action",
       "DELETE /v1/actions/k HTTP/1.1\r\nHost: n\r\n\r\n", 405, "bad_request"},
      {"unknown method", "BREW /readyz HTTP/1.1\r\nHost: n\r\n\r\n", 405,
       "bad_request"},
      {"post to a page",
       "POST /readyz HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n", 405,
       "bad_request"},
      {"options of the server", "OPTIONS * HTTP/1.1\r\nHost: n\r\n\r\n", 404,
       "bad_request"},
  };
  for (const Case& test : cases) {
    SCOPED_TRACE(test.name);
    RawClient client(server_->port());
    client.Send(test.request);
    EXPECT_TRUE(RunUntil([&] { return !ErrorOf(client.received()).is_null(); }))
        << client.received();
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 " +
                                              std::to_string(test.status)))
        << client.received();
    const auto error = ErrorOf(client.received());
    EXPECT_EQ(error.value("code", ""), test.code);
    EXPECT_EQ(error.value("execution", ""), "not_run");
    EXPECT_TRUE(events_.empty());
  }
}

// Guards against a limit that is off by one, and against one that counts
// chunk framing.
TEST_F(CallerServerTest, TakesBodiesAtTheLimit) {
  RawClient plain(server_->port());
  plain.Send(Chat(std::string(1000, 'a')));
  RawClient chunked(server_->port());
  chunked.Send(
      "POST /v1/pipelines/p%20q HTTP/1.1\r\nHost: n\r\n"
      "Transfer-Encoding: chunked\r\n\r\n1f4\r\n" +
      std::string(500, 'b') + "\r\n1f4\r\n" + std::string(500, 'c') +
      "\r\n0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return Count<CallerRequest>() == 2; }));
  for (const NodeEvent& event : events_) {
    const auto& request = std::get<CallerRequest>(event);
    EXPECT_EQ(request.body.size(), 1000U);
    if (request.form == CallerForm::kPipeline) {
      EXPECT_EQ(request.pipeline, PipelineId("p q"));
      EXPECT_EQ(request.body, std::string(500, 'b') + std::string(500, 'c'));
    }
  }
}

// Guards against endless heads and bodies that hold memory or a connection.
TEST_F(CallerServerTest, ClosesSlowCallers) {
  limits_.body_timeout_ms = 50;
  limits_.idle_timeout_ms = 50;
  Open();
  struct Case {
    std::string name;
    std::string bytes;
    bool is_refused;
  };
  const std::vector<Case> cases = {
      {"nothing", "", false},
      {"part of a head", "POST /v1/chat", true},
      {"part of a body",
       "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\n"
       "Content-Length: 10\r\n\r\nabc",
       true},
      {"no end of chunks",
       "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\n"
       "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
       true},
      {"idle after an answer", "GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n",
       false},
      {"head that never ends",
       "GET /readyz HTTP/1.1\r\nX-A: " + std::string(60'000, 'x'), true},
  };
  for (const Case& test : cases) {
    SCOPED_TRACE(test.name);
    RawClient client(server_->port());
    client.Send(test.bytes);
    EXPECT_TRUE(RunUntil([&] { return client.is_closed(); }));
    EXPECT_EQ(client.Has("HTTP/1.1 408") && client.Has("not_run"),
              test.is_refused)
        << client.received();
    EXPECT_TRUE(events_.empty());
  }
  EXPECT_TRUE(RunUntil([&] { return server_->connection_count() == 0; }));
}

// Guards against descriptors that stay open after a caller has closed a
// connection on which it was answered.
TEST_F(CallerServerTest, ReleasesConnectionsThatCallersClose) {
  auto client = std::make_unique<RawClient>(server_->port());
  client->Send("GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return client->Has("ready\n"); }));
  client.reset();
  EXPECT_TRUE(RunUntil([&] { return server_->connection_count() == 0; }));
}

// Guards against a head without an end that fills memory.
TEST_F(CallerServerTest, BoundsAHeadWithoutEnd) {
  RawClient client(server_->port());
  const std::string line = "X-A: " + std::string(1000, 'x') + "\r\n";
  client.Send("GET /readyz HTTP/1.1\r\n");
  size_t sent = 0;
  EXPECT_TRUE(RunUntil([&] {
    sent += client.Send(line);
    return client.is_closed();
  }));
  // Socket buffers take some, the server must not.
  EXPECT_LT(sent, size_t{8} << 20);
}

// Guards against a connection that is closed, or never answered again, after
// the first of several requests.
TEST_F(CallerServerTest, AnswersRequestsOfOneConnectionInOrder) {
  RawClient client(server_->port());
  for (const char* body : {"first", "second", "third"}) {
    client.Send(Chat(body));
    ASSERT_TRUE(RunUntil([&] { return !events_.empty(); })) << body;
    ASSERT_EQ(events_.size(), 1U);
    const auto request = std::get<CallerRequest>(events_.front());
    events_.clear();
    EXPECT_EQ(request.body, body);
    CallerAnswer answer;
    answer.request = request.id;
    answer.body = "answer to " + request.body;
    server_->Send(answer);
    ASSERT_TRUE(RunUntil([&] { return client.Has(answer.body); }));
  }
  EXPECT_FALSE(client.is_closed());
  EXPECT_TRUE(RunUntil([&] { return !server_->has_open_calls(); }));
}

// Guards against answers that go to the wrong one of several requests on one
// connection, and against a lost one.
TEST_F(CallerServerTest, AnswersPipelinedRequestsInOrder) {
  RawClient client(server_->port());
  client.Send(Chat("first") + Chat("second") +
              "GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n" + Chat("third"));
  for (const char* body : {"first", "second", "third"}) {
    ASSERT_TRUE(RunUntil([&] { return !events_.empty(); })) << body;
    ASSERT_EQ(events_.size(), 1U);
    const auto request = std::get<CallerRequest>(events_.front());
    events_.clear();
    EXPECT_EQ(request.body, body);
    CallerAnswer answer;
    answer.request = request.id;
    answer.body = "answer to " + request.body;
    server_->Send(answer);
    ASSERT_TRUE(RunUntil([&] { return client.Has(answer.body); }));
  }
  EXPECT_LT(client.received().find("answer to second"),
            client.received().find("ready\n"));
  EXPECT_FALSE(client.is_closed());
  EXPECT_TRUE(RunUntil([&] { return !server_->has_open_calls(); }));
}

// Guards against work for callers that no longer wait and against connections
// that are never freed.
TEST_F(CallerServerTest, ReportsCallersThatLeave) {
  for (const bool is_streaming : {false, true}) {
    for (const bool has_pipelined : {false, true}) {
      SCOPED_TRACE(is_streaming);
      events_.clear();
      auto client = std::make_unique<RawClient>(server_->port());
      client->Send(Chat("x") + (has_pipelined ? Chat("y") : ""));
      ASSERT_TRUE(RunUntil([&] { return Count<CallerRequest>() == 1; }));
      const RequestId id = std::get<CallerRequest>(events_.front()).id;
      if (is_streaming) {
        server_->Send(CallerFragment{id, "token"});
        ASSERT_TRUE(RunUntil([&] { return client->Has("token"); }));
      }
      client.reset();
      ASSERT_TRUE(RunUntil([&] { return Count<CallerGone>() == 1; }));
      EXPECT_EQ(std::get<CallerGone>(events_.back()).id, id);
      ASSERT_TRUE(RunUntil([&] { return server_->connection_count() == 0; }));
      // Too late, and to nobody.
      server_->Send(CallerFragment{id, "late"});
      EXPECT_FALSE(server_->has_open_calls());
      EXPECT_EQ(events_.size(), 2U);
    }
  }
}

// Guards against memory that grows with a caller that does not read, and
// against a bound on the length of the whole stream.
TEST_F(CallerServerTest, DropsCallersThatDoNotRead) {
  limits_.max_unsent_bytes = 1 << 20;
  Open();
  const std::string token(100'000, 't');
  for (const bool is_reading : {true, false}) {
    SCOPED_TRACE(is_reading);
    events_.clear();
    RawClient client(server_->port());
    client.Send(Chat("x"));
    ASSERT_TRUE(RunUntil([&] { return Count<CallerRequest>() == 1; }));
    const RequestId id = std::get<CallerRequest>(events_.front()).id;
    if (!is_reading) {
      client.Pause();
    }
    // 20 MB: more than the bound and the socket's buffers together.
    constexpr size_t kTokens = 200;
    size_t sent = 0;
    RunUntil([&] {
      if (is_reading && client.received().size() < sent * token.size()) {
        return false;
      }
      if (sent < kTokens && Count<CallerGone>() == 0) {
        server_->Send(CallerFragment{id, token});
        ++sent;
        return false;
      }
      return true;
    });
    EXPECT_EQ(Count<CallerGone>(), is_reading ? 0U : 1U);
    if (is_reading) {
      CallerAnswer answer;
      answer.request = id;
      answer.is_stream = true;
      server_->Send(answer);
      EXPECT_TRUE(RunUntil([&] { return client.Has("data: [DONE]"); }));
    } else {
      EXPECT_LT(sent, kTokens);
      EXPECT_TRUE(RunUntil([&] { return server_->connection_count() <= 1; }));
    }
  }
}

// Guards against a caller that keeps a finished answer in memory for ever.
TEST_F(CallerServerTest, ClosesStalledAnswers) {
  limits_.stall_timeout_ms = 50;
  Open();
  RawClient client(server_->port());
  client.Send(Chat("x"));
  ASSERT_TRUE(RunUntil([&] { return Count<CallerRequest>() == 1; }));
  client.Pause();
  CallerAnswer answer;
  answer.request = std::get<CallerRequest>(events_.front()).id;
  answer.body = std::string(16 << 20, 'a');
  server_->Send(answer);
  EXPECT_TRUE(server_->has_open_calls());
  EXPECT_TRUE(RunUntil([&] { return server_->connection_count() == 0; }));
  EXPECT_FALSE(server_->has_open_calls());
}

// Guards against callers that together take all file descriptors.
TEST_F(CallerServerTest, BoundsConnections) {
  limits_.max_connections = 2;
  Open();
  auto first = std::make_unique<RawClient>(server_->port());
  RawClient second(server_->port());
  ASSERT_TRUE(RunUntil([&] { return server_->connection_count() == 2; }));
  RawClient third(server_->port());
  EXPECT_TRUE(RunUntil([&] { return third.is_closed(); }));
  EXPECT_EQ(ErrorOf(third.received()).value("execution", ""), "not_run")
      << third.received();
  first.reset();
  ASSERT_TRUE(RunUntil([&] { return server_->connection_count() == 1; }));
  RawClient fourth(server_->port());
  fourth.Send("HEAD /readyz HTTP/1.1\r\nHost: n\r\n\r\n");
  EXPECT_TRUE(RunUntil([&] { return fourth.Has("\r\n\r\n"); }));
  EXPECT_TRUE(fourth.received().starts_with("HTTP/1.1 200"));
  EXPECT_FALSE(fourth.Has("ready\n"));
}

// Guards against a shutdown that interrupts requests, keeps the address or
// leaves idle connections open.
TEST_F(CallerServerTest, StopsListening) {
  const uint16_t port = server_->port();
  RawClient idle(port);
  RawClient busy(port);
  busy.Send(Chat("x"));
  ASSERT_TRUE(RunUntil([&] {
    return Count<CallerRequest>() == 1 && server_->connection_count() == 2;
  }));
  server_->StopListening();
  EXPECT_TRUE(server_->has_open_calls());
  EXPECT_FALSE(RawClient(port).is_connected());
  auto next = CallerServer::Create("127.0.0.1:" + std::to_string(port), limits_,
                                   CallerServerHandlers());
  EXPECT_TRUE(next.has_value());
  EXPECT_TRUE(RunUntil([&] { return idle.is_closed(); }));
  EXPECT_FALSE(busy.is_closed());
  CallerAnswer answer;
  answer.request = std::get<CallerRequest>(events_.front()).id;
  answer.body = "whole";
  server_->Send(answer);
  EXPECT_TRUE(RunUntil([&] { return busy.is_closed(); }));
  EXPECT_TRUE(busy.received().ends_with("whole"));
  EXPECT_TRUE(RunUntil([&] { return !server_->has_open_calls(); }));
}

// Guards against a shutdown that closes a connection between its accept and the
// first byte of its request.
TEST_F(CallerServerTest, StoppingServesCallersThatHaveJustConnected) {
  RawClient caller(server_->port());
  ASSERT_TRUE(RunUntil([&] { return server_->connection_count() == 1; }));
  server_->StopListening();
  caller.Send("GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n");
  EXPECT_TRUE(
      RunUntil([&] { return caller.Has("HTTP/1.1 ") || caller.is_closed(); }));
  EXPECT_TRUE(caller.Has("HTTP/1.1 ")) << caller.received();
}

// Guards against bytes that are no UTF-8 in answers and against crashes on
// bytes that are no HTTP.
TEST_F(CallerServerTest, SurvivesMalformedBytes) {
  const std::vector<std::string> cases = {
      "\xff\xfe\xfd\r\n\r\n",
      "GET\r\n\r\n",
      "GET /%ff%00 HTTP/1.1\r\nHost: n\r\n\r\n",
      "GET /v1/actions/%ff%fe HTTP/1.1\r\nHost: n\r\n\r\n",
      ("POST /v1/pipelines/%ff HTTP/1.1\r\nHost: n\r\nContent-Length: 1\r\n"
       "\r\n\xff"),
      ("POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\n"
       "Idempotency-Key: \xff\xfe\r\nContent-Length: 0\r\n\r\n"),
      ("POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\n"
       "Content-Length: -5\r\n\r\n"),
      ("POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\n"
       "Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
      "GET /readyz HTTP/9.9\r\n\r\n",
  };
  for (const std::string& bytes : cases) {
    SCOPED_TRACE(bytes);
    events_.clear();
    RawClient client(server_->port());
    client.Send(bytes);
    RunUntil([&] {
      return client.is_closed() || !client.received().empty() ||
             !events_.empty();
    });
    if (!events_.empty()) {
      CallerRefusal refusal;
      refusal.request = RequestId("r" + std::to_string(last_id_));
      refusal.reason = Reason::kBadRequest;
      refusal.execution = Execution::kNotRun;
      refusal.message = "no \xff";
      server_->Send(refusal);
      ASSERT_TRUE(RunUntil([&] { return client.Has("not_run"); }));
    }
    EXPECT_TRUE(client.is_closed() ||
                client.received().starts_with("HTTP/1.1 4"))
        << client.received();
    EXPECT_TRUE(g_utf8_validate(client.received().c_str(), -1, nullptr));
  }
}

}  // namespace
}  // namespace peridotmill
