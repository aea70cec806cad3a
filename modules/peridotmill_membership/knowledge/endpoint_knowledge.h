#ifndef PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_KNOWLEDGE_H_
#define PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_KNOWLEDGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/platform/endpoint_load.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_membership/knowledge/endpoint_readers.h"
#include "peridotmill_membership/messages/peer_message.h"

namespace peridotmill {

inline constexpr Duration kReportInterval = std::chrono::seconds(1);
inline constexpr Duration kDigestInterval = std::chrono::seconds(10);
// Least time between two digests, so that many gaps do not cause many digests.
inline constexpr Duration kMinDigestInterval = std::chrono::seconds(1);
// Twice the design size of 1,300 endpoints, in case all are in one domain.
inline constexpr size_t kMaxKnownEndpoints = 2600;
inline constexpr size_t kMaxReportStreams = 1024;
// Bounds of one message; what exceeds them is dropped and counted.
inline constexpr size_t kMaxValuesPerReport = 2600;
inline constexpr size_t kMaxModelsPerEndpoint = 64;

struct KnownEndpoint {
  EndpointValue value;
  std::vector<Fingerprint> models;
  // Reader whose report is held; its later heartbeats confirm the value.
  NodeId reader;
  TimePoint observed;
};

// Numbered reports of one reader.
struct ReportStream {
  Incarnation incarnation;
  uint32_t sequence = 0;
  // When the stream was last known to be complete.
  TimePoint confirmed;
  bool has_gap = false;
};

struct KnowledgeCounters {
  uint64_t gaps = 0;
  uint64_t stale_reports = 0;
  uint64_t refused_full = 0;
  uint64_t repaired_values = 0;
};

// What the nodes of one failure domain know about its endpoints, and about
// leaving endpoints of other domains.
struct EndpointKnowledge {
  NodeId self;
  Incarnation incarnation;
  std::map<Fingerprint, KnownEndpoint> endpoints;
  std::map<NodeId, ReportStream> streams;
  // Own readings that were changed since the last report.
  std::set<Fingerprint> unsent_values;
  std::set<Fingerprint> unsent_models;
  // Readings of a second reader that differ from what is known, with the
  // number of times in succession.
  std::map<Fingerprint, int> differing;
  uint32_t sequence = 0;
  TimePoint next_report;
  TimePoint next_digest;
  TimePoint last_digest;
  Random random{0};
  KnowledgeCounters counters;
};

EndpointKnowledge MakeEndpointKnowledge(const NodeId& self,
                                        Incarnation incarnation,
                                        uint64_t seed,
                                        TimePoint now);

// Takes in this node's own reading. Returns urgent news when the endpoint
// started to leave, to be sent at once to all domain peers and, by relays, to
// the other domains.
std::optional<EndpointReportsMessage> RecordReading(
    EndpointKnowledge& knowledge,
    const AssignedEndpoint& endpoint,
    const std::optional<EndpointLoad>& load,
    TimePoint now);

// Takes in that the host list shows an endpoint as leaving. Returns urgent news
// if that was not known.
std::optional<EndpointReportsMessage> RecordLeaving(
    EndpointKnowledge& knowledge,
    const EndpointRecord& endpoint,
    TimePoint now);

// What changed since the last report, for all domain peers; empty when it is
// not yet time or nothing changed.
std::optional<EndpointReportsMessage> TakeReport(EndpointKnowledge& knowledge,
                                                 TimePoint now);

// Takes in a peer's report. Returns the endpoints whose value or models
// changed; a relay sends those of them that are leaving on to the other side.
std::vector<Fingerprint> ApplyReports(EndpointKnowledge& knowledge,
                                      const NodeId& from,
                                      const EndpointReportsMessage& message,
                                      TimePoint now);

// Urgent news of `endpoints` that are leaving, for a relay to send on.
std::optional<EndpointReportsMessage> LeavingNews(
    const EndpointKnowledge& knowledge,
    const std::vector<Fingerprint>& endpoints);

// Confirms the values of a reader, or shows that a report of it was lost.
void ApplyReportSequence(EndpointKnowledge& knowledge,
                         const NodeId& from,
                         Incarnation incarnation,
                         uint32_t sequence,
                         TimePoint now);

// When the values held of this endpoint were last known to be true.
TimePoint ObservedAt(const EndpointKnowledge& knowledge,
                     const KnownEndpoint& endpoint);

// A digest for a random domain peer every 10 s, or for the reader whose report
// was lost.
struct DigestRequest {
  NodeId peer;
  DigestMessage message;
};
std::optional<DigestRequest> TakeDigest(EndpointKnowledge& knowledge,
                                        const std::vector<NodeId>& domain_peers,
                                        uint64_t members_hash,
                                        TimePoint now);

// What the sender of a digest lacks; the caller adds member records when the
// hashes of the members differ.
DigestReplyMessage AnswerDigest(const EndpointKnowledge& knowledge,
                                const DigestMessage& message,
                                TimePoint now);

// Returns the endpoints that changed.
std::vector<Fingerprint> ApplyDigestReply(EndpointKnowledge& knowledge,
                                          const NodeId& from,
                                          const DigestReplyMessage& message,
                                          TimePoint now);

// Forgets endpoints that the host list no longer shows and streams of nodes
// that are gone.
void RetainKnown(EndpointKnowledge& knowledge,
                 const std::set<Fingerprint>& listed_endpoints,
                 const std::set<NodeId>& domain_nodes);

TimePoint NextKnowledgeWakeup(const EndpointKnowledge& knowledge);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_KNOWLEDGE_H_
