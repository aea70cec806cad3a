#ifndef PERIDOTMILL_NET_TESTS_MAIN_LOOP_H_
#define PERIDOTMILL_NET_TESTS_MAIN_LOOP_H_

#include <glib.h>

namespace peridotmill {

// Runs the default main context until `is_done` holds. Bounded by a number of
// iterations, each of which waits 5 ms at most; returns whether it was met.
template <typename Predicate>
bool RunUntil(const Predicate& is_done) {
  constexpr int kMaxIterations = 20'000;
  const guint ticks = g_timeout_add(
      5, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
  bool done = is_done();
  for (int i = 0; i < kMaxIterations && !done; ++i) {
    g_main_context_iteration(nullptr, TRUE);
    done = is_done();
  }
  g_source_remove(ticks);
  return done;
}

// Runs callbacks that are already due.
inline void RunPending() {
  constexpr int kMaxIterations = 100;
  for (int i = 0;
       i < kMaxIterations && g_main_context_iteration(nullptr, FALSE) != FALSE;
       ++i) {
  }
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_TESTS_MAIN_LOOP_H_
