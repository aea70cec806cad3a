#ifndef PERIDOTMILL_DAEMONS_GATEWAY_PROCESS_H_
#define PERIDOTMILL_DAEMONS_GATEWAY_PROCESS_H_

#include <glib.h>

#include <memory>
#include <string>
#include <vector>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/peridotmill_gateway.h"
#include "peridotmill_http/peridotmill_http.h"
#include "platform/endpoint_adapter.h"
#include "platform/stage_adapter.h"
#include "platform/store_adapter.h"

namespace peridotmill {

// The parts of a gateway process and its main loop.
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

  // Serves until the process has stopped. Returns its exit code.
  int Run();

  // Takes the node out of service, lets open requests end and then stops.
  void RequestStop();
  // Reads the settings file again.
  void ReloadSettings();

 private:
  GatewayProcess(const GatewaySettings& settings,
                 std::string settings_path,
                 const Clock& clock,
                 OutputLog& log);

  Result<void> Listen();
  void OnCallerRequest(const std::shared_ptr<HttpExchange>& exchange);
  void OnReadinessCheck(const std::shared_ptr<HttpExchange>& exchange);
  void OnMetricsRequest(const std::shared_ptr<HttpExchange>& exchange);
  void OnSnapshot(ReplicaPart part,
                  const std::vector<StoreEntry>& entries,
                  bool was_unreachable);
  void OnChange(ReplicaPart part, const StoreChange& change);
  void OnConfigurationEntry(const StoreEntry& entry);
  void OnRegistrations(const std::vector<StoreEntry>& entries,
                       bool was_unreachable);
  void OnRegistrationChange(const StoreChange& change);
  void OnNodes(const std::vector<StoreEntry>& entries, bool was_unreachable);
  // The process or its host was paused for this long.
  void OnPause(Duration pause);
  // Watches of a store that does not answer may never return.
  void OnStoreSilent();
  bool IsReady() const;
  void CheckSettingsFile();
  void ContinueStopping();
  std::string MetricsPage() const;

  GatewaySettings settings_;
  std::string settings_path_;
  int64_t settings_changed_at_ = 0;
  const Clock& clock_;
  OutputLog& log_;
  GMainLoop* loop_;
  GlibTimerQueue timers_;
  HttpClient http_;
  platform::StoreAdapter store_;
  StoreRetryQueue store_retry_queue_;
  platform::EndpointAdapter endpoint_adapter_;
  platform::StageAdapter stage_adapter_;
  EndpointRegistry endpoints_;
  RepeatBudget repeats_;
  RepeatBudget stage_repeats_;
  StageCoordinator coordinator_;
  NodeDirectory nodes_;
  FrameDialer dialer_;
  StageRelay stages_;
  StageService stage_service_;
  NodeRegistration node_registration_;
  Gateway gateway_;
  RegistrationReconciler registrations_;
  StoreReplica replica_;
  ReplicaService replica_service_;
  ReplicaSources sources_;
  std::unique_ptr<TcpListener> peers_;
  std::unique_ptr<TcpListener> subscribers_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> readiness_;
  std::unique_ptr<HttpServer> metrics_;
  std::unique_ptr<Timer> settings_timer_;
  std::unique_ptr<Timer> stop_timer_;
  std::unique_ptr<Timer> node_read_timer_;
  bool is_stopping_ = false;
  TimePoint stop_requested_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_DAEMONS_GATEWAY_PROCESS_H_
