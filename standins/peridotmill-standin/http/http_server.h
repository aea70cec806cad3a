#ifndef STANDINS_HTTP_HTTP_SERVER_H_
#define STANDINS_HTTP_HTTP_SERVER_H_

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace peridotmill::standin {

// One request and its answer. All calls after the caller has gone do nothing.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  explicit Exchange(SoupServerMessage* message);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange();

  std::string method() const;
  std::string path() const;
  std::string query() const;
  std::string body() const;
  // Empty when absent.
  std::string Header(const char* name) const;
  bool is_open() const { return message_ != nullptr; }

  void SetHeader(const char* name, const std::string& value);
  void Answer(int status,
              const std::string& body,
              const char* content_type = "application/json");
  void BeginStream(const char* content_type);
  void Write(const std::string& data);
  void EndStream();
  // Breaks the connection.
  void Cut();

  // Called when the connection ends before the answer is complete, by the
  // caller or by Cut().
  void set_on_gone(std::function<void()> on_gone);

  // Used by HttpServer only.
  void Detach();

 private:
  SoupServerMessage* message_;
  bool is_complete_ = false;
  bool is_cut_ = false;
  std::function<void()> on_gone_;
};

// Listens at one address and hands out exchanges on the main loop.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  HttpServer(std::string address, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  // Returns an error text, empty on success. Does nothing when listening.
  std::string Listen();
  // Refuses connections and breaks the open ones.
  void Close();
  bool is_listening() const { return is_listening_; }

 private:
  static void OnRequest(SoupServer* server,
                        SoupServerMessage* message,
                        const char* path,
                        GHashTable* query,
                        gpointer data);
  static void OnEnd(SoupServerMessage* message, gpointer data);

  std::string address_;
  Handler handler_;
  SoupServer* server_;
  bool is_listening_ = false;
  std::unordered_set<std::shared_ptr<Exchange>> open_;
};

}  // namespace peridotmill::standin

#endif  // STANDINS_HTTP_HTTP_SERVER_H_
