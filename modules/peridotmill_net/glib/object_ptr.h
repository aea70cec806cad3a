#ifndef PERIDOTMILL_NET_GLIB_OBJECT_PTR_H_
#define PERIDOTMILL_NET_GLIB_OBJECT_PTR_H_

#include <glib-object.h>

#include <memory>

namespace peridotmill {

struct ObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

// Owns one reference to a GObject.
template <typename T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_GLIB_OBJECT_PTR_H_
