// Stand-ins for one small deployment on loopback: the platform's store, the
// operator, servers and clients, beside real gateway processes. Written from
// the users' pages for the review cases; blocking sockets, one thread for each
// connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Headers = std::vector<std::pair<std::string, std::string>>;

inline int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}
inline int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline void SleepUntil(int64_t at) { SleepMs(at - NowMs()); }

// record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
      fprintf(file_, "%7.3f %s\n", static_cast<double>(NowMs()) / 1000, text);
      fflush(file_);
    }
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};
#define RECORD(...) lab::Record::Get().Line(__VA_ARGS__)

[[noreturn]] inline void CannotRun(const std::string& why) {
  RECORD("the case can't run: %s", why.c_str());
  fprintf(stderr, "the case can't run: %s\n", why.c_str());
  fflush(nullptr);
  _exit(2);
}

inline bool SameName(const std::string& a, const std::string& b) {
  return strcasecmp(a.c_str(), b.c_str()) == 0;
}
inline std::string Find(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers)
    if (SameName(key, name)) return value;
  return "";
}

struct Message {
  std::string first;  // request line or status line
  Headers headers;
  std::string body;
  std::string method, target;
  int status = 0;
  bool is_complete = false;
  std::string Header(const std::string& name) const {
    return Find(headers, name);
  }
};

// A connection with buffered reading.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {
    const int one = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Connection() { Close(); }
  int descriptor() const { return descriptor_; }
  void Close() {
    if (descriptor_ >= 0) close(descriptor_);
    descriptor_ = -1;
  }
  // Resets the connection, as the end of a crashed process does.
  void Reset() {
    const linger reset = {1, 0};
    if (descriptor_ >= 0)
      setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    Close();
  }
  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n = send(descriptor_, bytes.data() + sent,
                             bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<size_t>(n);
    }
    return true;
  }
  // Whether the other side has closed or reset the connection.
  bool IsGone() const {
    char byte;
    const ssize_t n = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
  }
  // Reads one message until `deadline`. Returns false if the connection ends or
  // times out before a head is there. `is_complete` tells whether all of the
  // body came.
  bool Read(Message& message, bool is_response, int64_t deadline,
            const std::function<bool()>& stops = nullptr) {
    message = Message();
    size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!Fill(deadline, stops)) return false;
    std::istringstream head(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::getline(head, message.first);
    if (!message.first.empty()) message.first.pop_back();
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    std::istringstream first(message.first);
    if (is_response) {
      std::string version;
      first >> version >> message.status;
    } else {
      first >> message.method >> message.target;
    }
    if (SameName(message.Header("Transfer-Encoding"), "chunked")) {
      while (true) {
        size_t line;
        while ((line = buffer_.find("\r\n")) == std::string::npos)
          if (!Fill(deadline, stops)) return true;
        const size_t size = strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < line + 2 + size + 2)
          if (!Fill(deadline, stops)) return true;
        message.body += buffer_.substr(line + 2, size);
        buffer_.erase(0, line + 2 + size + 2);
        if (size == 0) break;
      }
      message.is_complete = true;
      return true;
    }
    const std::string length = message.Header("Content-Length");
    if (length.empty() && is_response) {
      while (Fill(deadline, stops)) {
      }
      message.body = buffer_;
      buffer_.clear();
      message.is_complete = is_ended_;
      return true;
    }
    const size_t size = strtoul(length.c_str(), nullptr, 10);
    while (buffer_.size() < size)
      if (!Fill(deadline, stops)) return true;
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    message.is_complete = true;
    return true;
  }

 private:
  bool Fill(int64_t deadline, const std::function<bool()>& stops) {
    while (true) {
      if (stops && stops()) return false;
      const int64_t left = deadline - NowMs();
      if (left <= 0) return false;
      pollfd event = {descriptor_, POLLIN, 0};
      const int ready =
          poll(&event, 1, static_cast<int>(std::min<int64_t>(left, 5)));
      if (ready > 0) break;
    }
    char bytes[16384];
    const ssize_t n = recv(descriptor_, bytes, sizeof(bytes), 0);
    is_ended_ = n == 0;
    if (n <= 0) return false;
    buffer_.append(bytes, static_cast<size_t>(n));
    return true;
  }

  int descriptor_;
  std::string buffer_;
  bool is_ended_ = false;
};

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens on a loopback port and runs `handler` in a thread for each
// connection.
class Listener {
 public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;
  ~Listener() { Stop(); }
  void Start(int port, Handler handler) {
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address = LoopbackAddress(port);
    if (bind(descriptor_, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(descriptor_, 512) != 0)
      CannotRun("no free port");
    socklen_t size = sizeof(address);
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    is_stopped_ = false;
    thread_ = std::thread([this, handler] {
      while (!is_stopped_) {
        pollfd event = {descriptor_, POLLIN, 0};
        if (poll(&event, 1, 20) <= 0) continue;
        const int accepted =
            accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) continue;
        std::thread(handler, std::make_shared<Connection>(accepted)).detach();
      }
    });
  }
  void Stop() {
    is_stopped_ = true;
    if (thread_.joinable()) thread_.join();
    if (descriptor_ >= 0) close(descriptor_);
    descriptor_ = -1;
  }
  int port() const { return port_; }

 private:
  int descriptor_ = -1;
  int port_ = 0;
  std::atomic<bool> is_stopped_{false};
  std::thread thread_;
};

inline std::string Json(const std::string& text) {
  std::string result = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') result += '\\';
    result += c;
  }
  return result + "\"";
}
// Returns the text or number of a field of a small JSON object; enough for what
// the gateway sends to the store.
inline std::string Field(const std::string& json, const std::string& name) {
  const size_t at = json.find("\"" + name + "\"");
  if (at == std::string::npos) return "";
  size_t begin = json.find(':', at) + 1;
  while (begin < json.size() && json[begin] == ' ') ++begin;
  if (json[begin] == '"')
    return json.substr(begin + 1, json.find('"', begin + 1) - begin - 1);
  return json.substr(begin, json.find_first_of(",}]", begin) - begin);
}
inline std::string Base64(const std::string& bytes) {
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    const auto byte = [&](size_t j) -> unsigned {
      return j < bytes.size() ? static_cast<unsigned char>(bytes[j]) : 0;
    };
    const unsigned group = byte(i) << 16 | byte(i + 1) << 8 | byte(i + 2);
    text += digits[group >> 18];
    text += digits[group >> 12 & 63];
    text += i + 1 < bytes.size() ? digits[group >> 6 & 63] : '=';
    text += i + 2 < bytes.size() ? digits[group & 63] : '=';
  }
  return text;
}
inline std::string Unescape(const std::string& text) {
  std::string result;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(
          strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}
inline std::string Response(int status, const std::string& body,
                            const Headers& headers = {}) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// The platform's store.
class Store {
 public:
  void Start() {
    listener_.Start(0, [this](auto connection) { Serve(*connection, false); });
    second_listener_.Start(0,
                           [this](auto connection) { Serve(*connection, true); });
    std::thread([this] {
      while (true) {
        SleepMs(100);
        const std::lock_guard lock(mutex_);
        for (auto lease = leases_.begin(); lease != leases_.end();)
          lease = lease->second.second < NowMs() ? EndLease(lease)
                                                 : std::next(lease);
      }
    }).detach();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(listener_.port());
  }
  // The same store on a path that may be cut: while it is, nothing that is sent
  // over it gets an answer.
  std::string second_address() const {
    return "127.0.0.1:" + std::to_string(second_listener_.port());
  }
  void set_is_second_cut(bool is_cut) { is_second_cut_ = is_cut; }
  // As the operator or a server.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    Write(key, Base64(value), 0);
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (items_.count(key) == 0) return;
    ++revision_;
    Erase(key);
  }

 private:
  struct Item {
    std::string value;
    int64_t revision, created, lease;
  };
  struct Event {
    std::string key;
    int64_t revision;
    bool is_removed;
    Item item;
  };
  using Leases = std::map<int64_t, std::pair<int64_t, int64_t>>;

  void Write(const std::string& key, const std::string& value, int64_t lease) {
    const auto found = items_.find(key);
    const Item item = {value, revision_,
                       found == items_.end() ? revision_ : found->second.created,
                       lease};
    items_[key] = item;
    history_.push_back({key, revision_, false, item});
    changed_.notify_all();
  }
  void Erase(const std::string& key) {
    items_.erase(key);
    history_.push_back({key, revision_, true, {}});
    changed_.notify_all();
  }
  Leases::iterator EndLease(Leases::iterator lease) {
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_)
      if (item.lease == lease->first) keys.push_back(key);
    if (!keys.empty()) ++revision_;
    for (const auto& key : keys) Erase(key);
    return leases_.erase(lease);
  }
  static std::string Text(const std::string& key, const Item& item) {
    return "{\"key\":" + Json(key) + ",\"value\":\"" + item.value +
           "\",\"revision\":" + std::to_string(item.revision) +
           ",\"created-rev\":" + std::to_string(item.created) +
           ",\"lease\":" + std::to_string(item.lease) + "}";
  }
  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    const size_t mark = target.find('?');
    if (mark == std::string::npos) return query;
    std::istringstream parts(target.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');) {
      const size_t equal = part.find('=');
      if (equal != std::string::npos)
        query[part.substr(0, equal)] = Unescape(part.substr(equal + 1));
    }
    return query;
  }
  void Serve(Connection& connection, bool is_second) {
    Message request;
    while (connection.Read(request, false, NowMs() + 600000)) {
      while (is_second && is_second_cut_) {
        if (connection.IsGone()) return;
        SleepMs(2);
      }
      const std::string answer = Answer(request, connection);
      while (is_second && is_second_cut_) {
        if (connection.IsGone()) return;
        SleepMs(2);
      }
      if (answer.empty() || !connection.Send(answer)) return;
    }
  }
  std::string Answer(const Message& request, Connection& connection) {
    auto query = Query(request.target);
    const std::string path = request.target.substr(0, request.target.find('?'));
    std::unique_lock lock(mutex_);
    const std::string prefix = query["path-prefix"];
    if (path == "/kv-range") {
      std::string items;
      for (const auto& [key, item] : items_)
        if (key.rfind(prefix, 0) == 0 && key > query["after"])
          items += (items.empty() ? "" : ",") + Text(key, item);
      return Response(200, "{\"items\":[" + items +
                               "],\"has-more\":false,\"store-revision\":" +
                               std::to_string(revision_) + "}");
    }
    if (path == "/kv-watch") {
      const int64_t after = atoll(query["after"].c_str());
      const int64_t end = NowMs() + atoll(query["wait-ms"].c_str());
      while (true) {
        std::string events;
        for (const Event& event : history_)
          if (event.revision > after && event.key.rfind(prefix, 0) == 0)
            events += (events.empty() ? "" : ",") +
                      (event.is_removed
                           ? "{\"key\":" + Json(event.key) + ",\"revision\":" +
                                 std::to_string(event.revision) +
                                 ",\"removed\":true}"
                           : Text(event.key, event.item));
        if (!events.empty() || NowMs() >= end)
          return Response(200, "{\"events\":[" + events +
                                   "],\"store-revision\":" +
                                   std::to_string(revision_) + "}");
        changed_.wait_for(lock, std::chrono::milliseconds(20));
        if (connection.IsGone()) return "";
      }
    }
    if (path == "/kv-lease") {
      const int64_t ttl = atoll(Field(request.body, "ttl-ms").c_str());
      const int64_t id = next_lease_++;
      leases_[id] = {ttl, NowMs() + ttl};
      return Response(200, "{\"lease\":" + std::to_string(id) +
                               ",\"ttl-ms\":" + std::to_string(ttl) + "}");
    }
    const auto leaf = [&] { return atoll(path.substr(path.rfind('/') + 1).c_str()); };
    if (path.rfind("/kv-keep/", 0) == 0) {
      const auto lease = leases_.find(leaf());
      if (lease == leases_.end()) return Response(404, "{}");
      lease->second.second = NowMs() + lease->second.first;
      return Response(200, "{\"ttl-ms\":" + std::to_string(lease->second.first) +
                               "}");
    }
    if (path.rfind("/kv-lease-end/", 0) == 0) {
      const auto lease = leases_.find(leaf());
      if (lease == leases_.end()) return Response(404, "{}");
      EndLease(lease);
      return Response(200, "{}");
    }
    if (path == "/kv-txn") {
      // The gateway writes one key without a condition.
      const std::string key = Field(request.body, "key");
      const int64_t lease = atoll(Field(request.body, "lease").c_str());
      if (lease != 0 && leases_.count(lease) == 0) return Response(404, "{}");
      ++revision_;
      Write(key, Field(request.body, "value"), lease);
      return Response(200, "{\"revision\":" + std::to_string(revision_) + "}");
    }
    if (path == "/kv-key") {
      const auto item = items_.find(query["key"]);
      return item == items_.end() ? Response(404, "{}")
                                  : Response(200, Text(item->first, item->second));
    }
    return Response(404, "{}");
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> history_;
  Leases leases_;
  int64_t revision_ = 1;
  int64_t next_lease_ = 100;
  std::atomic<bool> is_second_cut_{false};
  Listener listener_;
  Listener second_listener_;
};

// Bounds of the small deployments, and of the grown ones.
inline constexpr char kSmallBounds[] =
    "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstable-window-ms = 3000\n"
    "ack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\n"
    "loss-slack-ms = 200\nconfig-apply-ms = 2000\ndowngrade-slack-ms = 250\n"
    "max-skew-ms = 5000\nstrict-revoke = false\nrevoke-ms = 5000\n"
    "budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 58\n"
    "recover-s = 12\npass-ms = 120\nagain-s = 10\n";
inline constexpr char kGrownBounds[] =
    "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstable-window-ms = 4000\n"
    "ack-ms = 6000\ncatch-up-s = 6\ndrain-ms = 3000\ngrace-s = 8\n"
    "loss-slack-ms = 200\nconfig-apply-ms = 3000\ndowngrade-slack-ms = 250\n"
    "max-skew-ms = 6000\nstrict-revoke = false\nrevoke-ms = 5000\n"
    "budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 184\n"
    "recover-s = 15\npass-ms = 200\nagain-s = 10\n";

// One gateway process, started like the deploy file says.
class Gateway {
 public:
  Gateway(std::string program, std::string folder, std::string node,
          std::string zone, int first_port, std::string store,
          const char* bounds = kSmallBounds)
      : program_(std::move(program)),
        node_(std::move(node)),
        settings_(folder + "/" + node_ + ".toml"),
        log_(folder + "/" + node_ + ".log"),
        port_(first_port) {
    std::ofstream file(settings_);
    const auto local = [&](int offset) {
      return "\"127.0.0.1:" + std::to_string(first_port + offset) + "\"";
    };
    file << "node = \"" << node_ << "\"\nrole = \"entry\"\n"
         << "machine-class = \"front\"\nserves = [\"front\"]\n"
         << "ip = \"127.0.0.1\"\nzone = \"" << zone << "\"\n"
         << "region = \"region\"\n"
         << "internal-ports = [" << first_port + 2 << "," << first_port + 9
         << "]\nseeds = []\nbootstrap = true\nin-failure-budget = false\n"
         << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat-ms = 1200\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
            "\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\","
            "\"stages\"]\n"
         << "[listen]\nfront = " << local(0) << "\nready = " << local(1)
         << "\n[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\n"
         << "max-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n"
         << "[tolerate]\nmachines = 1\nzones = 1\nregions = 0\n"
         << bounds
         << "[platform]\naddress = \"" << store << "\"\nform = \"kv\"\n"
         << "writes-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\n"
         << "value-bytes = 1048576\nttl-min-ms = 1000\n";
  }
  ~Gateway() { Kill(); }
  void Start() {
    const pid_t parent = getpid();
    const std::string variable = "PERIDOTMILL_BOOT=" + settings_;
    process_ = fork();
    if (process_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(1);
      const int log =
          open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      char* const arguments[] = {const_cast<char*>(program_.c_str()), nullptr};
      char* const environment[] = {const_cast<char*>(variable.c_str()),
                                   const_cast<char*>("LANG=C"), nullptr};
      execve(program_.c_str(), arguments, environment);
      _exit(1);
    }
    started_at_ = NowMs();
    RECORD("gateway %s started", node_.c_str());
  }
  void Signal(int signal) {
    if (process_ > 0) kill(process_, signal);
  }
  void Kill() {
    if (process_ <= 0) return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = 0;
    RECORD("gateway %s killed", node_.c_str());
  }
  // Whether the process has ended by itself.
  bool HasEnded() {
    if (process_ <= 0) return false;
    int status = 0;
    if (waitpid(process_, &status, WNOHANG) != process_) return false;
    RECORD("gateway %s ended by itself with status %d", node_.c_str(), status);
    process_ = 0;
    return true;
  }
  int port() const { return port_; }
  int ready_port() const { return port_ + 1; }
  const std::string& node() const { return node_; }
  int64_t started_at() const { return started_at_; }

 private:
  std::string program_, node_, settings_, log_;
  int port_;
  pid_t process_ = 0;
  std::atomic<int64_t> started_at_{0};
};

// Returns the first of ten consecutive free ports for each gateway.
inline std::vector<int> FreePorts(int count) {
  std::mt19937 random(std::random_device{}());
  std::vector<int> ports;
  for (int attempt = 0; attempt < 500 && static_cast<int>(ports.size()) < count;
       ++attempt) {
    const int first = 20000 + static_cast<int>(random() % 1000) * 10;
    bool is_free = true;
    for (int p : ports) is_free = is_free && p != first;
    for (int i = 0; i < 10 && is_free; ++i) {
      const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address = LoopbackAddress(first + i);
      is_free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                     sizeof(address)) == 0;
      close(descriptor);
    }
    if (is_free) ports.push_back(first);
  }
  if (static_cast<int>(ports.size()) < count) CannotRun("no free ports");
  return ports;
}

inline std::shared_ptr<Connection> Dial(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(port);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return nullptr;
  }
  return std::make_shared<Connection>(descriptor);
}

inline bool IsReady(const Gateway& gateway) {
  const auto connection = Dial(gateway.ready_port());
  Message answer;
  return connection != nullptr &&
         connection->Send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         connection->Read(answer, true, NowMs() + 1000) && answer.status == 200;
}
inline void WaitUntilReady(std::vector<std::unique_ptr<Gateway>>& gateways,
                           int64_t limit_ms) {
  const int64_t end = NowMs() + limit_ms;
  for (auto& gateway : gateways)
    while (!IsReady(*gateway)) {
      if (NowMs() > end) CannotRun("a gateway doesn't become ready");
      SleepMs(50);
    }
}

// Sends one request on a new connection; status 0 stands for no answer.
inline Message Ask(int port, const std::string& head, const std::string& body,
                   int64_t wait_ms) {
  Message answer;
  const auto connection = Dial(port);
  if (connection == nullptr) return answer;
  if (!connection->Send(head + "Content-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body))
    return answer;
  if (!connection->Read(answer, true, NowMs() + wait_ms)) answer = Message();
  return answer;
}

inline std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char text[20];
  snprintf(text, sizeof(text), "%016llx",
           static_cast<unsigned long long>(random()));
  return text;
}

}  // namespace lab
