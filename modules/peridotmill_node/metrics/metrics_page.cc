#include "peridotmill_node/metrics/metrics_page.h"

#include <cstdint>
#include <string_view>

namespace peridotmill {
namespace {

// Escapes a label value as the text format asks.
std::string Quoted(std::string_view value) {
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (c == '\n') {
      quoted += "\\n";
    } else {
      quoted += c;
    }
  }
  return quoted + '"';
}

class Page {
 public:
  void Family(std::string_view name,
              std::string_view type,
              std::string_view help) {
    text_ += "# HELP ";
    text_ += name;
    text_ += ' ';
    text_ += help;
    text_ += "\n# TYPE ";
    text_ += name;
    text_ += ' ';
    text_ += type;
    text_ += '\n';
  }

  void Sample(std::string_view name,
              const std::string& labels,
              const std::string& value) {
    text_ += name;
    if (!labels.empty()) {
      text_ += '{' + labels + '}';
    }
    text_ += ' ' + value + '\n';
  }

  void Counter(std::string_view name, std::string_view help, uint64_t value) {
    Family(name, "counter", help);
    Sample(name, "", std::to_string(value));
  }

  void Gauge(std::string_view name, std::string_view help, int64_t value) {
    Family(name, "gauge", help);
    Sample(name, "", std::to_string(value));
  }

  void Summary(const std::string& name,
               std::string_view help,
               const DurationStatistic& statistic) {
    Family(name, "summary", help);
    Sample(name, "quantile=\"0.5\"", std::to_string(statistic.p50_ms()));
    Sample(name, "quantile=\"0.95\"", std::to_string(statistic.p95_ms()));
    Sample(name, "quantile=\"0.99\"", std::to_string(statistic.p99_ms()));
    Sample(name + "_sum", "", std::to_string(statistic.sum_ms()));
    Sample(name + "_count", "", std::to_string(statistic.count()));
  }

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

void AddReasons(const ReasonCounters& reasons, Page& page) {
  constexpr std::string_view kName = "peridotmill_reasons_total";
  page.Family(kName, "counter",
              "Refusals, retries and drops by reason since the start.");
  for (const ReasonInfo& info : AllReasons()) {
    page.Sample(
        kName,
        "kind=" + Quoted(ToString(info.kind)) + ",reason=" + Quoted(info.name),
        std::to_string(reasons.Get(info.reason)));
  }
}

void AddFleet(const FleetState& fleet,
              const TransportCounts& transport,
              Page& page) {
  page.Gauge("peridotmill_members", "Other nodes known.",
             static_cast<int64_t>(fleet.members.entries.size()));
  page.Gauge("peridotmill_peers_connected", "Connections to other nodes.",
             static_cast<int64_t>(transport.peers_connected));
  page.Counter("peridotmill_peer_bytes_sent_total",
               "Bytes sent to other nodes.", transport.peer_bytes_sent);
  page.Counter("peridotmill_peer_bytes_received_total",
               "Bytes received from other nodes.",
               transport.peer_bytes_received);
  page.Counter("peridotmill_peer_frames_sent_total",
               "Frames sent to other nodes.", fleet.peer_frames_sent);
  page.Counter("peridotmill_peer_frames_received_total",
               "Frames received from other nodes.", fleet.peer_frames_received);
  page.Counter("peridotmill_store_calls_total",
               "Calls to the platform's store.",
               static_cast<uint64_t>(fleet.store_call_count));
  const HomeCounters& home = fleet.actions.home.counters;
  page.Counter("peridotmill_action_segments_written_total",
               "Segments of claims and outcomes written.",
               home.segments_written);
  page.Counter("peridotmill_action_races_lost_total",
               "Segment writes that another node had won.", home.races_lost);
  page.Counter("peridotmill_action_writes_in_doubt_total",
               "Segment writes whose response was lost.", home.writes_in_doubt);
  page.Counter("peridotmill_action_malformed_segments_total",
               "Segments that could not be read.", home.malformed_segments);
  page.Counter("peridotmill_config_rejected_total",
               "Configurations that were not put in force.",
               fleet.distribution.counters.rejected);
}

std::string AccountLabels(const CostAccount& account) {
  return "stage=" + Quoted(account.stage.value()) +
         ",team=" + Quoted(account.team.value()) +
         ",pipeline=" + Quoted(account.pipeline.value());
}

void AddCosts(const CostLedger& ledger, Page& page) {
  constexpr std::string_view kSpend = "peridotmill_spend_micro_units_total";
  constexpr std::string_view kWasted =
      "peridotmill_wasted_spend_micro_units_total";
  constexpr std::string_view kAttempts = "peridotmill_charged_attempts_total";
  page.Family(kSpend, "counter", "Spend by stage, team and pipeline.");
  for (const auto& [account, entry] : ledger.entries) {
    page.Sample(kSpend, AccountLabels(account),
                std::to_string(entry.spend.value()));
  }
  page.Family(kWasted, "counter",
              "The part of the spend that no on-time answer used.");
  for (const auto& [account, entry] : ledger.entries) {
    page.Sample(kWasted, AccountLabels(account),
                std::to_string(entry.wasted.value()));
  }
  page.Family(kAttempts, "counter", "Attempts that were charged.");
  for (const auto& [account, entry] : ledger.entries) {
    page.Sample(kAttempts, AccountLabels(account),
                std::to_string(entry.attempts));
  }
}

}  // namespace

std::string RenderMetrics(const NodeState& state,
                          const TransportCounts& transport) {
  Page page;
  const NodeStatistics& statistics = state.statistics;
  page.Family("peridotmill_node_info", "gauge",
              "Identity of the process; the value is always 1.");
  page.Sample("peridotmill_node_info",
              "node=" + Quoted(state.settings.id.value()) + ",failure_domain=" +
                  Quoted(state.settings.failure_domain.value()) +
                  ",incarnation=\"" +
                  std::to_string(state.settings.incarnation.value()) + "\"",
              "1");
  page.Gauge("peridotmill_config_revision", "Configuration in force.",
             state.config.revision.value());
  page.Gauge("peridotmill_open_requests", "Requests in progress.",
             static_cast<int64_t>(state.requests.size()));
  page.Gauge("peridotmill_open_attempts", "Attempts in progress.",
             static_cast<int64_t>(state.attempts.size()));
  page.Gauge("peridotmill_endpoints", "Endpoints known.",
             static_cast<int64_t>(state.endpoints.endpoints.size()));
  page.Counter("peridotmill_requests_total", "Requests received.",
               statistics.requests);
  page.Counter("peridotmill_answered_total", "Requests answered in time.",
               statistics.completed_on_time);
  page.Counter("peridotmill_first_attempts_total", "First attempts of a stage.",
               statistics.first_attempts);
  page.Counter("peridotmill_repeated_attempts_total",
               "Further attempts of a stage.", statistics.repeated_attempts);
  page.Counter("peridotmill_resumed_streams_total",
               "Streams continued on another engine.",
               statistics.resumed_streams);
  page.Counter("peridotmill_tokens_total", "Tokens received from engines.",
               statistics.tokens_delivered);
  page.Summary("peridotmill_time_to_first_token_ms",
               "Time from a streamed request to its first token.",
               statistics.time_to_first_token);
  page.Summary("peridotmill_request_duration_ms",
               "Time from a request to its whole answer.",
               statistics.request_duration);
  AddFleet(state.fleet, transport, page);
  AddReasons(state.reasons, page);
  AddCosts(state.ledger, page);
  return page.text();
}

}  // namespace peridotmill
