// Stand-ins for the platform's store, its servers and its clients, and a child
// process for the gateway. Header-only, POSIX sockets and threads. All
// addresses are on loopback.
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

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline double NowMs() {
  static const auto start = SteadyClock::now();
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - start)
      .count();
}
inline void SleepMs(double ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline bool IsTroubled() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// The case's record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {
    NowMs();
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    va_list args;
    va_start(args, format);
    char text[4096];
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ != nullptr) {
      fprintf(file_, "%9.1f %s\n", NowMs(), text);
      fflush(file_);
    }
    printf("%9.1f %s\n", NowMs(), text);
    fflush(stdout);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

// ---------------------------------------------------------------- sockets

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a listening socket, and its port in `port` (0 picks a free one).
inline int Listen(int& port, int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (receive_buffer > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  sockaddr_in address = LoopbackAddress(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// Returns the first of `count` consecutive free ports.
inline int FreePorts(int count) {
  static int next = 20000 + (getpid() * 37) % 9000;
  while (next < 32000) {
    const int first = next;
    bool all_free = true;
    for (int i = 0; i < count && all_free; ++i) {
      int port = first + i;
      const int fd = Listen(port);
      all_free = fd >= 0;
      if (fd >= 0) close(fd);
    }
    next += count;
    if (all_free) return first;
  }
  return -1;
}

inline std::string LowerCase(std::string text) {
  for (char& c : text) c = static_cast<char>(tolower(c));
  return text;
}

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Of a response: how it ended.
  bool is_complete = false;
  std::string end;  // "complete", "closed", "reset", "timeout", "malformed"
  std::string raw;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers)
      if (LowerCase(key) == LowerCase(name)) return value;
    return "";
  }
  bool Has(const std::string& name) const {
    for (const auto& [key, value] : headers)
      if (LowerCase(key) == LowerCase(name)) return true;
    return false;
  }
  std::string method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string target() const {
    const size_t a = first_line.find(' ');
    return first_line.substr(a + 1, first_line.rfind(' ') - a - 1);
  }
  std::string path() const {
    const std::string t = target();
    return t.substr(0, t.find('?'));
  }
  std::string Query(const std::string& name) const {
    const std::string t = target();
    const size_t q = t.find('?');
    if (q == std::string::npos) return "";
    std::stringstream list(t.substr(q + 1));
    std::string entry;
    while (std::getline(list, entry, '&')) {
      if (entry.rfind(name + "=", 0) != 0) continue;
      std::string out;
      const std::string in = entry.substr(name.size() + 1);
      for (size_t i = 0; i < in.size(); ++i) {
        if (in[i] == '%' && i + 2 < in.size()) {
          out += static_cast<char>(strtol(in.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          out += in[i];
        }
      }
      return out;
    }
    return "";
  }
  int status() const {
    const size_t a = first_line.find(' ');
    return a == std::string::npos ? 0 : atoi(first_line.c_str() + a + 1);
  }
};

// A blocking connection with deadlines and a read buffer.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(int port, int receive_buffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    sockaddr_in address = LoopbackAddress(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  void Reset() {
    if (fd_ >= 0) {
      const linger l = {1, 0};
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
    }
    Close();
  }
  bool Write(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<size_t>(n);
    }
    return true;
  }
  // Reads once into the buffer. Returns "", or why nothing came.
  std::string Fill(double until_ms) {
    pollfd p = {fd_, POLLIN, 0};
    const double left = until_ms - NowMs();
    if (left <= 0 || poll(&p, 1, static_cast<int>(left) + 1) <= 0)
      return "timeout";
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, std::min(sizeof(bytes), read_size_), 0);
    if (n == 0) return "closed";
    if (n < 0) return errno == ETIMEDOUT ? "timed_out_by_peer" : "reset";
    buffer_.append(bytes, static_cast<size_t>(n));
    return "";
  }
  void set_read_size(size_t size) { read_size_ = size; }
  // Returns whether the other side has ended the connection.
  bool IsEnded() const {
    char c;
    const ssize_t n = recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN);
  }

  // Reads a message. `on_progress` is called after each read of body bytes with
  // the number of body bytes so far.
  Message Read(double until_ms,
               bool is_response,
               const std::function<void(const std::string& body)>& on_progress =
                   nullptr) {
    Message message;
    size_t head_end;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      message.end = Fill(until_ms);
      if (!message.end.empty()) {
        message.raw = buffer_;
        return message;
      }
    }
    std::stringstream head(buffer_.substr(0, head_end));
    buffer_.erase(0, head_end + 4);
    std::string line;
    std::getline(head, message.first_line);
    if (!message.first_line.empty() && message.first_line.back() == '\r')
      message.first_line.pop_back();
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      size_t start = colon + 1;
      while (start < line.size() && line[start] == ' ') ++start;
      message.headers.emplace_back(line.substr(0, colon), line.substr(start));
    }
    if (is_response && (message.status() == 204 || message.status() == 304 ||
                        no_body_)) {
      message.is_complete = true;
      message.end = "complete";
      return message;
    }
    if (LowerCase(message.Header("Transfer-Encoding")) == "chunked") {
      while (true) {
        size_t eol;
        while ((eol = buffer_.find("\r\n")) == std::string::npos)
          if (!(message.end = Fill(until_ms)).empty()) return message;
        const size_t size = strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < eol + 2 + size + 2)
          if (!(message.end = Fill(until_ms)).empty()) {
            const size_t have = std::min(size, buffer_.size() - eol - 2);
            message.body += buffer_.substr(eol + 2, have);
            return message;
          }
        message.body += buffer_.substr(eol + 2, size);
        buffer_.erase(0, eol + 2 + size + 2);
        if (on_progress) on_progress(message.body);
        if (size == 0) break;
      }
    } else if (message.Has("Content-Length")) {
      const size_t size = strtoul(message.Header("Content-Length").c_str(),
                                  nullptr, 10);
      while (buffer_.size() < size) {
        if (on_progress) on_progress(buffer_);
        if (!(message.end = Fill(until_ms)).empty()) {
          message.body = std::move(buffer_);
          buffer_.clear();
          return message;
        }
      }
      message.body = buffer_.substr(0, size);
      buffer_.erase(0, size);
    } else if (is_response) {
      while ((message.end = Fill(until_ms)).empty())
        if (on_progress) on_progress(buffer_);
      message.body = std::move(buffer_);
      buffer_.clear();
      if (message.end != "closed") return message;
    }
    message.is_complete = true;
    message.end = "complete";
    return message;
  }
  void set_no_body(bool no_body) { no_body_ = no_body; }

 private:
  int fd_;
  std::string buffer_;
  size_t read_size_ = 65536;
  bool no_body_ = false;
};

// Runs a handler for each connection in a thread of its own.
class ThreadServer {
 public:
  using Handler = std::function<void(Connection&)>;
  explicit ThreadServer(Handler handler, int port = 0, int receive_buffer = 0)
      : handler_(std::move(handler)), port_(port) {
    fd_ = Listen(port_, receive_buffer);
    thread_ = std::thread([this] {
      while (!is_stopping_) {
        pollfd p = {fd_, POLLIN, 0};
        if (poll(&p, 1, 50) <= 0) continue;
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        ++open_;
        std::thread([this, fd] {
          {
            Connection connection(fd);
            handler_(connection);
          }
          --open_;
        }).detach();
      }
      close(fd_);
    });
  }
  // Threads of open connections end with the process.
  ~ThreadServer() {
    is_stopping_ = true;
    thread_.join();
  }
  int port() const { return port_; }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(port_);
  }

 private:
  Handler handler_;
  int port_;
  int fd_ = -1;
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> open_{0};
  std::thread thread_;
};

inline std::string MakeResponse(
    int status,
    const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& headers = {}) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// ---------------------------------------------------------------- the store

inline std::string Base64(const std::string& in) {
  static const char* const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t v = static_cast<unsigned char>(in[i]) << 16;
    if (i + 1 < in.size()) v |= static_cast<unsigned char>(in[i + 1]) << 8;
    if (i + 2 < in.size()) v |= static_cast<unsigned char>(in[i + 2]);
    out += digits[v >> 18 & 63];
    out += digits[v >> 12 & 63];
    out += i + 1 < in.size() ? digits[v >> 6 & 63] : '=';
    out += i + 2 < in.size() ? digits[v & 63] : '=';
  }
  return out;
}

// The platform's store: items, watches, transactions and leases, linearizable.
class Store {
 public:
  Store() : server_([this](Connection& c) { Serve(c); }) {}

  std::string address() const { return server_.address(); }

  // Writes as the operator or a server. Returns when it is acknowledged.
  int64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int64_t revision = PutLocked(key, Base64(value), 0);
    changed_.notify_all();
    return revision;
  }
  void Delete(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    DeleteLocked(key);
    changed_.notify_all();
  }
  std::vector<std::string> Keys(const std::string& prefix) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_)
      if (key.rfind(prefix, 0) == 0) keys.push_back(key);
    return keys;
  }

 private:
  struct Item {
    std::string value;
    int64_t revision, created, lease;
  };
  struct Event {
    int64_t revision;
    std::string key;
    json body;
  };

  json ItemJson(const std::string& key, const Item& item) const {
    return {{"key", key},           {"value", item.value},
            {"revision", item.revision}, {"created-rev", item.created},
            {"lease", item.lease}};
  }
  int64_t PutLocked(const std::string& key, const std::string& value,
                    int64_t lease) {
    ++revision_;
    const auto found = items_.find(key);
    const int64_t created =
        found == items_.end() ? revision_ : found->second.created;
    items_[key] = {value, revision_, created, lease};
    events_.push_back({revision_, key, ItemJson(key, items_[key])});
    return revision_;
  }
  void DeleteLocked(const std::string& key) {
    if (items_.erase(key) == 0) return;
    ++revision_;
    events_.push_back(
        {revision_, key,
         {{"key", key}, {"revision", revision_}, {"removed", true}}});
  }
  void ExpireLeases() {
    const double now = NowMs();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (lease->second.second > now) {
        ++lease;
        continue;
      }
      EndLease(lease->first);
      lease = leases_.erase(lease);
    }
  }
  void EndLease(int64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_)
      if (item.lease == id) keys.push_back(key);
    for (const std::string& key : keys) DeleteLocked(key);
    changed_.notify_all();
  }

  void Serve(Connection& connection) {
    while (true) {
      const Message request = connection.Read(NowMs() + 120000, false);
      if (!request.is_complete) return;
      const std::string response = Answer(request);
      if (!connection.Write(response)) return;
    }
  }
  static std::string Reply(int status, const json& body) {
    return MakeResponse(status, body.dump(),
                        {{"Content-Type", "application/json"}});
  }
  std::string Answer(const Message& request) {
    std::unique_lock<std::mutex> lock(mutex_);
    ExpireLeases();
    const std::string path = request.path();
    if (path == "/kv-range") {
      const std::string prefix = request.Query("path-prefix");
      const std::string after = request.Query("after");
      json items = json::array();
      for (const auto& [key, item] : items_)
        if (key.rfind(prefix, 0) == 0 && key > after)
          items.push_back(ItemJson(key, item));
      return Reply(200, {{"items", items},
                         {"has-more", false},
                         {"store-revision", revision_}});
    }
    if (path == "/kv-key") {
      const auto found = items_.find(request.Query("key"));
      if (found == items_.end()) return Reply(404, json::object());
      json body = ItemJson(found->first, found->second);
      body["store-revision"] = revision_;
      return Reply(200, body);
    }
    if (path == "/kv-watch") {
      const std::string prefix = request.Query("path-prefix");
      const int64_t after = atoll(request.Query("after").c_str());
      const double until = NowMs() + atof(request.Query("wait-ms").c_str());
      while (true) {
        ExpireLeases();
        json events = json::array();
        for (const Event& event : events_)
          if (event.revision > after && event.key.rfind(prefix, 0) == 0)
            events.push_back(event.body);
        if (!events.empty() || NowMs() >= until)
          return Reply(200,
                       {{"events", events}, {"store-revision", revision_}});
        changed_.wait_for(lock, std::chrono::milliseconds(50));
      }
    }
    if (path == "/kv-txn") {
      const json body = json::parse(request.body, nullptr, false);
      for (const json& put : body.value("puts", json::array())) {
        const int64_t lease = put.value("lease", int64_t{0});
        if (lease != 0 && !leases_.contains(lease))
          return Reply(404, json::object());
      }
      for (const json& put : body.value("puts", json::array()))
        PutLocked(put["key"], put["value"], put.value("lease", int64_t{0}));
      for (const json& key : body.value("deletes", json::array()))
        DeleteLocked(key);
      changed_.notify_all();
      return Reply(200, {{"revision", revision_}});
    }
    if (path == "/kv-lease") {
      const json body = json::parse(request.body, nullptr, false);
      const double ttl = body.value("ttl-ms", 1000.0);
      const int64_t id = ++next_lease_;
      leases_[id] = {ttl, NowMs() + ttl};
      return Reply(200, {{"lease", id}, {"ttl-ms", ttl}});
    }
    if (path.rfind("/kv-keep/", 0) == 0) {
      const auto found = leases_.find(atoll(path.c_str() + 9));
      if (found == leases_.end()) return Reply(404, json::object());
      found->second.second = NowMs() + found->second.first;
      return Reply(200,
                   {{"lease", found->first}, {"ttl-ms", found->second.first}});
    }
    if (path.rfind("/kv-lease-end/", 0) == 0) {
      const int64_t id = atoll(path.c_str() + 14);
      if (leases_.erase(id) == 0) return Reply(404, json::object());
      EndLease(id);
      return Reply(200, json::object());
    }
    return Reply(404, json::object());
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  int64_t revision_ = 1;
  int64_t next_lease_ = 100;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  // Time to live and expiry of each lease.
  std::map<int64_t, std::pair<double, double>> leases_;
  ThreadServer server_;
};

// ---------------------------------------------------------------- the gateway

// The process that deploy/system.toml runs, with a settings file of its own.
class Gateway {
 public:
  // The working directory is the repository's root.
  Gateway(const std::string& folder, const std::string& node,
          const std::string& zone, const std::string& store)
      : folder_(folder), node_(node), first_port_(FreePorts(8)) {
    const auto at = [this](int i) {
      return "127.0.0.1:" + std::to_string(first_port_ + i);
    };
    std::ofstream(settings_path())
        << "node = \"" << node << "\"\nrole = \"entry\"\n"
        << "machine-class = \"front\"\nserves = [\"front\"]\n"
        << "ip = \"127.0.0.1\"\nzone = \"" << zone << "\"\nregion = \"r\"\n"
        << "internal-ports = [" << first_port_ + 3 << "," << first_port_ + 7
        << "]\nseeds = []\nbootstrap = true\ndiscovery = \"platform\"\n"
        << "entry = \"vip\"\nheartbeat-ms = 1200\n[listen]\nfront = \"" << at(0)
        << "\"\nready = \"" << at(1) << "\"\n[limits]\ncpu-share = 0.25\n"
        << "cores = 1\nmemory-mb = 260\nmax-fds = 4100\n[bounds]\n"
        << "seed-lag-s = 3\nreuse-after-s = 2\nstable-window-ms = 3000\n"
        << "drain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\n"
        << "config-apply-ms = 2000\nbudget-ratio = 0.2\nbudget-window-s = 10\n"
        << "budget-slack = 58\n[platform]\naddress = \"" << store
        << "\"\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\n"
        << "history-s = 20\nvalue-bytes = 1048576\nttl-min-ms = 1000\n";
  }
  ~Gateway() { Kill(); }

  std::string settings_path() const {
    return folder_ + "/" + node_ + ".boot.toml";
  }
  std::string log_path() const { return folder_ + "/" + node_ + ".log"; }
  int port() const { return first_port_; }
  pid_t pid() const { return pid_; }

  void Start() {
    pid_ = fork();
    if (pid_ != 0) return;
    // The process ends with the case, whatever ends that.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    const std::string variable = "PERIDOTMILL_BOOT=" + settings_path();
    const std::string path =
        std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "");
    char* const environment[] = {const_cast<char*>(variable.c_str()),
                                 const_cast<char*>(path.c_str()), nullptr};
    const char* const program =
        "target/daemons/peridotmill-gateway/peridotmill-gateway";
    char* const arguments[] = {const_cast<char*>(program), nullptr};
    execve(program, arguments, environment);
    _exit(127);
  }
  // Waits for a 200 of the readiness check.
  bool WaitReady(double timeout_ms = 10000) const {
    const double until = NowMs() + timeout_ms;
    while (NowMs() < until) {
      if (const auto connection = Connection::Open(first_port_ + 1)) {
        connection->Write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        if (connection->Read(NowMs() + 1000, true).status() == 200) return true;
      }
      SleepMs(50);
    }
    return false;
  }
  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }
  // Returns the exit status if the process has ended by itself.
  bool HasEnded(int* status = nullptr) {
    if (pid_ <= 0) return true;
    int s = 0;
    if (waitpid(pid_, &s, WNOHANG) != pid_) return false;
    pid_ = -1;
    if (status != nullptr) *status = s;
    return true;
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    pid_ = -1;
  }

 private:
  std::string folder_;
  std::string node_;
  int first_port_;
  pid_t pid_ = -1;
};

// The folder is removed by Exit().
inline std::string& TemporaryFolder() {
  static std::string path;
  return path;
}
inline std::string MakeTemporaryFolder() {
  std::string path = (std::filesystem::temp_directory_path() /
                      "peridotmill-review-XXXXXX")
                         .string();
  TemporaryFolder() = mkdtemp(path.data());
  return TemporaryFolder();
}
// Ends the process without waiting for its threads. Gateways end with it.
[[noreturn]] inline void Exit(int status) {
  std::error_code error;
  if (!TemporaryFolder().empty())
    std::filesystem::remove_all(TemporaryFolder(), error);
  _exit(status);
}

inline std::string Registration(const std::string& service,
                                const std::string& address,
                                const std::string& zone, int slots = 64,
                                const std::string& state = "ready") {
  return json{{"service", service}, {"address", address}, {"zone", zone},
              {"version", "1"},     {"slots", slots},     {"state", state},
              {"cold-left-ms", 0},  {"seq", 1},           {"born", 1700000000000}}
      .dump();
}

}  // namespace review
