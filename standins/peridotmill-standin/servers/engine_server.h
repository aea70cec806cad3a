#ifndef STANDINS_SERVERS_ENGINE_SERVER_H_
#define STANDINS_SERVERS_ENGINE_SERVER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "standins/peridotmill-standin/servers/load_report.h"
#include "standins/peridotmill-standin/servers/model_loader.h"
#include "standins/peridotmill-standin/servers/stand_in_server.h"

namespace peridotmill::standin {

// A model engine over EngineScheduler.
class EngineServer final : public StandInServer {
 public:
  EngineServer(const StandIn& settings, uint64_t seed);

 protected:
  void Serve(const ExchangePtr& exchange) override;
  void OnFaultsChanged() override;

 private:
  struct Chat {
    ExchangePtr exchange;
    std::string attempt;
    std::string model;
    bool is_stream = false;
    std::string text;
    std::vector<std::string> markers;
    int32_t prompt_tokens = 0;
    int32_t produced = 0;
    // Tokens after which the stream is cut; negative for never.
    int32_t cut_after = -1;
    bool repeats = false;
    bool has_wrong_identity = false;
    bool is_malformed = false;
    // Whether one event of the stream is far too large.
    bool is_oversized = false;
  };

  void AcceptChat(const ExchangePtr& exchange);
  void CancelChat(const ExchangePtr& exchange);
  void AcceptOrder(const ExchangePtr& exchange);
  void AnswerCacheEvents(const ExchangePtr& exchange);
  void DrawStreamFaults(Chat& chat);
  void Run();
  void Deliver(const EngineOutput& output);
  void WriteToken(Chat& chat, const EngineOutput& output);
  void Finish(Chat& chat, int32_t length);
  void End(uint64_t number);
  bool HasModel(const std::string& model) const;
  std::string LoadJson() const;

  EngineScheduler engine_;
  std::map<uint64_t, Chat> chats_;
  std::map<std::string, uint64_t> by_attempt_;
  uint64_t next_number_ = 1;
  std::set<std::string> loaded_models_;
  std::string role_ = "mixed";
  int64_t fence_ = 0;
  uint64_t seed_;
  LoadReport report_;
  ModelLoader loader_;
  WakeTimer timer_;
};

}  // namespace peridotmill::standin

#endif  // STANDINS_SERVERS_ENGINE_SERVER_H_
