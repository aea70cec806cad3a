#ifndef PERIDOTMILL_ROUTING_SELECTION_BASELINE_CHOICE_H_
#define PERIDOTMILL_ROUTING_SELECTION_BASELINE_CHOICE_H_

#include "peridotmill_core/maths/random.h"
#include "peridotmill_routing/endpoints/endpoint_table.h"
#include "peridotmill_routing/selection/choice.h"

namespace peridotmill {

// Returns the pool's listed endpoints in rotation, regardless of their health
// and load.
EndpointChoice ChooseRoundRobin(EndpointTable& table,
                                const EndpointChoiceRequest& request);

// Returns the listed endpoint with the lowest reported load. The load is
// neither decayed nor corrected by this node's own attempts; ties are broken at
// random.
EndpointChoice ChooseLeastLoad(const EndpointTable& table,
                               const EndpointChoiceRequest& request,
                               Random& random);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_SELECTION_BASELINE_CHOICE_H_
