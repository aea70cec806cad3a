#include "peridotmill_membership/knowledge/endpoint_knowledge.h"

#include <algorithm>
#include <utility>

#include "peridotmill_membership/knowledge/endpoint_merge.h"
#include "peridotmill_membership/knowledge/endpoint_value.h"

namespace peridotmill {
namespace {

// A second reader reports a difference that it has seen this often: once may be
// the first reader's report under way.
constexpr int kDifferencesBeforeReport = 2;

EndpointReportsMessage UrgentNews(const EndpointKnowledge& knowledge,
                                  const EndpointValue& value) {
  EndpointReportsMessage message;
  message.reader_incarnation = knowledge.incarnation;
  message.values.push_back(value);
  return message;
}

// Whether this reading is to be put in force and reported.
bool IsReported(EndpointKnowledge& knowledge,
                const EndpointValue& value,
                const std::vector<Fingerprint>* models,
                ReaderRank rank,
                bool is_urgent) {
  const auto known = knowledge.endpoints.find(value.endpoint);
  if (rank == ReaderRank::kFirst || is_urgent ||
      known == knowledge.endpoints.end()) {
    knowledge.differing.erase(value.endpoint);
    return true;
  }
  EndpointValue expected = value;
  expected.is_leaving = expected.is_leaving || known->second.value.is_leaving;
  const bool is_same = known->second.value == expected &&
                       (models == nullptr || *models == known->second.models);
  if (is_same || known->second.reader == knowledge.self) {
    knowledge.differing.erase(value.endpoint);
    return !is_same;
  }
  int& times = knowledge.differing[value.endpoint];
  if (++times < kDifferencesBeforeReport) {
    return false;
  }
  knowledge.differing.erase(value.endpoint);
  return true;
}

bool IsLeavingNews(const EndpointKnowledge& knowledge,
                   const EndpointValue& value) {
  const auto known = knowledge.endpoints.find(value.endpoint);
  return value.is_leaving &&
         (known == knowledge.endpoints.end() ||
          !known->second.value.is_leaving ||
          known->second.value.incarnation_tag != value.incarnation_tag);
}

// A reader without a place for its stream still has its values applied.
ReportStream* StreamOf(EndpointKnowledge& knowledge, const NodeId& reader) {
  const auto found = knowledge.streams.find(reader);
  if (found != knowledge.streams.end()) {
    return &found->second;
  }
  if (knowledge.streams.size() >= kMaxReportStreams) {
    ++knowledge.counters.refused_full;
    return nullptr;
  }
  return &knowledge.streams[reader];
}

void MarkGap(EndpointKnowledge& knowledge, ReportStream& stream) {
  if (!stream.has_gap) {
    stream.has_gap = true;
    ++knowledge.counters.gaps;
    knowledge.next_digest = std::min(
        knowledge.next_digest, knowledge.last_digest + kMinDigestInterval);
  }
}

// Returns false for a report of an old incarnation or one seen before.
bool AdvanceStream(EndpointKnowledge& knowledge,
                   ReportStream& stream,
                   const EndpointReportsMessage& message,
                   TimePoint now) {
  if (message.reader_incarnation < stream.incarnation) {
    return false;
  }
  if (message.reader_incarnation > stream.incarnation) {
    // A node that starts, on either side, lacks the reports before.
    stream = ReportStream{message.reader_incarnation, message.sequence, now};
    if (message.sequence != 1) {
      MarkGap(knowledge, stream);
    }
    return true;
  }
  if (message.sequence <= stream.sequence) {
    return false;
  }
  if (message.sequence != stream.sequence + 1) {
    MarkGap(knowledge, stream);
  }
  stream.sequence = message.sequence;
  stream.confirmed = now;
  return true;
}

}  // namespace

EndpointKnowledge MakeEndpointKnowledge(const NodeId& self,
                                        Incarnation incarnation,
                                        uint64_t seed,
                                        TimePoint now) {
  EndpointKnowledge knowledge;
  knowledge.self = self;
  knowledge.incarnation = incarnation;
  knowledge.random = Random(seed);
  const auto spread = [&](Duration interval) {
    return std::chrono::duration_cast<Duration>(interval *
                                                knowledge.random.Unit());
  };
  knowledge.next_report = now + spread(kReportInterval);
  // A node that starts asks soon.
  knowledge.next_digest = now + spread(kMinDigestInterval);
  knowledge.last_digest = now - kDigestInterval;
  return knowledge;
}

std::optional<EndpointReportsMessage> RecordReading(
    EndpointKnowledge& knowledge,
    const AssignedEndpoint& endpoint,
    const std::optional<EndpointLoad>& load,
    TimePoint now) {
  const EndpointValue value = QuantiseLoad(endpoint.record, load);
  EndpointModels models;
  if (load) {
    models = ModelsOf(endpoint.record, *load);
  }
  const std::vector<Fingerprint>* reported = load ? &models.models : nullptr;
  const bool is_urgent = IsLeavingNews(knowledge, value);
  if (!IsReported(knowledge, value, reported, endpoint.rank, is_urgent)) {
    return std::nullopt;
  }
  const auto before = knowledge.endpoints.find(value.endpoint);
  // A reader that takes over repeats the value, so that the others know whose
  // heartbeats confirm it.
  const bool is_takeover = before != knowledge.endpoints.end() &&
                           before->second.reader != knowledge.self;
  const bool are_models_new =
      reported != nullptr && (before == knowledge.endpoints.end()
                                  ? !reported->empty()
                                  : before->second.models != *reported);
  if (MergeEndpoint(knowledge, value, reported, knowledge.self, now) ||
      is_takeover) {
    knowledge.unsent_values.insert(value.endpoint);
    if (are_models_new) {
      knowledge.unsent_models.insert(value.endpoint);
    }
  }
  return is_urgent ? std::optional(UrgentNews(knowledge, value)) : std::nullopt;
}

std::optional<EndpointReportsMessage> RecordLeaving(
    EndpointKnowledge& knowledge,
    const EndpointRecord& endpoint,
    TimePoint now) {
  EndpointValue value = QuantiseLoad(endpoint, EndpointLoad{});
  value.is_leaving = true;
  if (!IsLeavingNews(knowledge, value)) {
    return std::nullopt;
  }
  const auto known = knowledge.endpoints.find(value.endpoint);
  if (known != knowledge.endpoints.end() &&
      known->second.value.incarnation_tag == value.incarnation_tag) {
    value = known->second.value;
    value.is_leaving = true;
  }
  MergeEndpoint(knowledge, value, nullptr, knowledge.self, now);
  return UrgentNews(knowledge, value);
}

std::optional<EndpointReportsMessage> TakeReport(EndpointKnowledge& knowledge,
                                                 TimePoint now) {
  if (now < knowledge.next_report) {
    return std::nullopt;
  }
  knowledge.next_report = std::max(knowledge.next_report + kReportInterval,
                                   now + kReportInterval / 2);
  if (knowledge.unsent_values.empty()) {
    return std::nullopt;
  }
  EndpointReportsMessage message;
  message.reader_incarnation = knowledge.incarnation;
  message.sequence = ++knowledge.sequence;
  for (const Fingerprint endpoint : knowledge.unsent_values) {
    const auto known = knowledge.endpoints.find(endpoint);
    if (known == knowledge.endpoints.end()) {
      continue;
    }
    message.values.push_back(known->second.value);
    if (knowledge.unsent_models.contains(endpoint)) {
      message.models.push_back({endpoint, known->second.models});
    }
  }
  knowledge.unsent_values.clear();
  knowledge.unsent_models.clear();
  return message;
}

std::vector<Fingerprint> ApplyReports(EndpointKnowledge& knowledge,
                                      const NodeId& from,
                                      const EndpointReportsMessage& message,
                                      TimePoint now) {
  std::vector<Fingerprint> changed;
  if (message.sequence != 0) {
    ReportStream* stream = StreamOf(knowledge, from);
    if (stream != nullptr && !AdvanceStream(knowledge, *stream, message, now)) {
      ++knowledge.counters.stale_reports;
      return changed;
    }
  }
  const size_t count = std::min(message.values.size(), kMaxValuesPerReport);
  for (size_t i = 0; i < count; ++i) {
    const EndpointValue& value = message.values[i];
    // Unnumbered news may be old; only "leaving" in it is taken.
    if (message.sequence == 0 && !IsLeavingNews(knowledge, value)) {
      continue;
    }
    if (MergeEndpoint(knowledge, value,
                      FindModels(message.models, value.endpoint), from, now)) {
      changed.push_back(value.endpoint);
    }
  }
  return changed;
}

std::optional<EndpointReportsMessage> LeavingNews(
    const EndpointKnowledge& knowledge,
    const std::vector<Fingerprint>& endpoints) {
  EndpointReportsMessage message;
  message.reader_incarnation = knowledge.incarnation;
  for (const Fingerprint endpoint : endpoints) {
    const auto known = knowledge.endpoints.find(endpoint);
    if (known != knowledge.endpoints.end() && known->second.value.is_leaving) {
      message.values.push_back(known->second.value);
    }
  }
  return message.values.empty() ? std::nullopt
                                : std::optional(std::move(message));
}

void ApplyReportSequence(EndpointKnowledge& knowledge,
                         const NodeId& from,
                         Incarnation incarnation,
                         uint32_t sequence,
                         TimePoint now) {
  const auto found = knowledge.streams.find(from);
  if (found == knowledge.streams.end() ||
      found->second.incarnation < incarnation) {
    ReportStream* stream = StreamOf(knowledge, from);
    if (stream != nullptr) {
      *stream = ReportStream{incarnation, sequence, now};
      if (sequence != 0) {
        MarkGap(knowledge, *stream);
      }
    }
    return;
  }
  ReportStream& stream = found->second;
  if (stream.incarnation != incarnation || sequence < stream.sequence) {
    return;
  }
  if (sequence > stream.sequence) {
    stream.sequence = sequence;
    MarkGap(knowledge, stream);
  }
  if (!stream.has_gap) {
    stream.confirmed = now;
  }
}

TimePoint ObservedAt(const EndpointKnowledge& knowledge,
                     const KnownEndpoint& endpoint) {
  const auto stream = knowledge.streams.find(endpoint.reader);
  return stream == knowledge.streams.end()
             ? endpoint.observed
             : std::max(endpoint.observed, stream->second.confirmed);
}

}  // namespace peridotmill
