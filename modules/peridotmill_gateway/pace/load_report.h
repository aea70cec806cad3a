#ifndef PERIDOTMILL_GATEWAY_PACE_LOAD_REPORT_H_
#define PERIDOTMILL_GATEWAY_PACE_LOAD_REPORT_H_

#include "peridotmill_gateway/calls/endpoint_call.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"

namespace peridotmill {

// Records the load that an endpoint reported in a response. Of a report that
// states a pace, only the pace is used: the pace changes many times a second,
// and the counts of requests with it, so that nodes which read the same counts
// would all avoid the same endpoints.
void RecordReportedLoad(Endpoint& endpoint,
                        const ReportedLoad& load,
                        TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PACE_LOAD_REPORT_H_
