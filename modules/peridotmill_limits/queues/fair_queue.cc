#include "peridotmill_limits/queues/fair_queue.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Keeps virtual times finite for teams whose share is close to zero.
constexpr double kMinTeamShare = 1e-3;
// Work with an expected service time of zero still advances its team's virtual
// finish time.
constexpr double kMinCostMs = 0.1;

double CostInMs(const QueuedWork& work) {
  return std::max(kMinCostMs, ToMilliseconds(work.cost));
}

// Returns the rank of newly queued work.
size_t InitialRank(const QueuedWork& work) {
  const auto level = static_cast<size_t>(
      std::clamp(work.level, 0, static_cast<int32_t>(kPriorityLevelCount) - 1));
  return 2 * level + (work.is_over_share ? 1 : 0);
}

// Returns the virtual finish time of `work` if it were queued now.
double VirtualFinish(const FairQueue& queue, const QueuedWork& work) {
  const auto team = queue.teams.find(work.team);
  const double start =
      team == queue.teams.end()
          ? queue.virtual_time
          : std::max(queue.virtual_time, team->second.last_virtual_finish);
  return start + CostInMs(work) / std::max(kMinTeamShare, work.share);
}

// Adds the entry to its rank and to the promotion index.
void AddToIndexes(FairQueue& queue, int64_t ticket, const QueueEntry& entry) {
  QueueRank& rank = queue.ranks[entry.rank];
  rank.order.insert({entry.virtual_finish, ticket});
  rank.cost_ms += CostInMs(entry.item.work);
  if (entry.rank > 0) {
    queue.by_promotion.emplace(entry.promoted_at + kPromotionInterval, ticket);
  }
}

void RemoveFromIndexes(FairQueue& queue,
                       int64_t ticket,
                       const QueueEntry& entry) {
  QueueRank& rank = queue.ranks[entry.rank];
  rank.order.erase({entry.virtual_finish, ticket});
  // Rounding errors accumulate in the sum, so an empty rank resets it to 0.
  rank.cost_ms =
      rank.order.empty() ? 0 : rank.cost_ms - CostInMs(entry.item.work);
  if (entry.rank > 0) {
    queue.by_promotion.erase({entry.promoted_at + kPromotionInterval, ticket});
  }
}

// Moves work that has waited for kPromotionInterval in its rank to the next
// higher one, repeatedly if several intervals have passed.
void PromoteAged(FairQueue& queue, TimePoint now) {
  while (!queue.by_promotion.empty() &&
         queue.by_promotion.begin()->first <= now) {
    const auto [due, ticket] = *queue.by_promotion.begin();
    QueueEntry& entry = queue.entries.at(ticket);
    RemoveFromIndexes(queue, ticket, entry);
    --entry.rank;
    entry.promoted_at = due;
    AddToIndexes(queue, ticket, entry);
  }
}

// Removes an entry from the queue and from all indexes.
QueuedItem RemoveEntry(FairQueue& queue, int64_t ticket) {
  const auto found = queue.entries.find(ticket);
  RemoveFromIndexes(queue, ticket, found->second);
  QueuedItem item = std::move(found->second.item);
  queue.by_latest_start.erase({item.work.latest_start, ticket});
  queue.entries.erase(found);
  const auto team = queue.teams.find(item.work.team);
  // The virtual time is the highest finish time of the work served so far
  // (self-clocked). Once all work of a team has been served, the team's last
  // finish time is therefore not ahead of it, and the state can be dropped.
  if (--team->second.queued_count == 0) {
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

// Returns the work that would be served last. The queue must not be empty.
int64_t LastTicket(const FairQueue& queue) {
  size_t rank = kQueueRankCount;
  while (rank > 0 && queue.ranks[rank - 1].order.empty()) {
    --rank;
  }
  return queue.ranks[rank - 1].order.rbegin()->second;
}

// Returns true if `work`, queued now, would be served before the queued entry.
bool IsServedBefore(const FairQueue& queue,
                    const QueuedWork& work,
                    int64_t ticket) {
  const QueueEntry& entry = queue.entries.at(ticket);
  const size_t rank = InitialRank(work);
  return rank < entry.rank ||
         (rank == entry.rank &&
          VirtualFinish(queue, work) < entry.virtual_finish);
}

}  // namespace

FairQueue MakeFairQueue(int32_t capacity) {
  FairQueue queue;
  queue.capacity = static_cast<size_t>(std::max(0, capacity));
  return queue;
}

EnqueueResult Enqueue(FairQueue& queue, QueuedWork work, TimePoint now) {
  EnqueueResult result;
  if (!CanEnqueue(queue, work, now)) {
    return result;
  }
  if (queue.entries.size() >= queue.capacity) {
    result.displaced = RemoveEntry(queue, LastTicket(queue));
  }
  const int64_t ticket = queue.next_ticket++;
  QueueEntry entry;
  entry.virtual_finish = VirtualFinish(queue, work);
  entry.rank = InitialRank(work);
  entry.promoted_at = now;
  QueueTeam& team = queue.teams[work.team];
  ++team.queued_count;
  team.last_virtual_finish = entry.virtual_finish;
  queue.by_latest_start.emplace(work.latest_start, ticket);
  entry.item = {QueueTicket(ticket), std::move(work), now};
  AddToIndexes(queue, ticket,
               queue.entries.emplace(ticket, std::move(entry)).first->second);
  result.ticket = QueueTicket(ticket);
  return result;
}

const QueuedItem* PeekNext(FairQueue& queue, TimePoint now) {
  PromoteAged(queue, now);
  const std::optional<int64_t> ticket = FirstTicket(queue);
  return ticket ? &queue.entries.at(*ticket).item : nullptr;
}

std::optional<QueuedItem> PopNext(FairQueue& queue, TimePoint now) {
  PromoteAged(queue, now);
  const std::optional<int64_t> ticket = FirstTicket(queue);
  if (!ticket) {
    return std::nullopt;
  }
  queue.virtual_time =
      std::max(queue.virtual_time, queue.entries.at(*ticket).virtual_finish);
  return RemoveEntry(queue, *ticket);
}

bool RemoveQueued(FairQueue& queue, QueueTicket ticket) {
  if (!queue.entries.contains(ticket.value())) {
    return false;
  }
  RemoveEntry(queue, ticket.value());
  return true;
}

std::vector<QueuedItem> TakeExpired(FairQueue& queue, TimePoint now) {
  std::vector<QueuedItem> expired;
  while (!queue.by_latest_start.empty() &&
         queue.by_latest_start.begin()->first < now) {
    expired.push_back(
        RemoveEntry(queue, queue.by_latest_start.begin()->second));
  }
  return expired;
}

std::optional<TimePoint> NextExpiry(const FairQueue& queue) {
  if (queue.by_latest_start.empty()) {
    return std::nullopt;
  }
  // TakeExpired() removes work only after its latest start has passed.
  return queue.by_latest_start.begin()->first + Duration(1);
}

Duration ServiceTimeAhead(FairQueue& queue,
                          const QueuedWork& work,
                          TimePoint now) {
  PromoteAged(queue, now);
  const size_t rank = InitialRank(work);
  double cost_ms = 0;
  for (size_t i = 0; i < rank; ++i) {
    cost_ms += queue.ranks[i].cost_ms;
  }
  const QueueRank& own = queue.ranks[rank];
  if (!own.order.empty()) {
    // The number of entries ahead is exact. Their service time is estimated
    // from the mean of the rank.
    const size_t ahead =
        own.order.order_of_key({VirtualFinish(queue, work), queue.next_ticket});
    cost_ms += own.cost_ms * static_cast<double>(ahead) /
               static_cast<double>(own.order.size());
  }
  return FromMilliseconds(cost_ms);
}

bool CanEnqueue(FairQueue& queue, const QueuedWork& work, TimePoint now) {
  PromoteAged(queue, now);
  if (queue.entries.size() < queue.capacity) {
    return true;
  }
  return queue.capacity > 0 && IsServedBefore(queue, work, LastTicket(queue));
}

}  // namespace peridotmill
