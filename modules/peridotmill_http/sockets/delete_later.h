#ifndef PERIDOTMILL_HTTP_SOCKETS_DELETE_LATER_H_
#define PERIDOTMILL_HTTP_SOCKETS_DELETE_LATER_H_

#include <glib.h>

#include <memory>

namespace peridotmill {

// Destroys an object from the main loop, so that one of its own callbacks may
// give it up.
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
