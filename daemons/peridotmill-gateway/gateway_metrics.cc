#include <string>

#include "daemons/peridotmill-gateway/gateway_process.h"

namespace peridotmill {

std::string GatewayProcess::FormatMetrics() const {
  std::string page;
  const auto add = [&](const std::string& name, uint64_t value) {
    page += "peridotmill_" + name + " " + std::to_string(value) + "\n";
  };
  const GatewayCounters& counters = gateway_.counters();
  add("requests_total", counters.requests);
  add("requests_answered_total", counters.answered);
  add("requests_denied_total", counters.denied);
  add("requests_refused_total", counters.refused);
  add("requests_failed_total", counters.failed);
  add("requests_cut_total", counters.cut);
  add("requests_caller_gone_total", counters.caller_gone);
  add("repeats_total", counters.repeats);
  add("streams_resumed_total", counters.resumed_streams);
  add("open_requests", gateway_.open_requests());
  add("stage_tasks", coordinator_.task_count());
  add("stage_requests_waiting", coordinator_.waiting_request_count());
  add("stage_requests_started", coordinator_.started_request_count());
  add("stage_tasks_reassigned_total", stage_relay_.reassigned_task_count());
  const CrashQuarantineCounters& quarantine = quarantine_.counters();
  add("crashes_suspected_total", quarantine.suspected_crashes);
  add("suspects_quarantined_total", quarantine.quarantined);
  add("suspects_cleared_total", quarantine.cleared);
  add("suspects_probed_total", quarantine.probes);
  add("nodes", node_directory_.size());
  add("store_watching", replica_.is_watching() ? 1 : 0);
  add("replica_sources", replica_sources_.source_count());
  add("replica_subscribers", replica_service_.subscriber_count());
  add("replica_frames_malformed_total",
      replica_service_.malformed_frame_count());
  add("endpoints", endpoint_registry_.size());
  add("endpoints_limited", endpoint_registry_.LimitedEndpoints().size());
  add("endpoints_warming",
      endpoint_registry_.CountWarmingEndpoints(clock_.Now()));
  add("calls_to_warming_endpoints_total",
      endpoint_registry_.warm_up_call_count());
  add("requests_past_warming_endpoints_total", counters.passed_warming);
  add("domains_evacuated", evacuations_.size());
  add("caller_connections", caller_server_->connection_count());
  add("callers_malformed_total", caller_server_->counters().malformed);
  add("callers_timed_out_total", caller_server_->counters().timed_out);
  add("connections_opened_total", http_client_.counters().connections_opened);
  add("connections_reused_total", http_client_.counters().connections_reused);
  add("foreign_answers_total", http_client_.counters().mismatched_responses);
  add("log_lines_dropped_total", log_.dropped());
  for (const ReasonInfo& info : AllReasons()) {
    add("reasons_total{reason=\"" + std::string(info.name) + "\"}",
        gateway_.reasons().Get(info.reason));
  }
  add("memory_used_bytes", memory_.used_bytes());
  add("memory_peak_bytes", memory_.peak_bytes());
  add("memory_limit_bytes", memory_.limits().total_bytes);
  add("memory_refused_unfinished_total", memory_.counters().refused_unfinished);
  add("memory_refused_new_total", memory_.counters().refused_new);
  add("callers_closed_for_new_total",
      caller_server_->counters().closed_for_new_connections);
  add("callers_refused_total", caller_server_->counters().refused_connections);
  add("stage_requests_displaced_total", coordinator_.displaced_request_count());
  add("endpoints_stating_pace", endpoint_registry_.CountStatedPaces());
  add("engines_slow", coordinator_.slow_engine_count());
  return page;
}

}  // namespace peridotmill
