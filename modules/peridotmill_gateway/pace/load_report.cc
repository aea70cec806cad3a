#include "peridotmill_gateway/pace/load_report.h"

namespace peridotmill {

void RecordReportedLoad(Endpoint& endpoint,
                        const ReportedLoad& load,
                        TimePoint now) {
  if (load.pace_percent) {
    RecordStatedPace(endpoint.pace, *load.pace_percent, now);
    return;
  }
  endpoint.reported_running = load.running;
  endpoint.reported_waiting = load.waiting;
  endpoint.reported_at = now;
}

}  // namespace peridotmill
