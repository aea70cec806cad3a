#ifndef PERIDOTMILL_MEMBERSHIP_MESSAGES_PEER_MESSAGE_H_
#define PERIDOTMILL_MEMBERSHIP_MESSAGES_PEER_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "peridotmill_actions/messages/action_messages.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/units/units.h"
#include "peridotmill_membership/members/member.h"

namespace peridotmill {

// 64-bit hash of a name; stands for it in frequent messages to save bytes.
using Fingerprint = uint64_t;

struct HeartbeatMessage {
  // Empty on the wire when it is the connection's own peer.
  NodeId node;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  // Configuration revision in force on the sender.
  Revision revision;
  uint32_t counter = 0;
  // Sequence number of the sender's last EndpointReportsMessage, so that a lost
  // last message is noticed too.
  uint32_t report_sequence = 0;
};

struct MemberDeltaMessage {
  std::vector<Member> members;
};

// Sent at once when a node starts to shut down.
struct LeavingMessage {
  NodeId node;
  Incarnation incarnation;
  uint32_t heartbeat = 0;
};

// A configuration head as stored. @see EncodeHead
struct ConfigHeadMessage {
  std::string text;
};
struct ConfigPartRequestMessage {
  std::string digest;
};
struct ConfigPartMessage {
  std::string digest;
  std::string content;
  // Whether the sender has the part.
  bool found = false;
};

// Load of one endpoint in quantised form. @see QuantiseLoad
struct EndpointValue {
  Fingerprint endpoint = 0;
  uint16_t running = 0;
  uint16_t waiting = 0;
  // Low bits of a hash of the endpoint's incarnation. News about a replaced
  // endpoint must not apply to its successor.
  uint16_t incarnation_tag = 0;
  // In 255ths.
  uint8_t memory_use = 0;
  bool is_leaving = false;
  // The reader could not read the endpoint.
  bool is_unreachable = false;

  friend bool operator==(const EndpointValue&, const EndpointValue&) = default;
};

// All models loaded on one endpoint, as fingerprints of "model@version".
struct EndpointModels {
  Fingerprint endpoint = 0;
  std::vector<Fingerprint> models;

  friend bool operator==(const EndpointModels&,
                         const EndpointModels&) = default;
};

// Endpoints whose values changed since the sender's previous report.
struct EndpointReportsMessage {
  Incarnation reader_incarnation;
  // Grows by one with each report of this incarnation; 0 for urgent news, which
  // is sent ahead of the numbered reports and repeated in them.
  uint32_t sequence = 0;
  std::vector<EndpointValue> values;
  std::vector<EndpointModels> models;
};

// Low halves of fingerprints: a mistaken hint only costs a cache miss.
struct CacheHint {
  uint32_t endpoint = 0;
  uint32_t prefix = 0;

  friend bool operator==(const CacheHint&, const CacheHint&) = default;
};

struct CacheHintsMessage {
  std::vector<CacheHint> held;
  std::vector<CacheHint> evicted;
};

struct TeamUseEntry {
  Fingerprint team = 0;
  // Running requests, in sixteenths, saturated.
  uint16_t use = 0;

  friend bool operator==(const TeamUseEntry&, const TeamUseEntry&) = default;
};

// The sender's teams with the highest use.
struct TeamUseMessage {
  std::vector<TeamUseEntry> entries;
};

// One pool of one failure domain.
struct PoolSummary {
  // Names the failure domain and the pool. @see DomainPoolFingerprint
  uint32_t pool = 0;
  // Requests the live endpoints can run at the same time, saturated.
  uint16_t capacity = 0;
  // Requests running and waiting, in eighths of the capacity, saturated.
  uint8_t load = 0;
  // Saturated.
  uint8_t live_endpoints = 0;

  friend bool operator==(const PoolSummary&, const PoolSummary&) = default;
};

// Pools whose summary changed, of one or more failure domains.
struct DomainSummaryMessage {
  std::vector<PoolSummary> pools;
};

struct EndpointStamp {
  Fingerprint endpoint = 0;
  uint32_t value_hash = 0;
  uint32_t age_ms = 0;
};

// What the sender knows, in short. Answered by what it lacks.
struct DigestMessage {
  uint64_t members_hash = 0;
  std::vector<EndpointStamp> endpoints;
};

struct AgedEndpointValue {
  EndpointValue value;
  uint32_t age_ms = 0;
};

struct DigestReplyMessage {
  std::vector<AgedEndpointValue> values;
  std::vector<EndpointModels> models;
  std::vector<Member> members;
};

using PeerMessage = std::variant<HeartbeatMessage,
                                 MemberDeltaMessage,
                                 LeavingMessage,
                                 ConfigHeadMessage,
                                 ConfigPartRequestMessage,
                                 ConfigPartMessage,
                                 EndpointReportsMessage,
                                 CacheHintsMessage,
                                 TeamUseMessage,
                                 DomainSummaryMessage,
                                 DigestMessage,
                                 DigestReplyMessage,
                                 ClaimRequest,
                                 ClaimReply,
                                 OutcomeRecord,
                                 OutcomeAck,
                                 ActionLookup,
                                 ActionLookupReply>;

// A message for one connected peer.
struct SendToPeer {
  NodeId peer;
  PeerMessage message;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_MESSAGES_PEER_MESSAGE_H_
