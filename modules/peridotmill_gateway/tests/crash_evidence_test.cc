#include "peridotmill_gateway/quarantine/crash_evidence.h"

#include <gtest/gtest.h>

#include <string>

#include "peridotmill_gateway/quarantine/quarantine_entry.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const SuspectId kCommon(1);
const SuspectId kCulprit(2);
const SuspectId kOther(3);
constexpr TimePoint kStart = TimePoint(1h);
constexpr TimePoint kEnd = TimePoint(2h);

bool Nothing(SuspectId) {
  return false;
}

// Crash of the endpoint `id` whose requests had `parts`, each with this many
// answers before.
SuspectedCrash MakeCrash(const std::string& id,
                         TimePoint at,
                         const std::vector<SuspectId>& parts,
                         const std::vector<uint32_t>& successes = {}) {
  SuspectedCrash crash;
  crash.incarnation = {EndpointId(id), 1};
  for (size_t i = 0; i < parts.size(); ++i) {
    crash.suspects.push_back(
        {.id = parts[i],
         .at = at,
         .successes = i < successes.size() ? successes[i] : 0,
         .position = static_cast<uint32_t>(i)});
  }
  return crash;
}

// Guards against blaming the parts that crashing requests share with sound
// ones.
TEST(CrashEvidenceTest, BlamesThePartThatIsNeverAnswered) {
  CrashEvidence evidence;
  for (int i = 0; i < 3; ++i) {
    AddCrash(evidence, MakeCrash("e" + std::to_string(i), kStart + i * 1s,
                                 {kCommon, kCulprit}));
    AddSuccess(evidence, kCommon, kStart + i * 1s + 500ms);
  }
  EXPECT_EQ(FindCulprit(evidence, kEnd, Nothing), kCulprit);
}

// Guards against blaming a common part in a burst of crashes that leaves no
// time for a success in between.
TEST(CrashEvidenceTest, DoesNotBlameACommonPartWithoutASuccessInBetween) {
  CrashEvidence evidence;
  for (int i = 0; i < 3; ++i) {
    AddCrash(evidence, MakeCrash("e" + std::to_string(i), kStart + i * 300ms,
                                 {kCulprit, kCommon}, {0, 40}));
  }
  // The common part was at one more engine that failed.
  AddCrash(evidence, MakeCrash("e9", kStart + 2s, {kCommon}, {40}));
  ASSERT_EQ(FindCulprit(evidence, kEnd, Nothing), kCulprit);
  EXPECT_FALSE(FindCulprit(evidence, kEnd,
                           [](SuspectId part) { return part == kCulprit; }));
}

// Guards against blaming a prompt for the failure of a host or failure domain.
TEST(CrashEvidenceTest, CrashesAtTheSameTimeAreOneIncident) {
  CrashEvidence evidence;
  for (int i = 0; i < 30; ++i) {
    AddCrash(evidence, MakeCrash("e" + std::to_string(i), kStart + i * 1ms,
                                 {kCommon, kOther}));
  }
  EXPECT_FALSE(FindCulprit(evidence, kEnd, Nothing));
}

// Guards against blaming a prompt for an endpoint that breaks off single
// responses.
TEST(CrashEvidenceTest, AnEndpointProcessCrashesOnce) {
  CrashEvidence evidence;
  for (int i = 0; i < 9; ++i) {
    AddCrash(evidence,
             MakeCrash("e" + std::to_string(i % 2), kStart + i * 1s, {kOther}));
  }
  EXPECT_FALSE(FindCulprit(evidence, kEnd, Nothing));
}

// Guards against blaming a common part when engines fail one after the other.
TEST(CrashEvidenceTest, APartThatWasAnsweredNeedsMoreIncidents) {
  CrashEvidence evidence;
  for (int i = 0; i < 5; ++i) {
    EXPECT_FALSE(FindCulprit(evidence, kEnd, Nothing));
    AddCrash(evidence, MakeCrash("e" + std::to_string(i), kStart + i * 100ms,
                                 {kCommon}, {kEstablishedSuccesses}));
  }
  EXPECT_EQ(FindCulprit(evidence, kEnd, Nothing), kCommon);
}

// Guards against blaming a part before the report arrives that names the
// culprit.
TEST(CrashEvidenceTest, ACrashCountsAfterAllReportsHaveArrived) {
  CrashEvidence evidence;
  for (int i = 0; i < 3; ++i) {
    AddCrash(evidence,
             MakeCrash("e" + std::to_string(i), kStart + i * 100ms, {kOther}));
  }
  EXPECT_FALSE(FindCulprit(evidence, kStart + 199ms, Nothing));
  EXPECT_EQ(FirstCrashAfter(evidence, kStart + 199ms), kStart + 200ms);
  EXPECT_EQ(FindCulprit(evidence, kStart + 200ms, Nothing), kOther);
  EXPECT_FALSE(FirstCrashAfter(evidence, kStart + 200ms));
}

// Guards against suspicions that survive an answer, or that a late report of an
// earlier crash restores.
TEST(CrashEvidenceTest, ASuccessRefutesEarlierCrashes) {
  CrashEvidence evidence;
  for (int i = 0; i < 2; ++i) {
    AddCrash(evidence,
             MakeCrash("e" + std::to_string(i), kStart + i * 1s, {kOther}));
  }
  EXPECT_TRUE(AddSuccess(evidence, kOther, kStart + 5s));
  EXPECT_FALSE(AddSuccess(evidence, kOther, kStart + 6s));
  EXPECT_TRUE(
      AddCrash(evidence, MakeCrash("e2", kStart + 2s, {kOther})).empty());
  EXPECT_EQ(CountIncidents(evidence, kOther, Nothing), 0);
  EXPECT_EQ(AddCrash(evidence, MakeCrash("e3", kStart + 7s, {kOther})).size(),
            1u);
}

// Guards against unbounded memory.
TEST(CrashEvidenceTest, KeepsItsSizesBounded) {
  CrashEvidence evidence;
  uint64_t next_part = 100;
  for (int i = 0; i < 1000; ++i) {
    std::vector<SuspectId> parts;
    for (int j = 0; j < 100; ++j) {
      parts.emplace_back(++next_part);
      AddSuccess(evidence, SuspectId(++next_part), kStart);
    }
    AddCrash(evidence,
             MakeCrash("e" + std::to_string(i), kStart + i * 1s, parts));
  }
  EXPECT_EQ(evidence.crashes.size(), kMaxCrashes);
  EXPECT_EQ(evidence.crashes.back().suspects.size(), kMaxSuspectsPerCrash);
  EXPECT_LE(evidence.successes.size() + evidence.older_successes.size(),
            kMaxSuccesses);
  EXPECT_EQ(evidence.crash_counts.size(), kMaxCrashes * kMaxSuspectsPerCrash);
  ExpireEvidence(evidence, kStart + 1h);
  EXPECT_TRUE(evidence.crashes.empty());
  EXPECT_TRUE(evidence.crash_counts.empty());
}

// Guards against a retry that crashes a second endpoint within the time of one
// incident and is taken for the failure of a host.
TEST(CrashEvidenceTest, AnAttemptAfterACrashIsAnotherIncident) {
  for (const bool is_retry : {true, false}) {
    SCOPED_TRACE(is_retry);
    CrashEvidence evidence;
    for (int i = 0; i < 3; ++i) {
      const TimePoint at = kStart + i * 15ms;
      SuspectedCrash crash = MakeCrash("e" + std::to_string(i), at, {});
      crash.suspects.push_back(
          {.id = kCulprit,
           .at = at,
           .position = kRequestPosition,
           .attempt_started_at = is_retry ? at - 10ms : kStart - 1s});
      AddCrash(evidence, crash);
    }
    EXPECT_EQ(CountIncidents(evidence, kCulprit, Nothing), is_retry ? 3 : 1);
    EXPECT_EQ(FindCulprit(evidence, kEnd, Nothing),
              is_retry ? std::optional(kCulprit) : std::nullopt);
  }
}

// Guards against blaming the sound parts of a prompt that crashes engines, and
// against a blamed request that hides a part which crashes engines under
// others.
TEST(CrashEvidenceTest, ARequestIsBlamedBeforeItsParts) {
  CrashEvidence evidence;
  const auto add_crash = [&](int i, SuspectId request) {
    const TimePoint at = kStart + i * 1s;
    SuspectedCrash crash = MakeCrash("e" + std::to_string(i), at, {kOther});
    crash.suspects.push_back(
        {.id = request, .at = at, .position = kRequestPosition});
    AddCrash(evidence, crash);
  };
  for (int i = 0; i < 3; ++i) {
    add_crash(i, kCulprit);
  }
  EXPECT_EQ(FindCulprit(evidence, kEnd, Nothing), kCulprit);
  const auto is_culprit = [](SuspectId id) { return id == kCulprit; };
  EXPECT_FALSE(FindCulprit(evidence, kEnd, is_culprit));
  EXPECT_EQ(CountIncidents(evidence, kOther, is_culprit), 0);
  add_crash(3, SuspectId(77));
  EXPECT_EQ(FindCulprit(evidence, kEnd, is_culprit), kOther);
}

// Guards against probes that come as often after the third probe as after the
// first, and against more probes than all nodes may make.
TEST(QuarantineEntryTest, EachProbeLengthensTheTimeAndTheLastOneEndsThem) {
  QuarantineEntries quarantines;
  TimePoint crash = kStart;
  Duration expected = kFirstQuarantine;
  for (int i = 0; i <= kMaxProbes; ++i) {
    Quarantine(quarantines, kCulprit, crash);
    QuarantineEntry& entry = *FindQuarantine(quarantines, kCulprit);
    EXPECT_EQ(entry.until - crash, expected);
    // A request that was sent before the quarantine began is no probe.
    Quarantine(quarantines, kCulprit, crash + 1s);
    EXPECT_EQ(entry.until - crash, expected + 1s);
    EXPECT_EQ(TimeUntilProbe(entry, entry.until),
              i < kMaxProbes ? Duration::zero() : Duration(kMaxQuarantine));
    entry.probes = i + 1;
    crash = entry.until + 1s;
    expected = std::min<Duration>(4 * expected, kMaxQuarantine);
  }
  EXPECT_EQ(expected, kMaxQuarantine);
}

// Guards against several probes at a time, and against waiting without limit
// for a probe whose caller has gone.
TEST(QuarantineEntryTest, OneRequestAtATimeIsTheProbe) {
  QuarantineEntries quarantines;
  Quarantine(quarantines, kCulprit, kStart);
  QuarantineEntry& entry = *FindQuarantine(quarantines, kCulprit);
  const TimePoint end = kStart + kFirstQuarantine;
  EXPECT_EQ(TimeUntilProbe(entry, end - 4s), 4s);
  EXPECT_EQ(TimeUntilProbe(entry, end), 0s);
  entry.probe = RequestId("a");
  entry.probe_until = end + kProbeLimit;
  EXPECT_EQ(TimeUntilProbe(entry, end), kProbeLimit);
  EXPECT_EQ(TimeUntilProbe(entry, end + kProbeLimit), 0s);
  // Another node reports a probe of its own.
  QuarantineEntry reported = entry;
  reported.probes = 1;
  EXPECT_TRUE(MergeQuarantine(quarantines, reported, end + 15s));
  EXPECT_EQ(TimeUntilProbe(entry, end + 15s), kProbeLimit);
}

}  // namespace
}  // namespace peridotmill
