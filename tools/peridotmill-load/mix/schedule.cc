#include "tools/peridotmill-load/mix/schedule.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_core/maths/random.h"

namespace peridotmill::load {
namespace {

constexpr size_t kMarkerDigits = 20;

double FactorAt(const Mix& mix, Duration at) {
  double factor = 1;
  for (const Burst& burst : mix.bursts) {
    if (at >= burst.from && at < burst.to) {
      factor *= burst.factor;
    }
  }
  return factor;
}

double MaxFactor(const Mix& mix) {
  double factor = 1;
  for (const Burst& burst : mix.bursts) {
    factor = std::max(factor, FactorAt(mix, burst.from));
  }
  return factor;
}

size_t DrawClass(const Mix& mix, double total_weight, Random& random) {
  double draw = random.Unit() * total_weight;
  for (size_t i = 0; i < mix.classes.size(); ++i) {
    draw -= mix.classes[i].weight;
    if (draw < 0) {
      return i;
    }
  }
  return mix.classes.size() - 1;
}

// Words from a seed, `bytes` long.
std::string Filler(uint64_t seed, int32_t bytes) {
  constexpr char kLetters[] = "etaoinshrdlu";
  Random random(seed);
  std::string text;
  while (static_cast<int32_t>(text.size()) < bytes) {
    const uint64_t length = 3 + random.Below(6);
    for (uint64_t i = 0; i < length; ++i) {
      text += kLetters[random.Below(sizeof(kLetters) - 1)];
    }
    text += ' ';
  }
  text.resize(static_cast<size_t>(std::max(bytes, 0)));
  return text;
}

std::string MakePrompt(const RequestClass& one,
                       const std::string& marker,
                       uint64_t seed) {
  const int32_t shared = std::min(one.shared_prefix_bytes, one.prompt_bytes);
  std::string prompt = Filler(Hash64(one.name), shared);
  prompt += "[m=" + marker + "] ";
  if (one.output_tokens > 0) {
    prompt += "[tokens=" + std::to_string(one.output_tokens) + "] ";
  }
  return prompt + Filler(seed, one.prompt_bytes - shared);
}

// Gives out entry nodes in turn.
class EntryTurns {
 public:
  EntryTurns(const std::vector<Entry>& entries, Placement placement)
      : entries_(entries), placement_(placement) {}

  size_t Next(const std::string& domain) {
    const bool is_sticky = placement_ == Placement::kSticky && Has(domain);
    size_t& turn = turns_[is_sticky ? domain : ""];
    for (;;) {
      const size_t at = turn++ % entries_.size();
      if (!is_sticky || entries_[at].domain == domain) {
        return at;
      }
    }
  }

 private:
  bool Has(const std::string& domain) const {
    return std::any_of(
        entries_.begin(), entries_.end(),
        [&](const Entry& entry) { return entry.domain == domain; });
  }

  const std::vector<Entry>& entries_;
  Placement placement_;
  std::map<std::string, size_t> turns_;
};

// The same action again through another entry node, if there is one.
Planned MakeRepeat(const Planned& first,
                   const RequestClass& one,
                   size_t entries,
                   Random& random) {
  Planned repeat = first;
  repeat.is_repeat = true;
  repeat.at += std::chrono::duration_cast<Duration>(one.max_repeat_delay *
                                                    random.Unit());
  if (entries > 1) {
    repeat.entry = (first.entry + 1 + random.Below(entries - 1)) % entries;
  }
  return repeat;
}

}  // namespace

std::vector<Planned> MakeSchedule(const Mix& mix,
                                  const std::vector<Entry>& entries,
                                  Placement placement) {
  std::vector<Planned> schedule;
  if (entries.empty() || mix.classes.empty()) {
    return schedule;
  }
  Random random(static_cast<uint64_t>(mix.seed));
  EntryTurns turns(entries, placement);
  double total_weight = 0;
  for (const RequestClass& one : mix.classes) {
    total_weight += one.weight;
  }
  // Arrivals are drawn at the highest rate and thinned to the current one.
  const double max_factor = MaxFactor(mix);
  const double max_rate = mix.rate_per_second * max_factor;
  double seconds = 0;
  for (;;) {
    seconds += -std::log(1 - random.Unit()) / max_rate;
    const auto at = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
    if (at >= mix.duration) {
      break;
    }
    if (random.Unit() * max_factor >= FactorAt(mix, at)) {
      continue;
    }
    Planned planned;
    planned.at = at;
    planned.request_class = DrawClass(mix, total_weight, random);
    const RequestClass& one = mix.classes[planned.request_class];
    planned.entry = turns.Next(one.domain);
    planned.marker = random.HexToken().substr(0, kMarkerDigits);
    planned.prompt = MakePrompt(one, planned.marker, random.Next());
    if (one.form == RequestForm::kAction) {
      planned.key = random.HexToken();
    }
    schedule.push_back(planned);
    if (random.Unit() < one.repeat_probability) {
      schedule.push_back(MakeRepeat(planned, one, entries.size(), random));
    }
  }
  std::stable_sort(
      schedule.begin(), schedule.end(),
      [](const Planned& a, const Planned& b) { return a.at < b.at; });
  return schedule;
}

}  // namespace peridotmill::load
