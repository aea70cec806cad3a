#ifndef PERIDOTMILL_ROUTING_SELECTION_BASELINE_CHOICE_H_
#define PERIDOTMILL_ROUTING_SELECTION_BASELINE_CHOICE_H_

#include "peridotmill_core/maths/random.h"
#include "peridotmill_routing/endpoints/endpoint_table.h"
#include "peridotmill_routing/selection/choice.h"

namespace peridotmill {

// The pool's listed endpoints in turn, whatever their health and load.
EndpointChoice ChooseRoundRobin(EndpointTable& table,
                                const EndpointChoiceRequest& request);

// The listed endpoint with the least load as last reported, without ageing or
// own attempts; equal ones are drawn at random.
EndpointChoice ChooseLeastLoad(const EndpointTable& table,
                               const EndpointChoiceRequest& request,
                               Random& random);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_SELECTION_BASELINE_CHOICE_H_
