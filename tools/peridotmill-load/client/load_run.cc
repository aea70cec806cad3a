#include "tools/peridotmill-load/client/load_run.h"

#include <libsoup/soup.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/peridotmill-standin/http/wake_timer.h"
#include "tools/peridotmill-load/client/stream_reader.h"

namespace peridotmill::load {
namespace {

using nlohmann::json;

constexpr int kMaxConnections = 8000;
constexpr gsize kReadBytes = 1 << 16;

SoupSession* NewSession() {
  return soup_session_new_with_options("max-conns", kMaxConnections,
                                       "max-conns-per-host", kMaxConnections,
                                       nullptr);
}

std::string UrlOf(const RequestClass& one, const Entry& entry) {
  return one.form == RequestForm::kChat
             ? entry.url + "/v1/chat/completions"
             : entry.url + "/v1/pipelines/" + one.pipeline;
}

std::string BodyOf(const RequestClass& one, const Planned& planned) {
  if (one.form == RequestForm::kChat) {
    return json{
        {"model", one.pipeline},
        {"stream", one.stream},
        // Used by engines that are called directly only.
        {"attempt_id", planned.marker},
        {"messages",
         json::array({{{"role", "user"}, {"content", planned.prompt}}})}}
        .dump();
  }
  return json{{"input", planned.prompt}}.dump();
}

class LoadRun;

// One request in flight.
struct Flight {
  LoadRun* run = nullptr;
  size_t index = 0;
  const RequestClass* request_class = nullptr;
  SoupMessage* message = nullptr;
  GInputStream* stream = nullptr;
  TimePoint sent;
  std::string body;
  StreamReader reader;
};

class LoadRun {
 public:
  LoadRun(const Mix& mix,
          const std::vector<Entry>& entries,
          const std::vector<Planned>& schedule,
          Duration drain)
      : mix_(mix),
        entries_(entries),
        schedule_(schedule),
        drain_(drain),
        outcomes_(schedule.size()),
        session_(NewSession()),
        cancellable_(g_cancellable_new()),
        loop_(g_main_loop_new(nullptr, FALSE)),
        timer_([this] { OnTime(); }) {}
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;
  ~LoadRun() {
    g_object_unref(cancellable_);
    g_object_unref(session_);
    g_main_loop_unref(loop_);
  }

  std::vector<Outcome> Run() {
    start_ = standin::LoopNow();
    timer_.Set(start_);
    g_main_loop_run(loop_);
    // Lets the cancelled requests end, so that none outlives this object.
    g_cancellable_cancel(cancellable_);
    while (open_ > 0) {
      g_main_context_iteration(nullptr, TRUE);
    }
    return std::move(outcomes_);
  }

 private:
  void OnTime() {
    const TimePoint now = standin::LoopNow();
    while (next_ < schedule_.size() && start_ + schedule_[next_].at <= now) {
      Send(next_++, now);
    }
    if (next_ < schedule_.size()) {
      timer_.Set(start_ + schedule_[next_].at);
      return;
    }
    const TimePoint end =
        start_ + (schedule_.empty() ? Duration{} : schedule_.back().at) +
        drain_;
    if (open_ == 0 || now >= end) {
      g_main_loop_quit(loop_);
      return;
    }
    timer_.Set(end);
  }

  void Send(size_t index, TimePoint now) {
    const Planned& planned = schedule_[index];
    const RequestClass& one = mix_.classes[planned.request_class];
    SoupMessage* message =
        soup_message_new("POST", UrlOf(one, entries_[planned.entry]).c_str());
    outcomes_[index].sent_late = now - (start_ + planned.at);
    if (message == nullptr) {
      outcomes_[index].ending = Ending::kBroken;
      return;
    }
    const std::string body = BodyOf(one, planned);
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
    SoupMessageHeaders* headers = soup_message_get_request_headers(message);
    soup_message_headers_append(headers, "X-Deadline-Ms",
                                std::to_string(one.deadline.count()).c_str());
    if (!one.token.empty()) {
      soup_message_headers_append(headers, "Authorization",
                                  ("Bearer " + one.token).c_str());
    }
    if (!planned.key.empty()) {
      soup_message_headers_append(headers, "Idempotency-Key",
                                  planned.key.c_str());
    } else {
      // Lets libsoup reuse connections; a broken one may be tried again.
      soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    }
    auto flight = std::make_unique<Flight>();
    flight->run = this;
    flight->index = index;
    flight->request_class = &one;
    flight->message = message;
    flight->sent = standin::LoopNow();
    ++open_;
    soup_session_send_async(session_, message, G_PRIORITY_DEFAULT, cancellable_,
                            OnHeaders, flight.release());
  }

  static void OnHeaders(GObject* source, GAsyncResult* result, gpointer data) {
    std::unique_ptr<Flight> flight(static_cast<Flight*>(data));
    GError* error = nullptr;
    flight->stream =
        soup_session_send_finish(SOUP_SESSION(source), result, &error);
    LoadRun* run = flight->run;
    if (flight->stream == nullptr) {
      const bool is_refused =
          g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
      g_clear_error(&error);
      run->End(*flight, is_refused ? Ending::kNotConnected : Ending::kBroken);
      return;
    }
    run->ReadOn(std::move(flight));
  }

  void ReadOn(std::unique_ptr<Flight> flight) {
    GInputStream* stream = flight->stream;
    g_input_stream_read_bytes_async(stream, kReadBytes, G_PRIORITY_DEFAULT,
                                    cancellable_, OnBytes, flight.release());
  }

  static void OnBytes(GObject* source, GAsyncResult* result, gpointer data) {
    std::unique_ptr<Flight> flight(static_cast<Flight*>(data));
    LoadRun* run = flight->run;
    GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source),
                                                     result, nullptr);
    if (bytes == nullptr) {
      run->End(*flight, Ending::kBroken);
      return;
    }
    gsize size = 0;
    const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    const bool is_end = size == 0;
    if (!is_end) {
      run->Receive(*flight, std::string_view(text, size));
    }
    g_bytes_unref(bytes);
    if (is_end) {
      run->End(*flight, Ending::kAnswered);
    } else {
      run->ReadOn(std::move(flight));
    }
  }

  static bool IsOk(const Flight& flight) {
    return soup_message_get_status(flight.message) == SOUP_STATUS_OK;
  }

  void Receive(Flight& flight, std::string_view bytes) {
    if (flight.request_class->stream && IsOk(flight)) {
      flight.reader.Read(bytes, standin::LoopNow() - flight.sent,
                         outcomes_[flight.index]);
    } else {
      flight.body += bytes;
    }
  }

  void End(Flight& flight, Ending ending) {
    Outcome& outcome = outcomes_[flight.index];
    const std::string& marker = schedule_[flight.index].marker;
    const int32_t tokens = flight.request_class->output_tokens;
    outcome.total = standin::LoopNow() - flight.sent;
    const bool is_cancelled = g_cancellable_is_cancelled(cancellable_) != 0;
    // A refusal may already stand in the stream.
    if (outcome.ending != Ending::kRefused) {
      outcome.ending = is_cancelled ? Ending::kUnanswered : ending;
    }
    if (ending == Ending::kAnswered && !IsOk(flight)) {
      if (!ReadRefusal(flight.body, outcome)) {
        outcome.ending = Ending::kRefused;
        outcome.code =
            "http_" + std::to_string(soup_message_get_status(flight.message));
        outcome.execution = "unknown";
      }
    } else if (flight.request_class->stream && flight.stream != nullptr) {
      flight.reader.Finish(marker, tokens, outcome);
    } else if (ending == Ending::kAnswered) {
      outcome.check = CheckAnswer(flight.body, marker, tokens);
    }
    g_clear_object(&flight.stream);
    g_clear_object(&flight.message);
    --open_;
    if (open_ == 0 && next_ == schedule_.size()) {
      g_main_loop_quit(loop_);
    }
  }

  const Mix& mix_;
  const std::vector<Entry>& entries_;
  const std::vector<Planned>& schedule_;
  Duration drain_;
  std::vector<Outcome> outcomes_;
  SoupSession* session_;
  GCancellable* cancellable_;
  GMainLoop* loop_;
  standin::WakeTimer timer_;
  TimePoint start_;
  size_t next_ = 0;
  size_t open_ = 0;
};

// Empty when the URL cannot be read.
std::string ReadUrl(SoupSession* session, const std::string& url) {
  SoupMessage* message = soup_message_new("GET", url.c_str());
  if (message == nullptr) {
    return "";
  }
  GBytes* bytes =
      soup_session_send_and_read(session, message, nullptr, nullptr);
  std::string text;
  if (bytes != nullptr) {
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    if (data != nullptr) {
      text.assign(data, size);
    }
    g_bytes_unref(bytes);
  }
  g_object_unref(message);
  return text;
}

}  // namespace

std::vector<Outcome> RunSchedule(const Mix& mix,
                                 const std::vector<Entry>& entries,
                                 const std::vector<Planned>& schedule,
                                 Duration drain) {
  return LoadRun(mix, entries, schedule, drain).Run();
}

StandInRuns ReadStandIns(const std::vector<std::string>& urls) {
  StandInRuns runs;
  SoupSession* session = NewSession();
  for (const std::string& url : urls) {
    if (!AddRunsJson(ReadUrl(session, url + "/stand-in/runs"),
                     ReadUrl(session, url + "/stand-in/markers"), runs)) {
      runs.unreadable.push_back(url);
    }
  }
  g_object_unref(session);
  return runs;
}

}  // namespace peridotmill::load
