// peridotmill_core: types and functions that all other modules use.
//
// Strongly typed ids and units, the clock interface, findings and error codes,
// reason codes with their counters, hashing, compression, random numbers, and
// the requests
// and responses of the platform's key-value store.
//
// Dependencies: GLib (SHA-256), libxxhash, zlib, tl::expected.

#ifndef PERIDOTMILL_CORE_PERIDOTMILL_CORE_H_
#define PERIDOTMILL_CORE_PERIDOTMILL_CORE_H_

#include "peridotmill_core/attempts/attempt_outcome.h"
#include "peridotmill_core/compression/deflate.h"
#include "peridotmill_core/compression/delta.h"
#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/errors/finding.h"
#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/platform/endpoint_load.h"
#include "peridotmill_core/platform/host_list.h"
#include "peridotmill_core/reasons/reason.h"
#include "peridotmill_core/reasons/reason_counters.h"
#include "peridotmill_core/store/store_call.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_core/units/units.h"

#endif  // PERIDOTMILL_CORE_PERIDOTMILL_CORE_H_
