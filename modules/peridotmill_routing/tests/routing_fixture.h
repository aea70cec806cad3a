#ifndef PERIDOTMILL_ROUTING_TESTS_ROUTING_FIXTURE_H_
#define PERIDOTMILL_ROUTING_TESTS_ROUTING_FIXTURE_H_

#include <map>
#include <string>

#include "peridotmill_routing/peridotmill_routing.h"

namespace peridotmill::testing {

inline constexpr int kSeeds = 10;
inline constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

inline EndpointId EndpointAt(int domain, int number) {
  return EndpointId("e" + std::to_string(domain) + "-" +
                    std::to_string(number));
}

inline FailureDomainId DomainAt(int domain) {
  return FailureDomainId("d" + std::to_string(domain));
}

// Returns a host list with one pool "p" that has `per_domain` endpoints in each
// domain.
inline HostList MakeHostList(int domains, int per_domain) {
  HostList list;
  for (int d = 0; d < domains; ++d) {
    for (int i = 0; i < per_domain; ++i) {
      EndpointRecord record;
      record.id = EndpointAt(d, i);
      record.address = "10.0.0.1:80";
      record.pool = PoolId("p");
      record.failure_domain = DomainAt(d);
      record.incarnation = Incarnation(1);
      list.endpoints.push_back(record);
    }
  }
  return list;
}

inline std::map<PoolId, Pool> MakePools(int concurrency) {
  Pool pool;
  pool.name = PoolId("p");
  pool.concurrency = concurrency;
  return {{pool.name, pool}};
}

inline EndpointTable MakeTable(const std::string& node,
                               const HostList& list,
                               int concurrency = 8) {
  EndpointTable table = MakeEndpointTable(NodeId(node), DomainAt(0));
  ApplyHostList(table, list, MakePools(concurrency), kStart);
  return table;
}

inline EndpointChoiceRequest MakeRequest() {
  EndpointChoiceRequest request;
  request.pool = PoolId("p");
  request.expected = std::chrono::milliseconds(100);
  return request;
}

inline void FailOnce(EndpointTable& table,
                     const EndpointId& endpoint,
                     AttemptOutcome outcome,
                     TimePoint now) {
  const AttemptTicket ticket = BeginAttempt(table, endpoint, now);
  EndAttempt(table, ticket, outcome, std::chrono::milliseconds(100), now);
}

}  // namespace peridotmill::testing

#endif  // PERIDOTMILL_ROUTING_TESTS_ROUTING_FIXTURE_H_
