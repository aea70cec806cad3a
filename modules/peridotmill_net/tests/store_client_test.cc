#include "peridotmill_net/store/store_client.h"

#include <gtest/gtest.h>

#include <optional>

#include "main_loop.h"
#include "scripted_server.h"

namespace peridotmill {
namespace {

using std::chrono::milliseconds;
using Script = ScriptedServer::Script;

constexpr Duration kLong = std::chrono::seconds(60);
constexpr Duration kShort = milliseconds(50);

StoreRequest Txn() {
  return StoreTxn{
      {{"k", StoreCompare::Target::kCreateRevision, 0}}, {{"k", "v"}}, {}};
}

// An address on which nothing listens.
std::string ClosedAddress() {
  const auto listening = BindListenSocket("127.0.0.1:0");
  std::string address = "127.0.0.1:" + std::to_string(listening->port);
  g_socket_listener_close(G_SOCKET_LISTENER(listening->service.get()));
  return address;
}

std::optional<StoreAnswer> CallOnce(const std::vector<std::string>& addresses,
                                    const StoreRequest& request,
                                    Duration timeout) {
  auto client = StoreClient::Create(addresses).value();
  std::optional<StoreAnswer> received;
  client->Call(request, timeout,
               [&received](const StoreAnswer& answer) { received = answer; });
  EXPECT_FALSE(received) << "answered within Call";
  RunUntil([&received] { return received.has_value(); });
  EXPECT_EQ(client->open_calls(), 0U);
  return received;
}

std::string Chunked(const std::string& chunks) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
}

struct FaultCase {
  std::string name;
  Script script;
  Duration timeout;
  StoreStatus of_write;
};

std::vector<FaultCase> FaultCases() {
  using enum StoreStatus;
  const std::string ok = R"({"header":{"revision":"7"},"succeeded":true})";
  return {
      {"late", {"", false}, kShort, kUnknown},
      {"late body",
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", false},
       kShort,
       kUnknown},
      {"closed without an answer", {""}, kLong, kUnknown},
      {"cut in the status line", {"HTTP/1.1 2"}, kLong, kUnknown},
      {"cut in the body",
       {"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + ok},
       kLong,
       kUnknown},
      {"cut between chunks",
       {Chunked(ScriptedServer::Chunk(ok.substr(0, ok.size() - 1)))},
       kLong,
       kUnknown},
      {"cut within a chunk",
       {Chunked("30\r\n" + ok.substr(0, 40))},
       kLong,
       kUnknown},
      {"malformed status line", {"nonsense\r\n\r\n"}, kLong, kUnknown},
      {"malformed body",
       {ScriptedServer::Response("{nonsense")},
       kLong,
       kUnknown},
      {"empty body", {ScriptedServer::Response("")}, kLong, kUnknown},
      {"empty object", {ScriptedServer::Response("{}")}, kLong, kUnknown},
      {"too large",
       {ScriptedServer::Response(std::string(kMaxStoreAnswer + 1, ' '))},
       kLong,
       kUnknown},
      {"wrong types",
       {ScriptedServer::Response(R"({"header":[],"succeeded":"yes"})")},
       kLong,
       kUnknown},
      {"server fault",
       {ScriptedServer::Response("{}", "503 Service Unavailable")},
       kLong,
       kUnknown},
      {"rate limit",
       {ScriptedServer::Response("{}", "429 Too Many Requests")},
       kLong,
       kUnavailable},
      {"redirect",
       {ScriptedServer::Response("", "307 Temporary Redirect")},
       kLong,
       kUnknown},
  };
}

// Guards against a write that took effect being reported as not run, and
// against a hanging call.
TEST(StoreClientTest, AnswerThatCannotBeUsed) {
  for (const FaultCase& fault : FaultCases()) {
    SCOPED_TRACE(fault.name);
    ScriptedServer server(fault.script);
    const auto write = CallOnce({server.address()}, Txn(), fault.timeout);
    ASSERT_TRUE(write);
    EXPECT_EQ(write->status, fault.of_write);
    const auto grant =
        CallOnce({server.address()}, StoreLeaseGrant{5}, fault.timeout);
    ASSERT_TRUE(grant);
    EXPECT_EQ(grant->status, fault.of_write);
    EXPECT_EQ(server.requests().size(), 2U) << "a write was repeated";
    if (fault.name == "malformed body" || fault.name == "too large" ||
        fault.timeout == kShort || fault.name.starts_with("cut")) {
      const auto read =
          CallOnce({server.address()}, StoreRange{"k", "", 0}, fault.timeout);
      ASSERT_TRUE(read);
      EXPECT_EQ(read->status, StoreStatus::kUnavailable);
    }
  }
}

// libsoup does not report a missing last chunk. A JSON object cannot continue
// after its closing brace, so the answer is complete and no claim need be in
// doubt.
TEST(StoreClientTest, CompleteObjectCountsWithoutLastChunk) {
  ScriptedServer server({Chunked(ScriptedServer::Chunk(
      R"({"header":{"revision":"7"},"succeeded":true})"))});
  const auto answer = CallOnce({server.address()}, Txn(), kLong);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, StoreStatus::kOk);
}

// Guards against claims left in doubt although nothing was sent.
TEST(StoreClientTest, RefusedConnectionIsUnavailable) {
  for (const StoreRequest& request :
       {Txn(), StoreRequest(StoreRange{"k", "", 0}),
        StoreRequest(StoreLeaseGrant{5}), StoreRequest(StoreWatch{"k"})}) {
    const auto answer = CallOnce({ClosedAddress()}, request, kLong);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, StoreStatus::kUnavailable);
  }
}

// Guards against an outage while one of the store's servers is down.
TEST(StoreClientTest, UnsentRequestGoesToNextServer) {
  ScriptedServer server({ScriptedServer::Response(
      R"({"header":{"revision":"7"},"succeeded":true})")});
  const auto answer =
      CallOnce({ClosedAddress(), server.address()}, Txn(), kLong);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, StoreStatus::kOk);
  EXPECT_EQ(answer->store_revision, 7);
}

TEST(StoreClientTest, LostComparisonGivesCurrentEntries) {
  ScriptedServer server({ScriptedServer::Response(
      R"({"header":{"revision":"9"},"responses":[{"response_range":{"kvs":[)"
      R"({"key":"aw==","value":"dw==","create_revision":"3",)"
      R"("mod_revision":"8"}]}}]})")});
  const auto answer = CallOnce({server.address()}, Txn(), kLong);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, StoreStatus::kConflict);
  ASSERT_EQ(answer->entries.size(), 1U);
  EXPECT_EQ(answer->entries[0].value, "w");
  EXPECT_EQ(answer->entries[0].mod_revision, 8);
}

// Guards against a watch that ends at its confirmation, or that waits for the
// end of a stream that has no end.
TEST(StoreClientTest, WatchEndsAtFirstChange) {
  const std::string created =
      R"({"result":{"header":{"revision":"7"},"created":true}})"
      "\n";
  const std::string event =
      R"({"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"aw==",)"
      R"("value":"dw==","create_revision":"3","mod_revision":"8"}}]}})"
      "\n";
  ScriptedServer server({Chunked(ScriptedServer::Chunk(created) +
                                 ScriptedServer::Chunk(event.substr(0, 40)) +
                                 ScriptedServer::Chunk(event.substr(40))),
                         false});
  const auto answer = CallOnce({server.address()}, StoreWatch{"k"}, kLong);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, StoreStatus::kOk);
  EXPECT_EQ(answer->store_revision, 8);
  ASSERT_EQ(answer->entries.size(), 1U);
  EXPECT_EQ(answer->entries[0].value, "w");

  ScriptedServer quiet({Chunked(ScriptedServer::Chunk(created)), false});
  const auto none = CallOnce({quiet.address()}, StoreWatch{"k"}, kShort);
  ASSERT_TRUE(none);
  EXPECT_EQ(none->status, StoreStatus::kUnavailable);
}

// Guards against callbacks into an owner that is gone.
TEST(StoreClientTest, DestructionCancelsOpenCalls) {
  ScriptedServer server({"", false});
  bool called = false;
  {
    auto client = StoreClient::Create({server.address()}).value();
    client->Call(Txn(), kLong,
                 [&called](const StoreAnswer&) { called = true; });
    RunUntil([&server] { return !server.requests().empty(); });
    client->Call(Txn(), kLong,
                 [&called](const StoreAnswer&) { called = true; });
    EXPECT_EQ(client->open_calls(), 2U);
  }
  RunPending();
  EXPECT_FALSE(called);
}

TEST(StoreClientTest, RefusesUnusableAddresses) {
  for (const char* address : {"", "host", "host:0", "host:x", ":1", "h:1/x"}) {
    EXPECT_FALSE(StoreClient::Create({address})) << address;
  }
  EXPECT_FALSE(StoreClient::Create({}));
  EXPECT_TRUE(StoreClient::Create({"127.0.0.1:2379"}));
}

}  // namespace
}  // namespace peridotmill
