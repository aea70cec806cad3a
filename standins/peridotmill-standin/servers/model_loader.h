#ifndef STANDINS_SERVERS_MODEL_LOADER_H_
#define STANDINS_SERVERS_MODEL_LOADER_H_

#include <libsoup/soup.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace peridotmill::standin {

// Loads models: reads the weight store, again after a refusal by its rate
// limit, and then takes the load time. Lives until the process ends.
class ModelLoader {
 public:
  // `weights` is the weight store's address; empty loads without it.
  ModelLoader(std::string weights,
              std::chrono::milliseconds load_time,
              std::function<void(const std::string&)> on_loaded);
  ModelLoader(const ModelLoader&) = delete;
  ModelLoader& operator=(const ModelLoader&) = delete;
  ~ModelLoader();

  // `model` is "model@version"; a load in progress is not started again.
  void Load(const std::string& model);
  void Cancel(const std::string& model);

 private:
  struct Reading;

  void ReadWeights(const std::string& model);
  static void OnRead(GObject* source, GAsyncResult* result, gpointer data);
  void FinishLater(const std::string& model);

  std::string weights_;
  std::chrono::milliseconds load_time_;
  std::function<void(const std::string&)> on_loaded_;
  std::set<std::string> loading_;
  SoupSession* session_;
};

}  // namespace peridotmill::standin

#endif  // STANDINS_SERVERS_MODEL_LOADER_H_
