#ifndef PERIDOTMILL_NET_TESTS_SCRIPTED_SERVER_H_
#define PERIDOTMILL_NET_TESTS_SCRIPTED_SERVER_H_

#include <gio/gio.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "peridotmill_net/glib/object_ptr.h"
#include "peridotmill_net/soup/listen_socket.h"

namespace peridotmill {

// A TCP server on loopback that answers each complete HTTP request with the
// same bytes, right or wrong, and then closes the connection or stays silent.
class ScriptedServer {
 public:
  struct Script {
    std::string answer;
    bool closes = true;
  };

  explicit ScriptedServer(Script script) : script_(std::move(script)) {
    auto listening = BindListenSocket("127.0.0.1:0");
    service_ = std::move(listening->service);
    address_ = "127.0.0.1:" + std::to_string(listening->port);
    g_signal_connect(service_.get(), "incoming", G_CALLBACK(OnIncoming), this);
    g_socket_service_start(service_.get());
  }
  ~ScriptedServer() {
    g_socket_service_stop(service_.get());
    g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
  }

  const std::string& address() const { return address_; }
  // Complete requests, in order of arrival.
  const std::vector<std::string>& requests() const { return requests_; }

  // An HTTP response with a correct length.
  static std::string Response(const std::string& body,
                              const std::string& status = "200 OK") {
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }
  static std::string Chunk(const std::string& data) {
    std::array<char, 20> size;
    g_snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
  }

 private:
  static bool IsComplete(const std::string& request) {
    const size_t end = request.find("\r\n\r\n");
    const size_t field = request.find("Content-Length: ");
    return end != std::string::npos && field != std::string::npos &&
           request.size() >= end + 4 + std::stoul(request.substr(field + 16));
  }

  static gboolean OnIncoming(GSocketService*,
                             GSocketConnection* connection,
                             GObject*,
                             gpointer data) {
    auto* const self = static_cast<ScriptedServer*>(data);
    self->Serve(connection);
    return TRUE;
  }

  void Serve(GSocketConnection* connection) {
    GSocket* const socket = g_socket_connection_get_socket(connection);
    auto client = std::make_shared<Client>();
    client->server = this;
    client->connection.reset(
        static_cast<GSocketConnection*>(g_object_ref(connection)));
    clients_.push_back(client);
    GSource* const source = g_socket_create_source(socket, G_IO_IN, nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(OnReadable), client.get(),
                          nullptr);
    g_source_attach(source, nullptr);
    client->source.reset(source);
  }

  struct SourceDestroy {
    void operator()(GSource* source) const {
      g_source_destroy(source);
      g_source_unref(source);
    }
  };
  struct Client {
    ScriptedServer* server = nullptr;
    ObjectPtr<GSocketConnection> connection;
    std::unique_ptr<GSource, SourceDestroy> source;
    std::string request;
  };

  static gboolean OnReadable(GSocket* socket, GIOCondition, gpointer data) {
    auto* const client = static_cast<Client*>(data);
    std::array<char, 65536> bytes;
    const gssize size =
        g_socket_receive(socket, bytes.data(), bytes.size(), nullptr, nullptr);
    if (size <= 0) {
      return G_SOURCE_REMOVE;
    }
    client->request.append(bytes.data(), static_cast<size_t>(size));
    if (!IsComplete(client->request)) {
      return G_SOURCE_CONTINUE;
    }
    const Script& script = client->server->script_;
    client->server->requests_.push_back(client->request);
    client->request.clear();
    // The client reads in the same loop, so a large answer must not block.
    g_output_stream_write_all_async(
        g_io_stream_get_output_stream(G_IO_STREAM(client->connection.get())),
        script.answer.data(), script.answer.size(), G_PRIORITY_DEFAULT, nullptr,
        OnAnswered,
        script.closes ? g_object_ref(client->connection.get()) : nullptr);
    return script.closes ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
  }

  static void OnAnswered(GObject*, GAsyncResult*, gpointer data) {
    if (data != nullptr) {
      g_io_stream_close(G_IO_STREAM(data), nullptr, nullptr);
      g_object_unref(data);
    }
  }

  Script script_;
  ObjectPtr<GSocketService> service_;
  std::string address_;
  std::vector<std::string> requests_;
  std::vector<std::shared_ptr<Client>> clients_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_TESTS_SCRIPTED_SERVER_H_
