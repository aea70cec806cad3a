#ifndef PERIDOTMILL_CORE_UNITS_UNITS_H_
#define PERIDOTMILL_CORE_UNITS_UNITS_H_

#include "peridotmill_core/units/quantity.h"

namespace peridotmill {

using TokenCount = Quantity<struct TokenCountTag>;

// Money in millionths of the operators' accounting unit.
using MicroUnits = Quantity<struct MicroUnitsTag>;

// Number of an accepted configuration; 0 means none.
using Revision = Quantity<struct RevisionTag>;

// Distinguishes successive processes of one node or endpoint; higher is newer.
using Incarnation = Quantity<struct IncarnationTag>;

// Grows with each change of an order lease's holder.
using FencingNumber = Quantity<struct FencingNumberTag>;

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_UNITS_UNITS_H_
