#ifndef PERIDOTMILL_HTTP_MEMORY_DESCRIPTOR_LIMITS_H_
#define PERIDOTMILL_HTTP_MEMORY_DESCRIPTOR_LIMITS_H_

#include <cstddef>

namespace peridotmill {

// How many of a process's file descriptors its connections may take.
struct DescriptorLimits {
  // Connections of callers.
  size_t max_callers = 0;
  // Connections of callers and to endpoints together.
  size_t max_callers_and_calls = 0;
};

// Divides `max_descriptors`; the rest is for files, the store and peers.
// Answers crowds that fill all connections, also with requests that are being
// run, each of which takes a second connection: neither keeps the process from
// its store, its peers or its log.
DescriptorLimits PlanDescriptors(size_t max_descriptors);

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_MEMORY_DESCRIPTOR_LIMITS_H_
