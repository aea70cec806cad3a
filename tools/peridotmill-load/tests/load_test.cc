#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>

#include "standins/peridotmill-standin/logic/prompt.h"
#include "tools/peridotmill-load/checking/answer_check.h"
#include "tools/peridotmill-load/client/stream_reader.h"
#include "tools/peridotmill-load/mix/schedule.h"
#include "tools/peridotmill-load/report/report.h"

namespace peridotmill::load {
namespace {

using std::chrono::milliseconds;

Mix ActionMix() {
  Mix mix;
  mix.rate_per_second = 100;
  mix.duration = milliseconds(20000);
  RequestClass booking;
  booking.name = "booking";
  booking.form = RequestForm::kAction;
  booking.repeat_probability = 0.5;
  booking.domain = "b";
  mix.classes = {booking};
  return mix;
}

const std::vector<Entry> kEntries = {{"a", "u1"}, {"b", "u2"}, {"b", "u3"}};

std::string Token(const std::string& marker, int64_t index) {
  return standin::OutputToken(standin::OutputSeed("[m=" + marker + "]"), index);
}

// Guards against a run that cannot be repeated, or a load off its rate.
TEST(ScheduleTest, SeedAndRateDecideTheArrivals) {
  Mix mix = ActionMix();
  mix.classes[0].repeat_probability = 0;
  const auto first = MakeSchedule(mix, kEntries, Placement::kRoundRobin);
  const auto second = MakeSchedule(mix, kEntries, Placement::kRoundRobin);
  ASSERT_EQ(first.size(), second.size());
  EXPECT_EQ(first.back().marker, second.back().marker);
  // 2000 expected, standard deviation 45.
  EXPECT_NEAR(static_cast<double>(first.size()), 2000, 200);
  mix.bursts = {{milliseconds(0), milliseconds(10000), 3}};
  const auto burst = MakeSchedule(mix, kEntries, Placement::kRoundRobin);
  EXPECT_NEAR(static_cast<double>(burst.size()), 4000, 300);
}

// Guards against repeats that are a new action or go to the same node.
TEST(ScheduleTest, RepeatsCarryTheSameActionToAnotherNode) {
  const auto schedule = MakeSchedule(ActionMix(), kEntries, Placement::kSticky);
  std::map<std::string, const Planned*> first;
  int repeats = 0;
  for (const Planned& planned : schedule) {
    if (!planned.is_repeat) {
      EXPECT_EQ(kEntries[planned.entry].domain, "b");
      first[planned.key] = &planned;
      continue;
    }
    ++repeats;
    const Planned& original = *first.at(planned.key);
    EXPECT_EQ(planned.prompt, original.prompt);
    EXPECT_NE(planned.entry, original.entry);
  }
  EXPECT_GT(repeats, 500);
}

// Guards against wrong answers that pass the check.
TEST(AnswerCheckTest, WrongAnswersAreFound) {
  struct Case {
    const char* name;
    std::string body;
    bool is_own;
    bool is_foreign;
    bool is_broken;
  };
  const auto text = [](const std::string& words) {
    return nlohmann::json{{"content", words}}.dump();
  };
  const Case cases[] = {
      {"complete", text(Token("m", 0) + Token("m", 1)), true, false, false},
      {"lost token", text(Token("m", 1)), true, false, true},
      {"repeated token", text(Token("m", 0) + Token("m", 0) + Token("m", 1)),
       true, false, true},
      {"swapped", text(Token("m", 1) + Token("m", 0)), true, false, true},
      {"short", text(Token("m", 0)), true, false, true},
      {"long", text(Token("m", 0) + Token("m", 1) + Token("m", 2)), true, false,
       true},
      {"foreign token", text(Token("m", 0) + Token("n", 1)), true, true, false},
      {"own marker", R"({"result":{"markers":["[m=m]"]}})", true, false, false},
      {"foreign marker", R"({"a":["[m=m]","[m=n]"]})", true, true, false},
      {"no evidence", R"({"result":{}})", false, false, false},
      {"malformed", R"({"result")", false, false, true},
  };
  for (const Case& test_case : cases) {
    const AnswerCheck check = CheckAnswer(test_case.body, "m", 2);
    EXPECT_EQ(check.is_own, test_case.is_own) << test_case.name;
    EXPECT_EQ(check.is_foreign, test_case.is_foreign) << test_case.name;
    EXPECT_EQ(check.is_broken, test_case.is_broken) << test_case.name;
  }
}

std::string Event(const std::string& content, const char* finish) {
  nlohmann::json choice = {{"delta", {{"content", content}}},
                           {"finish_reason", nullptr}};
  if (finish != nullptr) {
    choice["finish_reason"] = finish;
  }
  return "data: " +
         nlohmann::json{{"choices", nlohmann::json::array({choice})}}.dump() +
         "\n\n";
}

// Guards against cut streams and error events that count as answers.
TEST(StreamReaderTest, EndsOfStreamsAreTold) {
  const std::string token = Event(Token("m", 0), nullptr);
  const std::string stop = Event("", "stop");
  struct Case {
    const char* name;
    std::string bytes;
    Ending ending;
    bool is_broken;
  };
  const Case cases[] = {
      {"complete", token + stop + "data: [DONE]\n\n", Ending::kAnswered, false},
      {"no end", token + stop, Ending::kBroken, false},
      {"no stop", token + "data: [DONE]\n\n", Ending::kAnswered, true},
      {"lost token", stop + "data: [DONE]\n\n", Ending::kAnswered, true},
      {"error event",
       token + "data: {\"error\":{\"code\":\"stage_failed\",\"execution\":"
               "\"ran\"}}\n\ndata: [DONE]\n\n",
       Ending::kRefused, true},
  };
  for (const Case& test_case : cases) {
    Outcome outcome;
    outcome.ending = Ending::kAnswered;
    StreamReader reader;
    // Byte by byte, since events may be split anywhere.
    for (const char byte : test_case.bytes) {
      reader.Read(std::string_view(&byte, 1), milliseconds(5), outcome);
    }
    reader.Finish("m", 1, outcome);
    EXPECT_EQ(outcome.ending, test_case.ending) << test_case.name;
    EXPECT_EQ(outcome.check.is_broken, test_case.is_broken) << test_case.name;
  }
}

Planned Request(const std::string& marker, const std::string& key) {
  Planned planned;
  planned.marker = marker;
  planned.key = key;
  return planned;
}

Outcome Refused(const std::string& execution) {
  Outcome outcome;
  outcome.ending = Ending::kRefused;
  outcome.code = "queue_full";
  outcome.execution = execution;
  return outcome;
}

Outcome Answered(const std::string& executions, milliseconds total) {
  Outcome outcome;
  outcome.ending = Ending::kAnswered;
  outcome.total = total;
  outcome.check.is_own = true;
  outcome.check.executions = executions;
  return outcome;
}

// Guards against broken promises that the report does not show, and against
// lawful repeats that it reports.
TEST(ReportTest, DuplicatesAndFalseRefusalsAreCounted) {
  const Mix mix = ActionMix();
  const std::vector<Planned> schedule = {
      Request("m1", "k1"), Request("m2", "k2"), Request("m2", "k2"),
      Request("m3", "k3"), Request("m4", "k4"), Request("m4", "k4")};
  const std::vector<Outcome> outcomes = {Refused("not_run"),
                                         Answered("e:1 ", milliseconds(10)),
                                         Refused("not_run"),
                                         Refused("unknown"),
                                         Answered("e:2 ", milliseconds(5000)),
                                         Answered("e:3 ", milliseconds(10))};
  Report report = MakeReport(mix, schedule, outcomes);
  StandInRuns runs;
  ASSERT_TRUE(AddRunsJson(
      R"({"runs":{"p /call k2":1,"p /call k4":2,"p /call of-another-run":9}})",
      R"({"markers":{"m1":1,"m2":1,"m3":1}})", runs));
  AddRuns(schedule, outcomes, runs, report);
  EXPECT_EQ(report.duplicates, 1);
  EXPECT_EQ(report.false_not_run, 1);
  EXPECT_EQ(report.key_mismatches, 1);
  EXPECT_EQ(report.total.offered, 6);
  EXPECT_EQ(report.total.on_time, 2);
  EXPECT_EQ(report.total.late, 1);
  EXPECT_EQ(report.total.not_run, 2);
  EXPECT_EQ(report.total.refusals_by_reason.at("queue_full"), 3);
  EXPECT_NE(LineText(report).find("LOAD offered=6 on_time=2 "),
            std::string::npos);
}

TEST(ReportTest, PercentilesAreOfTheSamples) {
  EXPECT_EQ(Percentile({}, 0.5), 0);
  EXPECT_EQ(Percentile({3, 1, 2}, 0.5), 2);
  EXPECT_EQ(Percentile({3, 1, 2}, 0.95), 3);
}

}  // namespace
}  // namespace peridotmill::load
