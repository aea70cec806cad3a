#include "peridotmill_net/endpoints/open_attempt.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "peridotmill_net/endpoints/endpoint_client.h"

namespace peridotmill {
namespace {

constexpr gsize kReadBytes = 65'536;
constexpr int kHttpOk = 200;

// Keeps the attempt alive while a GIO operation refers to it.
gpointer Hold(const std::shared_ptr<OpenAttempt>& attempt) {
  return new std::shared_ptr<OpenAttempt>(attempt);
}

std::shared_ptr<OpenAttempt> Release(gpointer data) {
  const std::unique_ptr<std::shared_ptr<OpenAttempt>> held(
      static_cast<std::shared_ptr<OpenAttempt>*>(data));
  return *held;
}

}  // namespace

OpenAttempt::OpenAttempt(EndpointClient& client, const StartAttempt& command)
    : client_(client),
      command_(command),
      stream_(command.attempt),
      cancellable_(g_cancellable_new()) {}

void OpenAttempt::Send(SoupSession* session) {
  const std::string url = "http://" + command_.address + command_.path;
  message_.reset(soup_message_new(SOUP_METHOD_POST, url.c_str()));
  const auto milliseconds = std::max<int64_t>(
      1,
      std::chrono::ceil<std::chrono::milliseconds>(command_.timeout).count());
  timeout_.Start(
      static_cast<guint>(milliseconds),
      [](gpointer data) {
        auto* self = static_cast<OpenAttempt*>(data);
        self->has_timed_out_ = true;
        g_cancellable_cancel(self->cancellable_.get());
      },
      this);
  if (!message_) {
    // A timeout of zero keeps the promise that events never arrive from
    // within a call.
    g_cancellable_cancel(cancellable_.get());
    timeout_.Start(
        0, [](gpointer data) { static_cast<OpenAttempt*>(data)->OnBroken(); },
        this);
    return;
  }
  if (command_.is_idempotent) {
    // Reuses idle connections; libsoup may then repeat a call whose
    // connection was closed, which only idempotent calls allow.
    soup_message_add_flags(message_.get(), SOUP_MESSAGE_IDEMPOTENT);
  }
  client_.AddHeaders(message_.get());
  SoupMessageHeaders* headers =
      soup_message_get_request_headers(message_.get());
  soup_message_headers_replace(headers, "X-Attempt-Id",
                               command_.attempt.value().c_str());
  if (!command_.action_key.empty()) {
    soup_message_headers_replace(headers, "X-Action-Key",
                                 command_.action_key.c_str());
  }
  const BytesPointer body(
      g_bytes_new(command_.body.data(), command_.body.size()));
  soup_message_set_request_body_from_bytes(message_.get(), "application/json",
                                           body.get());
  g_signal_connect(message_.get(), "starting",
                   G_CALLBACK(+[](SoupMessage*, gpointer data) {
                     static_cast<OpenAttempt*>(data)->may_have_left_ = true;
                   }),
                   this);
  soup_session_send_async(session, message_.get(), G_PRIORITY_DEFAULT,
                          cancellable_.get(), &OpenAttempt::OnSent,
                          Hold(shared_from_this()));
}

void OpenAttempt::Abandon() {
  is_abandoned_ = true;
  timeout_.Stop();
  if (message_) {
    g_signal_handlers_disconnect_by_data(message_.get(), this);
  }
  g_cancellable_cancel(cancellable_.get());
}

void OpenAttempt::OnSent(GObject* source, GAsyncResult* result, gpointer data) {
  const std::shared_ptr<OpenAttempt> self = Release(data);
  GError* error = nullptr;
  self->input_.reset(
      soup_session_send_finish(SOUP_SESSION(source), result, &error));
  const ErrorPointer owned_error(error);
  if (self->is_abandoned_) {
    return;
  }
  if (!self->input_) {
    self->OnBroken();
    return;
  }
  self->ReadMore();
}

void OpenAttempt::ReadMore() {
  g_input_stream_read_bytes_async(input_.get(), kReadBytes, G_PRIORITY_DEFAULT,
                                  cancellable_.get(), &OpenAttempt::OnRead,
                                  Hold(shared_from_this()));
}

void OpenAttempt::OnRead(GObject* source, GAsyncResult* result, gpointer data) {
  const std::shared_ptr<OpenAttempt> self = Release(data);
  GError* error = nullptr;
  const BytesPointer bytes(
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, &error));
  const ErrorPointer owned_error(error);
  if (self->is_abandoned_) {
    return;
  }
  if (!bytes) {
    self->OnBroken();
  } else if (g_bytes_get_size(bytes.get()) == 0) {
    self->OnEnd();
  } else {
    self->OnBytes(ViewOf(bytes.get()));
  }
}

void OpenAttempt::OnBytes(std::string_view bytes) {
  received_ += bytes.size();
  if (received_ > kMaxAnswerBytes) {
    OnBroken();
    return;
  }
  const bool is_stream =
      command_.is_stream && soup_message_get_status(message_.get()) == kHttpOk;
  if (!is_stream) {
    body_ += bytes;
    ReadMore();
    return;
  }
  std::vector<AttemptFragment> fragments;
  stream_.Read(bytes, fragments);
  for (AttemptFragment& fragment : fragments) {
    client_.sink_(std::move(fragment));
    if (is_abandoned_) {
      return;
    }
  }
  if (stream_.is_complete()) {
    // The engine may hold the connection open after its last event.
    OnEnd();
  } else if (stream_.is_malformed()) {
    OnBroken();
  } else {
    ReadMore();
  }
}

void OpenAttempt::OnEnd() {
  const int status = static_cast<int>(soup_message_get_status(message_.get()));
  if (command_.is_stream && status == kHttpOk) {
    if (stream_.is_complete() && !stream_.is_malformed()) {
      Finish(AttemptOutcome::kCompleted, stream_.echoed_attempt(), "");
    } else {
      OnBroken();
    }
    return;
  }
  CallAnswer answer = ReadCallAnswer(status, body_);
  Finish(answer.outcome, answer.echoed_attempt, std::move(body_));
}

void OpenAttempt::OnBroken() {
  if (!may_have_left_) {
    Finish(AttemptOutcome::kNotSent, command_.attempt.value(), "");
  } else {
    Finish(has_timed_out_ ? AttemptOutcome::kLate
                          : AttemptOutcome::kOutcomeUnknown,
           command_.attempt.value(), "");
  }
}

void OpenAttempt::Finish(AttemptOutcome outcome,
                         const std::string& echoed_attempt,
                         std::string body) {
  AttemptFinished event;
  event.attempt = command_.attempt;
  event.echoed_attempt = echoed_attempt;
  event.outcome = outcome;
  event.body = std::move(body);
  event.prompt_tokens = stream_.prompt_tokens();
  event.output_tokens = stream_.output_tokens();
  const std::shared_ptr<OpenAttempt> self = shared_from_this();
  Abandon();
  client_.Finish(command_.attempt, std::move(event));
}

}  // namespace peridotmill
