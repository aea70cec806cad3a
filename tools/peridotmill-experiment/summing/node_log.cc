#include "tools/peridotmill-experiment/summing/node_log.h"

#include <algorithm>
#include <sstream>

namespace peridotmill::experiment {
namespace {

constexpr double kMsPerSecond = 1000;

template <typename Function>
void ForEachLine(const std::string& text, Function use) {
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    std::istringstream fields(line);
    use(fields);
  }
}

}  // namespace

NodeLog ReadNodeLog(const std::string& text) {
  NodeLog log;
  ForEachLine(text, [&](std::istringstream& fields) {
    NodeSample sample;
    std::string state;
    if (!(fields >> sample.at_ms >> state)) {
      return;
    }
    sample.is_up = state == "up";
    // A process that is being killed may leave half a line.
    if (!sample.is_up ||
        fields >> sample.incarnation >> sample.revision >> sample.peer_bytes) {
      log.push_back(sample);
    }
  });
  return log;
}

std::vector<Publication> ReadPublications(const std::string& text) {
  std::vector<Publication> publications;
  ForEachLine(text, [&](std::istringstream& fields) {
    Publication one;
    if (fields >> one.at_ms >> one.revision) {
      publications.push_back(one);
    }
  });
  return publications;
}

std::vector<EndpointSample> ReadEndpointLog(const std::string& text) {
  std::vector<EndpointSample> log;
  ForEachLine(text, [&](std::istringstream& fields) {
    EndpointSample sample;
    std::string state;
    if (fields >> sample.at_ms >> state >> sample.load_reads >>
        sample.attempts) {
      sample.is_leaving = state == "leaving";
      log.push_back(sample);
    }
  });
  return log;
}

std::optional<int64_t> InForceMs(const NodeLog& log, const Publication& one) {
  int64_t from = one.at_ms;
  bool was_up = true;
  for (const NodeSample& sample : log) {
    if (sample.at_ms > one.at_ms && sample.is_up && !was_up) {
      from = sample.at_ms;
    }
    was_up = sample.is_up;
    if (sample.is_up && sample.revision >= one.revision) {
      return std::max<int64_t>(sample.at_ms - from, 0);
    }
  }
  return std::nullopt;
}

int64_t CountReverts(const NodeLog& log) {
  int64_t reverts = 0;
  const NodeSample* previous = nullptr;
  for (const NodeSample& sample : log) {
    if (!sample.is_up) {
      continue;
    }
    if (previous != nullptr && previous->incarnation == sample.incarnation &&
        sample.revision < previous->revision) {
      ++reverts;
    }
    previous = &sample;
  }
  return reverts;
}

double PeerBytesPerSecond(const NodeLog& log) {
  int64_t bytes = 0;
  int64_t ms = 0;
  const NodeSample* previous = nullptr;
  for (const NodeSample& sample : log) {
    if (!sample.is_up) {
      continue;
    }
    if (previous != nullptr && previous->incarnation == sample.incarnation) {
      bytes += sample.peer_bytes - previous->peer_bytes;
      ms += sample.at_ms - previous->at_ms;
    }
    previous = &sample;
  }
  return ms == 0 ? 0
                 : static_cast<double>(bytes) * kMsPerSecond /
                       static_cast<double>(ms);
}

int64_t LateNewWorkMs(const std::vector<EndpointSample>& log) {
  const EndpointSample* leaving = nullptr;
  const EndpointSample* previous = nullptr;
  int64_t told_at = -1;
  int64_t late = 0;
  for (const EndpointSample& sample : log) {
    if (told_at < 0 && leaving != nullptr &&
        sample.load_reads > leaving->load_reads) {
      told_at = sample.at_ms;
    } else if (told_at >= 0 && sample.attempts > previous->attempts) {
      late = sample.at_ms - told_at;
    }
    if (leaving == nullptr && sample.is_leaving) {
      leaving = &sample;
    }
    previous = &sample;
  }
  return told_at < 0 ? -1 : late;
}

}  // namespace peridotmill::experiment
