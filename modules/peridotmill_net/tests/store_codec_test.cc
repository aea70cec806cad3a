#include "peridotmill_net/store/store_codec.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <vector>

namespace peridotmill {
namespace {

using nlohmann::json;

TEST(StoreCodecTest, EncodesRequestsOfTheGateway) {
  struct Case {
    StoreRequest request;
    const char* path;
    const char* body;
  };
  const std::vector<Case> cases = {
      {StoreRange{"a", "b", 5}, "/v3/kv/range",
       R"({"key":"YQ==","range_end":"Yg==","limit":"5"})"},
      {StoreTxn{{{"a", StoreCompare::Target::kCreateRevision, 0},
                 {"b", StoreCompare::Target::kModRevision, 4}},
                {{"a", std::string("\0\xff", 2), 9}},
                {{"b", ""}}},
       "/v3/kv/txn",
       R"({"compare":[{"key":"YQ==","target":"CREATE","result":"EQUAL",
             "create_revision":"0"},
            {"key":"Yg==","target":"MOD","result":"EQUAL","mod_revision":"4"}],
           "success":[
             {"request_put":{"key":"YQ==","value":"AP8=","lease":"9"}},
             {"request_delete_range":{"key":"Yg=="}}],
           "failure":[{"request_range":{"key":"YQ=="}},
             {"request_range":{"key":"Yg=="}}]})"},
      {StoreLeaseGrant{12}, "/v3/lease/grant", R"({"TTL":"12"})"},
      {StoreLeaseKeepAlive{77}, "/v3/lease/keepalive", R"({"ID":"77"})"},
      {StoreWatch{"a", "b", 41}, "/v3/watch",
       R"({"create_request":{"key":"YQ==","range_end":"Yg==",
           "start_revision":"42"}})"},
  };
  for (const Case& c : cases) {
    const StoreHttpRequest encoded = EncodeStoreRequest(c.request);
    EXPECT_EQ(encoded.path, c.path);
    EXPECT_EQ(json::parse(encoded.body), json::parse(c.body));
  }
}

TEST(StoreCodecTest, DecodesAnswers) {
  const auto range = DecodeStoreAnswer(
      StoreRange{"a", "", 0},
      R"({"header":{"revision":"5"},"kvs":[{"key":"YQ==","value":"AP8=",)"
      R"("create_revision":"2","mod_revision":4}]})");
  ASSERT_TRUE(range);
  EXPECT_EQ(range->store_revision, 5);
  ASSERT_EQ(range->entries.size(), 1U);
  EXPECT_EQ(range->entries[0].value, std::string("\0\xff", 2));
  EXPECT_EQ(range->entries[0].mod_revision, 4);

  const auto grant = DecodeStoreAnswer(
      StoreLeaseGrant{10}, R"({"header":{"revision":"5"},"ID":"8","TTL":"9"})");
  ASSERT_TRUE(grant);
  EXPECT_EQ(grant->lease, 8);
  EXPECT_EQ(grant->ttl_seconds, 9);
}

// Guards against a holder that goes on after its lease has lapsed.
TEST(StoreCodecTest, LapsedLeaseIsConflict) {
  const auto lapsed =
      DecodeStoreAnswer(StoreLeaseKeepAlive{8},
                        R"({"result":{"header":{"revision":"5"},"ID":"8"}})");
  ASSERT_TRUE(lapsed);
  EXPECT_EQ(lapsed->status, StoreStatus::kConflict);
  EXPECT_EQ(lapsed->ttl_seconds, 0);
}

// Guards against a damaged answer that passes for a decision: above all, a
// damaged txn answer must not look like a lost comparison.
TEST(StoreCodecTest, RefusesDamagedAnswers) {
  const StoreRequest range = StoreRange{"a", "", 0};
  const StoreRequest txn =
      StoreTxn{{{"a", StoreCompare::Target::kModRevision, 1}}, {}, {}};
  const StoreRequest grant = StoreLeaseGrant{5};
  const StoreRequest keep_alive = StoreLeaseKeepAlive{8};
  struct Case {
    const char* name;
    StoreRequest request;
    const char* body;
  };
  const std::vector<Case> cases = {
      {"empty", range, ""},
      {"cut", range, R"({"header":{"revision":"5"},"kvs":[{"key")"},
      {"not an object", range, "[]"},
      {"no header", range, R"({"kvs":[]})"},
      {"header without revision", range, R"({"header":{}})"},
      {"revision of wrong type", range, R"({"header":{"revision":true}})"},
      {"revision is no number", range, R"({"header":{"revision":"5x"}})"},
      {"revision overflows", range,
       R"({"header":{"revision":"99999999999999999999"}})"},
      {"kvs of wrong type", range, R"({"header":{"revision":"5"},"kvs":"a"})"},
      {"entry of wrong type", range,
       R"({"header":{"revision":"5"},"kvs":[1]})"},
      {"entry without revision", range,
       R"({"header":{"revision":"5"},"kvs":[{"key":"YQ=="}]})"},
      {"key is not base64", range,
       R"({"header":{"revision":"5"},"kvs":[{"key":"Y*","mod_revision":"1"}]})"},
      {"value of wrong type", range,
       R"({"header":{"revision":"5"},"kvs":[{"key":"YQ==","value":1,)"
       R"("mod_revision":"1"}]})"},
      {"txn: empty object", txn, "{}"},
      {"txn: neither success nor reads", txn, R"({"header":{"revision":"5"}})"},
      {"txn: too few reads", txn,
       R"({"header":{"revision":"5"},"responses":[]})"},
      {"txn: puts instead of reads", txn,
       R"({"header":{"revision":"5"},"responses":[{"response_put":{}}]})"},
      {"txn: success of wrong type", txn,
       R"({"header":{"revision":"5"},"succeeded":"true"})"},
      {"grant: no lease", grant, R"({"header":{"revision":"5"},"TTL":"5"})"},
      {"grant: no time", grant, R"({"header":{"revision":"5"},"ID":"5"})"},
      {"keepalive: other lease", keep_alive,
       R"({"result":{"header":{"revision":"5"},"ID":"9","TTL":"5"}})"},
      {"keepalive: error", keep_alive, R"({"error":{"message":"x"}})"},
      {"watch read at once", StoreWatch{"a"}, R"({"header":{"revision":"5"}})"},
  };
  for (const Case& c : cases) {
    const auto answer = DecodeStoreAnswer(c.request, c.body);
    ASSERT_FALSE(answer) << c.name;
    EXPECT_EQ(answer.error(), Error::kMalformed) << c.name;
  }
}

TEST(StoreCodecTest, ReadsWatchLines) {
  const auto deleted = DecodeWatchLine(
      R"({"result":{"header":{"revision":"6"},"events":[{"type":"DELETE",)"
      R"("kv":{"key":"YQ==","mod_revision":"6"}}]}})");
  ASSERT_TRUE(deleted && deleted->has_value());
  EXPECT_EQ((*deleted)->entries.at(0).create_revision, 0);
  const auto created = DecodeWatchLine(
      R"({"result":{"header":{"revision":"6"},"created":true}})");
  ASSERT_TRUE(created);
  EXPECT_FALSE(created->has_value());

  for (const char* line :
       {"", "{}", "[]", "null", R"({"result":1})", R"({"error":{}})",
        R"({"result":{"header":{"revision":"6"},"events":1}})",
        R"({"result":{"header":{"revision":"6"},"events":[{}]}})",
        R"({"result":{"header":{"revision":"6"},"canceled":true}})"}) {
    EXPECT_FALSE(DecodeWatchLine(line)) << line;
  }
}

}  // namespace
}  // namespace peridotmill
