#ifndef PERIDOTMILL_HTTP_SOCKETS_DELETE_LATER_H_
#define PERIDOTMILL_HTTP_SOCKETS_DELETE_LATER_H_

#include <glib.h>

#include <memory>

namespace peridotmill {

// Destroys `object` in a later iteration of the default GLib main loop, so that
// its owner may release it during one of the object's own callbacks.
template <typename T>
void DeleteLater(std::unique_ptr<T> object) {
  if (object == nullptr) {
    return;
  }
  g_idle_add_full(
      G_PRIORITY_HIGH, [](gpointer) -> gboolean { return G_SOURCE_REMOVE; },
      object.release(),
      [](gpointer data) { std::unique_ptr<T>(static_cast<T*>(data)); });
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_SOCKETS_DELETE_LATER_H_
