// peridotmill_actions: at-most-once execution of keyed actions.
//
// The origin side asks the home node of a key's bucket for a claim and records
// the outcome; the home side appends claims, outcomes and voids to the bucket's
// log in the platform store. Pure decisions: events and time in, commands out.
//
// Dependencies: peridotmill_core, nlohmann-json (MessagePack).

#ifndef PERIDOTMILL_ACTIONS_PERIDOTMILL_ACTIONS_H_
#define PERIDOTMILL_ACTIONS_PERIDOTMILL_ACTIONS_H_

#include "peridotmill_actions/actions_step.h"
#include "peridotmill_actions/home/home_of.h"
#include "peridotmill_actions/home/home_state.h"
#include "peridotmill_actions/log/bucket_log.h"
#include "peridotmill_actions/log/log_entry.h"
#include "peridotmill_actions/log/log_keys.h"
#include "peridotmill_actions/log/segment_codec.h"
#include "peridotmill_actions/messages/action_command.h"
#include "peridotmill_actions/messages/action_messages.h"
#include "peridotmill_actions/origin/origin_state.h"

#endif  // PERIDOTMILL_ACTIONS_PERIDOTMILL_ACTIONS_H_
