#ifndef PERIDOTMILL_NET_SOUP_SOUP_POINTERS_H_
#define PERIDOTMILL_NET_SOUP_SOUP_POINTERS_H_

#include <libsoup/soup.h>

#include <memory>
#include <string>
#include <string_view>

#include "peridotmill_net/glib/object_ptr.h"

namespace peridotmill {

struct BytesUnref {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using BytesPointer = std::unique_ptr<GBytes, BytesUnref>;

struct ErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};
using ErrorPointer = std::unique_ptr<GError, ErrorFree>;

inline std::string_view ViewOf(GBytes* bytes) {
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  return {data, size};
}

inline std::string TextOf(const char* text) {
  return text == nullptr ? std::string() : std::string(text);
}

// A timeout of the default main context that ends with its owner.
class ScopedTimeout {
 public:
  ScopedTimeout() = default;
  ScopedTimeout(const ScopedTimeout&) = delete;
  ScopedTimeout& operator=(const ScopedTimeout&) = delete;
  ~ScopedTimeout() { Stop(); }

  // Calls `callback(data)` once after `milliseconds`, replacing any timeout
  // that is still pending.
  void Start(guint milliseconds, GSourceOnceFunc callback, gpointer data) {
    Stop();
    callback_ = callback;
    data_ = data;
    source_ = g_timeout_add(
        milliseconds,
        [](gpointer self) -> gboolean {
          auto* timeout = static_cast<ScopedTimeout*>(self);
          timeout->source_ = 0;
          timeout->callback_(timeout->data_);
          return G_SOURCE_REMOVE;
        },
        this);
  }

  void Stop() {
    if (source_ != 0) {
      g_source_remove(source_);
      source_ = 0;
    }
  }

 private:
  guint source_ = 0;
  GSourceOnceFunc callback_ = nullptr;
  gpointer data_ = nullptr;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_SOUP_SOUP_POINTERS_H_
