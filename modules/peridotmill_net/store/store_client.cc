#include "peridotmill_net/store/store_client.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "peridotmill_net/glib/object_ptr.h"
#include "peridotmill_net/store/store_codec.h"

namespace peridotmill {
namespace {

constexpr gsize kReadSize = 64 << 10;
// libsoup's default of 2 connections to a host would queue calls behind
// watches.
constexpr int kMaxConnections = 128;

bool IsCancelled(const GError* error) {
  return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED);
}

bool IsAddress(const std::string& address) {
  const std::string uri = "http://" + address;
  GUri* const parsed = g_uri_parse(uri.c_str(), G_URI_FLAGS_NONE, nullptr);
  if (parsed == nullptr) {
    return false;
  }
  const bool ok = g_uri_get_port(parsed) > 0 &&
                  !std::string_view(g_uri_get_host(parsed)).empty() &&
                  std::string_view(g_uri_get_path(parsed)).empty();
  g_uri_unref(parsed);
  return ok;
}

}  // namespace

class StoreClient::State {
 public:
  explicit State(std::vector<std::string> addresses)
      : addresses_(std::move(addresses)),
        session_(soup_session_new_with_options("max-conns",
                                               kMaxConnections,
                                               "max-conns-per-host",
                                               kMaxConnections,
                                               // Each call has its own timeout.
                                               "timeout",
                                               0,
                                               nullptr)) {
    // The store is on the deployment's own network, whatever the environment
    // says about proxies.
    soup_session_set_proxy_resolver(session_.get(), nullptr);
  }

  SoupSession* session() const { return session_.get(); }
  const std::string& address() const { return addresses_[current_]; }
  size_t address_count() const { return addresses_.size(); }
  void UseNextAddress() { current_ = (current_ + 1) % addresses_.size(); }

  std::set<std::shared_ptr<Exchange>>& exchanges() { return exchanges_; }

 private:
  std::vector<std::string> addresses_;
  size_t current_ = 0;
  ObjectPtr<SoupSession> session_;
  std::set<std::shared_ptr<Exchange>> exchanges_;
};

// One call. GLib callbacks hold a reference until they have run.
class StoreClient::Exchange
    : public std::enable_shared_from_this<StoreClient::Exchange> {
 public:
  Exchange(std::weak_ptr<State> state, StoreRequest request, Done done)
      : state_(std::move(state)),
        request_(std::move(request)),
        encoded_(EncodeStoreRequest(request_)),
        done_(std::move(done)),
        cancellable_(g_cancellable_new()) {}

  ~Exchange() { RemoveTimer(); }

  void Start(State& state, Duration timeout) {
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    timer_ =
        g_timeout_add(static_cast<guint>(std::clamp<int64_t>(ms, 0, G_MAXINT)),
                      OnTimeout, this);
    tries_left_ = state.address_count();
    Send(state);
  }

  // Stops without an answer.
  void Cancel() {
    done_ = nullptr;
    RemoveTimer();
    g_cancellable_cancel(cancellable_.get());
  }

 private:
  using Shared = std::shared_ptr<Exchange>;

  // Hands one reference to a GLib callback.
  gpointer Hold() { return new Shared(shared_from_this()); }
  static Shared Release(gpointer data) {
    const std::unique_ptr<Shared> held(static_cast<Shared*>(data));
    return *held;
  }

  void Send(State& state) {
    --tries_left_;
    address_ = state.address();
    message_.reset(soup_message_new(
        "POST", ("http://" + address_ + encoded_.path).c_str()));
    soup_message_add_flags(message_.get(), SOUP_MESSAGE_NO_REDIRECT);
    // libsoup repeats idempotent requests by itself. A repeated write would
    // answer a conflict with its own first copy.
    if (IsRead(request_)) {
      soup_message_add_flags(message_.get(), SOUP_MESSAGE_IDEMPOTENT);
    }
    GBytes* const body =
        g_bytes_new(encoded_.body.data(), encoded_.body.size());
    soup_message_set_request_body_from_bytes(message_.get(), "application/json",
                                             body);
    g_bytes_unref(body);
    g_signal_connect(message_.get(), "starting", G_CALLBACK(OnStarting), this);
    soup_session_send_async(state.session(), message_.get(), G_PRIORITY_DEFAULT,
                            cancellable_.get(), OnHeaders, Hold());
  }

  static void OnStarting(SoupMessage* message, gpointer self) {
    (void)message;
    static_cast<Exchange*>(self)->sent_ = true;
  }

  static gboolean OnTimeout(gpointer data) {
    const Shared self = static_cast<Exchange*>(data)->shared_from_this();
    self->timer_ = 0;
    self->FailWithoutAnswer();
    return G_SOURCE_REMOVE;
  }

  static void OnHeaders(GObject* session, GAsyncResult* result, gpointer data) {
    const Shared self = Release(data);
    GError* error = nullptr;
    self->stream_.reset(
        soup_session_send_finish(SOUP_SESSION(session), result, &error));
    if (error != nullptr) {
      self->OnSendFailed(error);
      g_error_free(error);
      return;
    }
    const auto status = soup_message_get_status(self->message_.get());
    if (status != SOUP_STATUS_OK) {
      self->Fail(StatusOfHttpError(self->request_, static_cast<int>(status)));
      return;
    }
    self->Read();
  }

  void OnSendFailed(const GError* error) {
    const auto state = state_.lock();
    if (state == nullptr || done_ == nullptr || IsCancelled(error)) {
      return;
    }
    LeaveAddress(*state);
    if (!sent_ && tries_left_ > 0) {
      Send(*state);
      return;
    }
    FailWithoutAnswer();
  }

  void Read() {
    if (done_ == nullptr) {
      return;
    }
    g_input_stream_read_bytes_async(stream_.get(), kReadSize,
                                    G_PRIORITY_DEFAULT, cancellable_.get(),
                                    OnRead, Hold());
  }

  static void OnRead(GObject* stream, GAsyncResult* result, gpointer data) {
    const Shared self = Release(data);
    GError* error = nullptr;
    GBytes* const bytes = g_input_stream_read_bytes_finish(
        G_INPUT_STREAM(stream), result, &error);
    if (error != nullptr) {
      g_error_free(error);
      self->FailWithoutAnswer();
      return;
    }
    gsize size = 0;
    const auto* const text =
        static_cast<const char*>(g_bytes_get_data(bytes, &size));
    self->body_.append(text != nullptr ? text : "", size);
    g_bytes_unref(bytes);
    self->OnBody(/*complete=*/size == 0);
  }

  void OnBody(bool complete) {
    if (body_.size() > kMaxStoreAnswer) {
      FailWithoutAnswer();
      return;
    }
    if (std::holds_alternative<StoreWatch>(request_)) {
      ReadWatchLines(complete);
      return;
    }
    if (!complete) {
      Read();
      return;
    }
    if (auto answer = DecodeStoreAnswer(request_, body_)) {
      Finish(std::move(*answer));
    } else {
      FailWithoutAnswer();
    }
  }

  void ReadWatchLines(bool complete) {
    const std::string_view lines = body_;
    size_t start = 0;
    for (size_t end = body_.find('\n'); end != std::string::npos;
         end = body_.find('\n', start)) {
      auto answer = DecodeWatchLine(lines.substr(start, end - start));
      if (!answer || answer->has_value()) {
        Finish(answer ? std::move(**answer) : StoreAnswer());
        return;
      }
      start = end + 1;
    }
    body_.erase(0, start);
    if (complete) {
      FailWithoutAnswer();
    } else {
      Read();
    }
  }

  void FailWithoutAnswer() { Fail(StatusWithoutAnswer(request_, sent_)); }

  // Later calls start with the next server, unless another call has moved on.
  void LeaveAddress(State& state) const {
    if (state.address() == address_) {
      state.UseNextAddress();
    }
  }

  void Fail(StoreStatus status) {
    const auto state = state_.lock();
    // A watch without a change until its timeout is no fault of the server.
    if (state != nullptr && done_ != nullptr &&
        !std::holds_alternative<StoreWatch>(request_)) {
      LeaveAddress(*state);
    }
    StoreAnswer answer;
    answer.status = status;
    Finish(std::move(answer));
  }

  // The callers hold a reference, so that removal from the client's set does
  // not delete this.
  void Finish(StoreAnswer answer) {
    if (done_ == nullptr) {
      return;
    }
    const Done done = std::exchange(done_, nullptr);
    RemoveTimer();
    g_cancellable_cancel(cancellable_.get());
    if (const auto state = state_.lock()) {
      state->exchanges().erase(shared_from_this());
    }
    done(std::move(answer));
  }

  void RemoveTimer() {
    if (timer_ != 0) {
      g_source_remove(std::exchange(timer_, 0));
    }
  }

  std::weak_ptr<State> state_;
  StoreRequest request_;
  StoreHttpRequest encoded_;
  Done done_;
  ObjectPtr<GCancellable> cancellable_;
  ObjectPtr<SoupMessage> message_;
  ObjectPtr<GInputStream> stream_;
  std::string address_;
  std::string body_;
  size_t tries_left_ = 0;
  guint timer_ = 0;
  // Whether a byte of the request may have left.
  bool sent_ = false;
};

StoreClient::StoreClient(std::shared_ptr<State> state)
    : state_(std::move(state)) {}

StoreClient::~StoreClient() {
  for (const auto& exchange : std::exchange(state_->exchanges(), {})) {
    exchange->Cancel();
  }
}

Result<std::unique_ptr<StoreClient>> StoreClient::Create(
    std::vector<std::string> addresses) {
  if (addresses.empty() ||
      !std::all_of(addresses.begin(), addresses.end(), IsAddress)) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  return std::unique_ptr<StoreClient>(
      new StoreClient(std::make_shared<State>(std::move(addresses))));
}

void StoreClient::Call(const StoreRequest& request,
                       Duration timeout,
                       Done done) {
  auto exchange = std::make_shared<Exchange>(state_, request, std::move(done));
  state_->exchanges().insert(exchange);
  exchange->Start(*state_, timeout);
}

size_t StoreClient::open_calls() const {
  return state_->exchanges().size();
}

}  // namespace peridotmill
