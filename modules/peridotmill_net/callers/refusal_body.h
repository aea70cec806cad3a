#ifndef PERIDOTMILL_NET_CALLERS_REFUSAL_BODY_H_
#define PERIDOTMILL_NET_CALLERS_REFUSAL_BODY_H_

#include <string>

#include "peridotmill_core/reasons/reason.h"

namespace peridotmill {

// JSON body of a refusal. An empty `message` takes the reason's description.
std::string RefusalBody(Reason reason,
                        Execution execution,
                        const std::string& message,
                        const std::string& field);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_CALLERS_REFUSAL_BODY_H_
