#ifndef PERIDOTMILL_DAEMONS_GATEWAY_PROCESS_H_
#define PERIDOTMILL_DAEMONS_GATEWAY_PROCESS_H_

#include <glib.h>

#include <memory>
#include <string>
#include <vector>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/peridotmill_gateway.h"
#include "peridotmill_http/peridotmill_http.h"
#include "platform/configuration_reader.h"
#include "platform/endpoint_adapter.h"
#include "platform/stage_adapter.h"
#include "platform/store_adapter.h"

namespace peridotmill {

// Owns the components of a gateway process and runs its main loop.
class GatewayProcess {
 public:
  // Errors: those of HttpServer::Create.
  static Result<std::unique_ptr<GatewayProcess>> Create(
      const GatewaySettings& settings,
      std::string settings_path,
      const Clock& clock,
      OutputLog& log);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Runs the main loop until a requested stop is complete. Returns the exit
  // code of the process.
  int Run();

  // Starts a graceful stop: makes the node not ready, waits for open requests
  // and then ends Run().
  void RequestStop();
  // Reads the settings file again and applies the settings that can change at
  // run time. Invalid settings are logged and ignored.
  void ReloadSettings();

 private:
  GatewayProcess(const GatewaySettings& settings,
                 std::string settings_path,
                 const Clock& clock,
                 OutputLog& log);

  Result<void> StartListening();
  void OnCallerRequest(const std::shared_ptr<HttpExchange>& exchange);
  void OnReadinessCheck(const std::shared_ptr<HttpExchange>& exchange);
  void OnMetricsRequest(const std::shared_ptr<HttpExchange>& exchange);
  // The next ones, up to OnNodeSnapshot, are defined in
  // gateway_store_entries.cc.
  void OnSnapshot(ReplicaPart part,
                  const std::vector<StoreEntry>& entries,
                  bool was_unreachable);
  void OnChange(ReplicaPart part, const StoreChange& change);
  // Handle what the operators write: the configuration and evacuations.
  void OnOperatorSnapshot(const std::vector<StoreEntry>& entries,
                          bool was_unreachable);
  void OnOperatorChange(const StoreChange& change);
  // Shares the requests to warming endpoints among the registered nodes.
  void UpdateWarmUpBounds();
  void RecordWarmUp(const EndpointRegistration& registration);
  // Returns whether the endpoints' registrations are those in the store now.
  bool AreRegistrationsCurrent() const;
  // Returns whether there is a newer configuration that is not in force yet.
  bool IsConfigurationOutdated() const;
  void OnConfigurationEntry(const StoreEntry& entry);
  // Decodes a part of the configuration, and activates it after the last one.
  void ContinueConfiguration();
  void OnRegistrationSnapshot(const std::vector<StoreEntry>& entries,
                              bool was_unreachable);
  void OnRegistrationChange(const StoreChange& change);
  void OnNodeSnapshot(const std::vector<StoreEntry>& entries,
                      bool was_unreachable);
  // Called after the process or its host was paused for `pause`.
  void OnPause(Duration pause);
  // Called when the store has stopped responding. Restarts the watches, which
  // may never get a response.
  void OnStoreUnresponsive();
  bool IsReady() const;
  void CheckSettingsFile();
  // Returns whether there are descriptors for so many connections of callers,
  // and for calls to endpoints for so many requests.
  bool HasDescriptors(size_t callers, size_t requests) const;
  // Logs what was refused for lack of memory, and returns freed memory to the
  // host.
  void CheckMemory();
  void ContinueStopping();
  // Returns whether neither callers nor other nodes have work here.
  bool IsUnused() const;
  // Defined in gateway_metrics.cc.
  std::string FormatMetrics() const;

  GatewaySettings settings_;
  std::string settings_path_;
  int64_t settings_modification_time_ns_ = 0;
  // Store revision of the configuration that was decoded last, valid or not.
  int64_t configuration_store_revision_ = 0;
  platform::ConfigurationReader configuration_reader_;
  std::unique_ptr<Timer> configuration_timer_;
  const Clock& clock_;
  OutputLog& log_;
  GMainLoop* loop_;
  GlibTimerQueue timers_;
  MemoryBudget memory_;
  DescriptorLimits descriptors_;
  // Memory counters that have been logged.
  MemoryCounters logged_memory_counters_;
  size_t used_before_trim_ = 0;
  std::unique_ptr<Timer> memory_timer_;
  HttpClient http_client_;
  platform::StoreAdapter store_;
  StoreRetryQueue store_retry_queue_;
  EndpointRegistry endpoint_registry_;
  platform::EndpointAdapter endpoint_adapter_;
  platform::StageAdapter stage_adapter_;
  PoolRetryBudget retry_budget_;
  PoolRetryBudget coordinator_retry_budget_;
  QuarantineRecords quarantine_records_;
  CrashQuarantine quarantine_;
  StageCoordinator coordinator_;
  NodeDirectory node_directory_;
  FrameDialer peer_dialer_;
  StageRelay stage_relay_;
  PermitBuckets permit_buckets_;
  StageService stage_service_;
  PermitClient permit_client_;
  NodeRegistration node_registration_;
  StreamVersions stream_versions_;
  Gateway gateway_;
  DomainEvacuations evacuations_;
  NodeCount node_count_;
  std::unique_ptr<Timer> warm_up_timer_;
  RegistrationReconciler registration_reconciler_;
  StoreReplica replica_;
  ReplicaService replica_service_;
  ReplicaSources replica_sources_;
  std::unique_ptr<TcpListener> peer_listener_;
  std::unique_ptr<TcpListener> subscriber_listener_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<Timer> settings_timer_;
  std::unique_ptr<Timer> stop_timer_;
  std::unique_ptr<Timer> node_reload_timer_;
  // Set while evacuations that were missing after an outage go on.
  std::unique_ptr<Timer> operator_reload_timer_;
  bool is_stopping_ = false;
  TimePoint stop_request_time_;
  // When each open request gets its final response.
  TimePoint stop_end_;
  TimePoint forced_exit_time_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_DAEMONS_GATEWAY_PROCESS_H_
