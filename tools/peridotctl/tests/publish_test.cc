#include <gtest/gtest.h>

#include <sstream>

#include "memory_store.h"
#include "peridotctl/publish_command.h"
#include "peridotctl/read_commands.h"
#include "peridotmill_config/peridotmill_config.h"
#include "peridotmill_net/settings/settings_checker.h"

namespace peridotmill {
namespace {

using Fault = MemoryStore::Fault;

ObjectSet SetWith(const std::string& operator_name) {
  ObjectSet objects;
  Operator person;
  person.name = OperatorId(operator_name);
  person.token_sha256 = std::string(64, 'a');
  objects.operators[person.name] = person;
  return objects;
}

struct Output {
  int code = 0;
  std::string out;
  std::string err;
};

template <typename Command>
Output Capture(const Command& command) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = command(Console{out, err});
  return {code, out.str(), err.str()};
}

Output PublishSet(MemoryStore& store,
                  const std::string& name,
                  std::optional<Revision> base = std::nullopt) {
  PublishOptions options;
  options.author = name;
  options.comment = "add " + name;
  options.base_revision = base;
  options.nonce = Nonce("nonce-" + name);
  options.published_at = 1'700'000'000;
  return Capture([&](const Console& console) {
    return Publish(store.Caller(), SetWith(name), options, console);
  });
}

int64_t HeadRevision(MemoryStore& store) {
  return ReadHead(store.Caller())->head.revision.value();
}

// Guards against a write with a lost answer that is published twice, reported
// as failed although it is in force, or reported as done although it is not.
TEST(PublishTest, FaultsOfTheHeadWrite) {
  struct Case {
    const char* name;
    std::vector<Fault> faults;
    // Another publisher just before and just after the first write.
    bool other_before;
    bool other_after;
    int code;
    int64_t head;
  };
  const std::vector<Case> cases = {
      {"no fault", {}, false, false, kExitOk, 2},
      {"other is first", {}, true, false, kExitConflict, 2},
      {"other follows", {}, false, true, kExitOk, 3},
      {"answer lost", {Fault::kLostAnswer}, false, false, kExitOk, 2},
      {"answer lost, other follows",
       {Fault::kLostAnswer},
       false,
       true,
       kExitOk,
       3},
      {"answer lost, other is first",
       {Fault::kLostAnswer},
       true,
       false,
       kExitConflict,
       2},
      {"request lost", {Fault::kLostRequest}, false, false, kExitOk, 2},
      {"request lost, other follows",
       {Fault::kLostRequest},
       false,
       true,
       kExitConflict,
       2},
      {"not sent", {Fault::kNotSent}, false, false, kExitOk, 2},
      {"request lost, then answer lost",
       {Fault::kLostRequest, Fault::kLostAnswer},
       false,
       false,
       kExitOk,
       2},
      {"never sent", std::vector<Fault>(9, Fault::kNotSent), false, false,
       kExitFailure, 1},
      {"requests lost", std::vector<Fault>(9, Fault::kLostRequest), false,
       false, kExitFailure, 1},
  };
  for (const Case& test : cases) {
    SCOPED_TRACE(test.name);
    MemoryStore store;
    ASSERT_EQ(PublishSet(store, "first").code, kExitOk);
    store.faults = test.faults;
    const auto other = [&store] {
      const auto faults = std::exchange(store.faults, {});
      EXPECT_EQ(PublishSet(store, "other").code, kExitOk);
      store.faults = faults;
    };
    if (test.other_before) {
      store.before_head = other;
    }
    if (test.other_after) {
      store.after_head = other;
    }
    const Output output = PublishSet(store, "second");
    EXPECT_EQ(output.code, test.code) << output.err;
    store.faults.clear();
    EXPECT_EQ(HeadRevision(store), test.head);
    if (test.code == kExitConflict) {
      EXPECT_NE(output.err.find("+ Operator/other\n"), std::string::npos)
          << "must tell what changed";
      EXPECT_NE(output.err.find("- Operator/first\n"), std::string::npos);
    }
  }
}

// Guards against objects made from an old revision that undo a newer one.
TEST(PublishTest, OldBaseIsAConflict) {
  MemoryStore store;
  PublishSet(store, "first");
  PublishSet(store, "other");
  const int txns = store.txns;
  const Output output = PublishSet(store, "second", Revision(1));
  EXPECT_EQ(output.code, kExitConflict);
  EXPECT_NE(output.err.find("+ Operator/other\n"), std::string::npos);
  EXPECT_EQ(store.txns, txns) << "nothing may be written";
  EXPECT_EQ(PublishSet(store, "second", Revision(2)).code, kExitOk);
  EXPECT_EQ(PublishSet(store, "second").out,
            "nothing to publish; revision 3 has the same objects\n");
}

// Guards against transactions above the store's limit at the design size.
TEST(PublishTest, PartsGoInBatches) {
  MemoryStore store;
  ObjectSet objects;
  for (int i = 0; i < 30'000; ++i) {
    Team team;
    team.name = TeamId("team-" + std::to_string(i));
    team.token_sha256 = std::string(64, 'b');
    objects.teams[team.name] = team;
  }
  const Output output = Capture([&](const Console& console) {
    return Publish(store.Caller(), objects, {}, console);
  });
  EXPECT_EQ(output.code, kExitOk) << output.err;
  EXPECT_LE(store.largest_txn, 900'000U);
  const auto head = ReadHead(store.Caller());
  EXPECT_EQ(ReadObjectSet(store.Caller(), head->head)->teams.size(), 30'000U);
  // An edit of one team sends one part.
  objects.teams.begin()->second.share = 2;
  const int before = store.txns;
  Capture([&](const Console& console) {
    return Publish(store.Caller(), objects, {}, console);
  });
  EXPECT_EQ(store.txns - before, 2);
}

TEST(PublishTest, RollbackIsANewRevision) {
  MemoryStore store;
  PublishSet(store, "first");
  PublishSet(store, "second");
  const auto roll_back = [&store](int64_t revision) {
    return Capture([&](const Console& console) {
      PublishOptions options;
      options.nonce = Nonce("rollback");
      return Rollback(store.Caller(), Revision(revision), options, console);
    });
  };
  ASSERT_TRUE(ValidateObjects(SetWith("first"), {}).empty())
      << "the set of this test must pass the checks of a rollback";
  EXPECT_EQ(roll_back(1).code, kExitOk);
  EXPECT_EQ(HeadRevision(store), 3);
  const Output got = Capture([&store](const Console& console) {
    return Get(store.Caller(), std::nullopt, console);
  });
  EXPECT_NE(got.out.find("name: first"), std::string::npos);
  EXPECT_EQ(roll_back(9).code, kExitFailure);
  // Guards against a revision in force whose parts nobody can read.
  const auto second = ReadHistoryEntry(store.Caller(), Revision(2));
  store.Erase(PartKey(second->parts.front().digest));
  EXPECT_EQ(roll_back(2).code, kExitFailure);
  EXPECT_EQ(HeadRevision(store), 3);
}

TEST(PublishTest, ReadCommands) {
  MemoryStore store;
  const auto get = [&store](std::optional<Revision> revision) {
    return Capture([&](const Console& console) {
      return Get(store.Caller(), revision, console);
    });
  };
  EXPECT_EQ(get(std::nullopt).code, kExitFailure) << "nothing is published";
  PublishSet(store, "first");
  PublishSet(store, "second");
  EXPECT_NE(get(Revision(1)).out.find("name: first"), std::string::npos);
  EXPECT_NE(get(std::nullopt).out.find("name: second"), std::string::npos);
  const Output plan = Capture([&store](const Console& console) {
    return Plan(store.Caller(), SetWith("third"), console);
  });
  EXPECT_EQ(plan.out,
            "2 changes against revision 2\n- Operator/second\n"
            "+ Operator/third\n");
  const auto history = [&store](int64_t count) {
    return Capture([&](const Console& console) {
      return History(store.Caller(), count, console);
    });
  };
  EXPECT_EQ(history(1).out,
            "2  2023-11-14T22:13:20Z  second  nonce-second  add second\n");
  EXPECT_NE(history(20).out.find("\n1  "), std::string::npos);
  store.is_down = true;
  EXPECT_EQ(get(std::nullopt).code, kExitFailure);
  EXPECT_EQ(history(1).code, kExitFailure);
  EXPECT_EQ(PublishSet(store, "third").code, kExitFailure);
}

}  // namespace
}  // namespace peridotmill
