// peridotmill_membership: nodes and what they tell each other.
//
// Members with incarnations and failure detection, relays between failure
// domains, the messages between nodes with their codec, and the knowledge that
// nodes share about endpoints, caches and team use.
//
// Dependencies: peridotmill_core, peridotmill_actions (message structs only),
// FlatBuffers (headers).

#ifndef PERIDOTMILL_MEMBERSHIP_PERIDOTMILL_MEMBERSHIP_H_
#define PERIDOTMILL_MEMBERSHIP_PERIDOTMILL_MEMBERSHIP_H_

#include "peridotmill_membership/codec/peer_codec.h"
#include "peridotmill_membership/knowledge/cache_hints.h"
#include "peridotmill_membership/knowledge/domain_summaries.h"
#include "peridotmill_membership/knowledge/endpoint_knowledge.h"
#include "peridotmill_membership/knowledge/endpoint_readers.h"
#include "peridotmill_membership/knowledge/endpoint_value.h"
#include "peridotmill_membership/knowledge/team_use.h"
#include "peridotmill_membership/members/member.h"
#include "peridotmill_membership/members/member_news.h"
#include "peridotmill_membership/members/membership.h"
#include "peridotmill_membership/members/topology.h"
#include "peridotmill_membership/messages/peer_message.h"

#endif  // PERIDOTMILL_MEMBERSHIP_PERIDOTMILL_MEMBERSHIP_H_
