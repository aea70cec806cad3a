#ifndef PERIDOTMILL_CORE_UNITS_UNITS_H_
#define PERIDOTMILL_CORE_UNITS_UNITS_H_

#include "peridotmill_core/units/quantity.h"

namespace peridotmill {

// Number of prompt or output tokens of a language model.
using TokenCount = Quantity<struct TokenCountTag>;

// Cost in millionths of the operators' accounting unit.
using MicroUnits = Quantity<struct MicroUnitsTag>;

// Revision number of an accepted configuration; 0 means no configuration.
using Revision = Quantity<struct RevisionTag>;

// Distinguishes successive processes of one node or endpoint. A later process
// has a higher number.
using Incarnation = Quantity<struct IncarnationTag>;

// Fencing token of an order lease: increases each time the lease's holder
// changes, so that orders of a former holder can be rejected.
using FencingNumber = Quantity<struct FencingNumberTag>;

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_UNITS_UNITS_H_
