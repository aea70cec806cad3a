#include "standins/peridotmill-standin/servers/model_loader.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "standins/peridotmill-standin/http/wake_timer.h"

namespace peridotmill::standin {

struct ModelLoader::Reading {
  ModelLoader* loader = nullptr;
  std::string model;
  SoupMessage* message = nullptr;
};

ModelLoader::ModelLoader(std::string weights,
                         std::chrono::milliseconds load_time,
                         std::function<void(const std::string&)> on_loaded)
    : weights_(std::move(weights)),
      load_time_(load_time),
      on_loaded_(std::move(on_loaded)),
      session_(soup_session_new()) {}

ModelLoader::~ModelLoader() {
  g_object_unref(session_);
}

void ModelLoader::Load(const std::string& model) {
  if (!loading_.insert(model).second) {
    return;
  }
  if (weights_.empty()) {
    FinishLater(model);
  } else {
    ReadWeights(model);
  }
}

void ModelLoader::Cancel(const std::string& model) {
  loading_.erase(model);
}

void ModelLoader::ReadWeights(const std::string& model) {
  const std::string url = "http://" + weights_ + "/v1/weights/" + model;
  SoupMessage* message = soup_message_new("GET", url.c_str());
  if (message == nullptr) {
    loading_.erase(model);
    return;
  }
  auto reading = std::make_unique<Reading>(Reading{this, model, message});
  soup_session_send_and_read_async(session_, message, G_PRIORITY_DEFAULT,
                                   nullptr, OnRead, reading.release());
}

void ModelLoader::OnRead(GObject* source, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<Reading> reading(static_cast<Reading*>(data));
  GBytes* bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(source), result, nullptr);
  const bool is_read =
      bytes != nullptr &&
      soup_message_get_status(reading->message) == SOUP_STATUS_OK;
  const char* text = soup_message_headers_get_one(
      soup_message_get_response_headers(reading->message), "Retry-After");
  const int64_t wait_s =
      text == nullptr ? 1 : g_ascii_strtoll(text, nullptr, 10);
  if (bytes != nullptr) {
    g_bytes_unref(bytes);
  }
  g_object_unref(reading->message);
  ModelLoader* loader = reading->loader;
  if (is_read) {
    loader->FinishLater(reading->model);
    return;
  }
  CallLater(std::chrono::seconds(std::max<int64_t>(wait_s, 1)),
            [loader, model = reading->model] {
              if (loader->loading_.contains(model)) {
                loader->ReadWeights(model);
              }
            });
}

void ModelLoader::FinishLater(const std::string& model) {
  CallLater(load_time_, [this, model] {
    if (loading_.erase(model) > 0) {
      on_loaded_(model);
    }
  });
}

}  // namespace peridotmill::standin
