#include <algorithm>
#include <limits>

#include "peridotmill_membership/knowledge/endpoint_knowledge.h"
#include "peridotmill_membership/knowledge/endpoint_merge.h"
#include "peridotmill_membership/knowledge/endpoint_value.h"

namespace peridotmill {
namespace {

// Ages differ by the time on the way; a smaller difference is no news.
constexpr uint32_t kAgeToleranceMs = 500;

uint32_t AgeMs(const EndpointKnowledge& knowledge,
               const KnownEndpoint& endpoint,
               TimePoint now) {
  // An own reading is as fresh as the reading itself, which is once a second.
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - ObservedAt(knowledge, endpoint));
  return static_cast<uint32_t>(std::clamp<int64_t>(
      age.count(), 0, std::numeric_limits<uint32_t>::max()));
}

NodeId ChoosePeer(EndpointKnowledge& knowledge,
                  const std::vector<NodeId>& domain_peers) {
  for (const NodeId& peer : domain_peers) {
    const auto stream = knowledge.streams.find(peer);
    if (stream != knowledge.streams.end() && stream->second.has_gap) {
      return peer;
    }
  }
  return domain_peers[knowledge.random.Below(domain_peers.size())];
}

bool HasGap(const EndpointKnowledge& knowledge) {
  return std::any_of(knowledge.streams.begin(), knowledge.streams.end(),
                     [](const auto& item) { return item.second.has_gap; });
}

// Returns whether something changed.
bool RepairEndpoint(EndpointKnowledge& knowledge,
                    const NodeId& from,
                    const DigestReplyMessage& message,
                    const AgedEndpointValue& aged,
                    TimePoint now) {
  const TimePoint observed = now - std::chrono::milliseconds(aged.age_ms);
  const auto found = knowledge.endpoints.find(aged.value.endpoint);
  if (found == knowledge.endpoints.end()) {
    return MergeEndpoint(knowledge, aged.value,
                         FindModels(message.models, aged.value.endpoint), from,
                         observed);
  }
  KnownEndpoint& known = found->second;
  const bool is_older =
      known.reader != from && ObservedAt(knowledge, known) >= observed;
  if (is_older || known.reader == knowledge.self) {
    // Of older news only "leaving" counts.
    const bool starts_leaving =
        aged.value.is_leaving && !known.value.is_leaving &&
        known.value.incarnation_tag == aged.value.incarnation_tag;
    known.value.is_leaving = known.value.is_leaving || starts_leaving;
    return starts_leaving;
  }
  return MergeEndpoint(knowledge, aged.value,
                       FindModels(message.models, aged.value.endpoint),
                       NodeId(known.reader), observed);
}

}  // namespace

bool MergeEndpoint(EndpointKnowledge& knowledge,
                   EndpointValue value,
                   const std::vector<Fingerprint>* models,
                   const NodeId& reader,
                   TimePoint observed) {
  auto found = knowledge.endpoints.find(value.endpoint);
  const bool is_new = found == knowledge.endpoints.end();
  if (is_new) {
    if (knowledge.endpoints.size() >= kMaxKnownEndpoints) {
      ++knowledge.counters.refused_full;
      return false;
    }
    found = knowledge.endpoints.try_emplace(value.endpoint).first;
  }
  KnownEndpoint& known = found->second;
  if (!is_new && known.value.incarnation_tag == value.incarnation_tag) {
    value.is_leaving = value.is_leaving || known.value.is_leaving;
  }
  const bool are_models_new = models != nullptr && known.models != *models &&
                              models->size() <= kMaxModelsPerEndpoint;
  const bool is_changed = is_new || known.value != value || are_models_new;
  known.value = value;
  if (are_models_new) {
    known.models = *models;
  }
  known.reader = reader;
  known.observed = observed;
  return is_changed;
}

const std::vector<Fingerprint>* FindModels(
    const std::vector<EndpointModels>& models,
    Fingerprint endpoint) {
  const auto found = std::find_if(
      models.begin(), models.end(),
      [endpoint](const auto& entry) { return entry.endpoint == endpoint; });
  return found == models.end() ? nullptr : &found->models;
}

std::optional<DigestRequest> TakeDigest(EndpointKnowledge& knowledge,
                                        const std::vector<NodeId>& domain_peers,
                                        uint64_t members_hash,
                                        TimePoint now) {
  if (now < knowledge.next_digest) {
    return std::nullopt;
  }
  if (domain_peers.empty()) {
    // A wakeup that stays due would keep a node that is alone in its domain
    // busy.
    knowledge.next_digest = now + kMinDigestInterval;
    return std::nullopt;
  }
  DigestRequest request;
  request.peer = ChoosePeer(knowledge, domain_peers);
  request.message.members_hash = members_hash;
  for (const auto& [endpoint, known] : knowledge.endpoints) {
    request.message.endpoints.push_back({endpoint,
                                         ValueHash(known.value, known.models),
                                         AgeMs(knowledge, known, now)});
  }
  knowledge.last_digest = now;
  // The reply closes the gap; when it does not come, the next reader with a gap
  // or a random peer is asked after a short time.
  knowledge.next_digest =
      now + (HasGap(knowledge) ? kMinDigestInterval : kDigestInterval);
  return request;
}

DigestReplyMessage AnswerDigest(const EndpointKnowledge& knowledge,
                                const DigestMessage& message,
                                TimePoint now) {
  std::map<Fingerprint, EndpointStamp> stamps;
  for (const EndpointStamp& stamp : message.endpoints) {
    if (stamps.size() < kMaxKnownEndpoints) {
      stamps[stamp.endpoint] = stamp;
    }
  }
  DigestReplyMessage reply;
  for (const auto& [endpoint, known] : knowledge.endpoints) {
    const uint32_t age = AgeMs(knowledge, known, now);
    const auto stamp = stamps.find(endpoint);
    const bool is_known = stamp != stamps.end();
    if (is_known &&
        stamp->second.value_hash == ValueHash(known.value, known.models)) {
      continue;
    }
    // Leaving is told in any case: it must not wait for a newer reading. So are
    // this node's own readings.
    if (is_known && !known.value.is_leaving && known.reader != knowledge.self &&
        uint64_t{age} + kAgeToleranceMs > stamp->second.age_ms) {
      continue;
    }
    reply.values.push_back({known.value, age});
    reply.models.push_back({endpoint, known.models});
  }
  return reply;
}

std::vector<Fingerprint> ApplyDigestReply(EndpointKnowledge& knowledge,
                                          const NodeId& from,
                                          const DigestReplyMessage& message,
                                          TimePoint now) {
  std::vector<Fingerprint> changed;
  const size_t count = std::min(message.values.size(), kMaxValuesPerReport);
  for (size_t i = 0; i < count; ++i) {
    if (RepairEndpoint(knowledge, from, message, message.values[i], now)) {
      ++knowledge.counters.repaired_values;
      changed.push_back(message.values[i].value.endpoint);
    }
  }
  const auto stream = knowledge.streams.find(from);
  if (stream != knowledge.streams.end()) {
    stream->second.has_gap = false;
    stream->second.confirmed = now;
  }
  return changed;
}

void RetainKnown(EndpointKnowledge& knowledge,
                 const std::set<Fingerprint>& listed_endpoints,
                 const std::set<NodeId>& domain_nodes) {
  std::erase_if(knowledge.endpoints, [&](const auto& item) {
    return !listed_endpoints.contains(item.first);
  });
  std::erase_if(knowledge.streams, [&](const auto& item) {
    return !domain_nodes.contains(item.first);
  });
  std::erase_if(knowledge.differing, [&](const auto& item) {
    return !listed_endpoints.contains(item.first);
  });
}

TimePoint NextKnowledgeWakeup(const EndpointKnowledge& knowledge) {
  return std::min(knowledge.next_report, knowledge.next_digest);
}

}  // namespace peridotmill
