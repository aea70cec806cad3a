#include "peridotmill_limits/queues/fair_queue.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Keeps virtual times finite for teams whose share is close to nothing.
constexpr double kMinShare = 1e-3;
// Work that is expected to take no time still counts in the fair order.
constexpr double kMinCostMs = 0.1;

double CostOf(const QueuedWork& work) {
  return std::max(kMinCostMs, ToMilliseconds(work.cost));
}

size_t RankOf(const QueuedWork& work) {
  const auto level = static_cast<size_t>(
      std::clamp(work.level, 0, static_cast<int32_t>(kQueueLevels) - 1));
  return 2 * level + (work.is_over_share ? 1 : 0);
}

double FinishOf(const FairQueue& queue, const QueuedWork& work) {
  const auto team = queue.teams.find(work.team);
  const double start =
      team == queue.teams.end()
          ? queue.virtual_time
          : std::max(queue.virtual_time, team->second.last_finish);
  return start + CostOf(work) / std::max(kMinShare, work.share);
}

void Link(FairQueue& queue, int64_t ticket, const QueueEntry& entry) {
  QueueRank& rank = queue.ranks[entry.rank];
  rank.order.insert({entry.finish, ticket});
  rank.cost += CostOf(entry.item.work);
  if (entry.rank > 0) {
    queue.by_promotion.emplace(entry.promoted_at + kTimePerRank, ticket);
  }
}

void Unlink(FairQueue& queue, int64_t ticket, const QueueEntry& entry) {
  QueueRank& rank = queue.ranks[entry.rank];
  rank.order.erase({entry.finish, ticket});
  // Sums of fractions drift; an empty rank starts anew.
  rank.cost = rank.order.empty() ? 0 : rank.cost - CostOf(entry.item.work);
  if (entry.rank > 0) {
    queue.by_promotion.erase({entry.promoted_at + kTimePerRank, ticket});
  }
}

// Moves work that has waited long enough to the next rank.
void Promote(FairQueue& queue, TimePoint now) {
  while (!queue.by_promotion.empty() &&
         queue.by_promotion.begin()->first <= now) {
    const auto [due, ticket] = *queue.by_promotion.begin();
    QueueEntry& entry = queue.entries.at(ticket);
    Unlink(queue, ticket, entry);
    --entry.rank;
    entry.promoted_at = due;
    Link(queue, ticket, entry);
  }
}

QueuedItem Extract(FairQueue& queue, int64_t ticket) {
  const auto found = queue.entries.find(ticket);
  Unlink(queue, ticket, found->second);
  QueuedItem item = std::move(found->second.item);
  queue.by_latest_start.erase({item.work.latest_start, ticket});
  queue.entries.erase(found);
  const auto team = queue.teams.find(item.work.team);
  // With self-clocked virtual time, a team whose work was all served has no
  // finish time ahead of the clock, so nothing is lost with its state.
  if (--team->second.queued == 0) {
    queue.teams.erase(team);
  }
  return item;
}

std::optional<int64_t> FirstTicket(const FairQueue& queue) {
  for (const QueueRank& rank : queue.ranks) {
    if (!rank.order.empty()) {
      return rank.order.begin()->second;
    }
  }
  return std::nullopt;
}

// The work that would be served last; the queue must not be empty.
int64_t LastTicket(const FairQueue& queue) {
  size_t rank = kQueueRanks;
  while (rank > 0 && queue.ranks[rank - 1].order.empty()) {
    --rank;
  }
  return queue.ranks[rank - 1].order.rbegin()->second;
}

bool GoesBefore(const FairQueue& queue,
                const QueuedWork& work,
                int64_t ticket) {
  const QueueEntry& entry = queue.entries.at(ticket);
  const size_t rank = RankOf(work);
  return rank < entry.rank ||
         (rank == entry.rank && FinishOf(queue, work) < entry.finish);
}

}  // namespace

FairQueue MakeFairQueue(int32_t capacity) {
  FairQueue queue;
  queue.capacity = static_cast<size_t>(std::max(0, capacity));
  return queue;
}

EnqueueResult Enqueue(FairQueue& queue, QueuedWork work, TimePoint now) {
  EnqueueResult result;
  if (!HasPlace(queue, work, now)) {
    return result;
  }
  if (queue.entries.size() >= queue.capacity) {
    result.displaced = Extract(queue, LastTicket(queue));
  }
  const int64_t ticket = queue.next_ticket++;
  QueueEntry entry;
  entry.finish = FinishOf(queue, work);
  entry.rank = RankOf(work);
  entry.promoted_at = now;
  QueueTeam& team = queue.teams[work.team];
  ++team.queued;
  team.last_finish = entry.finish;
  queue.by_latest_start.emplace(work.latest_start, ticket);
  entry.item = {QueueTicket(ticket), std::move(work), now};
  Link(queue, ticket,
       queue.entries.emplace(ticket, std::move(entry)).first->second);
  result.ticket = QueueTicket(ticket);
  return result;
}

const QueuedItem* PeekNext(FairQueue& queue, TimePoint now) {
  Promote(queue, now);
  const std::optional<int64_t> ticket = FirstTicket(queue);
  return ticket ? &queue.entries.at(*ticket).item : nullptr;
}

std::optional<QueuedItem> PopNext(FairQueue& queue, TimePoint now) {
  Promote(queue, now);
  const std::optional<int64_t> ticket = FirstTicket(queue);
  if (!ticket) {
    return std::nullopt;
  }
  queue.virtual_time =
      std::max(queue.virtual_time, queue.entries.at(*ticket).finish);
  return Extract(queue, *ticket);
}

bool RemoveQueued(FairQueue& queue, QueueTicket ticket) {
  if (!queue.entries.contains(ticket.value())) {
    return false;
  }
  Extract(queue, ticket.value());
  return true;
}

std::vector<QueuedItem> TakeExpired(FairQueue& queue, TimePoint now) {
  std::vector<QueuedItem> expired;
  while (!queue.by_latest_start.empty() &&
         queue.by_latest_start.begin()->first < now) {
    expired.push_back(Extract(queue, queue.by_latest_start.begin()->second));
  }
  return expired;
}

std::optional<TimePoint> NextExpiry(const FairQueue& queue) {
  if (queue.by_latest_start.empty()) {
    return std::nullopt;
  }
  // TakeExpired() removes what is strictly past.
  return queue.by_latest_start.begin()->first + Duration(1);
}

Duration WorkAhead(FairQueue& queue, const QueuedWork& work, TimePoint now) {
  Promote(queue, now);
  const size_t rank = RankOf(work);
  double cost = 0;
  for (size_t i = 0; i < rank; ++i) {
    cost += queue.ranks[i].cost;
  }
  const QueueRank& own = queue.ranks[rank];
  if (!own.order.empty()) {
    // The number ahead is exact; their cost is taken as the rank's mean.
    const size_t ahead =
        own.order.order_of_key({FinishOf(queue, work), queue.next_ticket});
    cost += own.cost * static_cast<double>(ahead) /
            static_cast<double>(own.order.size());
  }
  return FromMilliseconds(cost);
}

bool HasPlace(FairQueue& queue, const QueuedWork& work, TimePoint now) {
  Promote(queue, now);
  if (queue.entries.size() < queue.capacity) {
    return true;
  }
  return queue.capacity > 0 && GoesBefore(queue, work, LastTicket(queue));
}

}  // namespace peridotmill
