#ifndef PERIDOTMILL_CONFIG_TESTS_SAMPLE_OBJECTS_H_
#define PERIDOTMILL_CONFIG_TESTS_SAMPLE_OBJECTS_H_

#include <string>

#include "peridotmill_config/peridotmill_config.h"
#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {

// A valid set with one pool and `teams` teams.
inline ObjectSet SampleObjects(int teams, int concurrency = 8) {
  ObjectSet objects;
  Pool pool;
  pool.name = PoolId("engines");
  pool.concurrency = concurrency;
  objects.pools[pool.name] = pool;
  for (int i = 0; i < teams; ++i) {
    Team team;
    team.name = TeamId("team-" + std::to_string(i));
    team.token_sha256 = Sha256Hex(team.name.value());
    objects.teams[team.name] = team;
  }
  return objects;
}

// A set that only the check of the whole set refuses: a token is malformed.
inline ObjectSet InvalidObjects() {
  ObjectSet objects = SampleObjects(3);
  objects.teams.at(TeamId("team-0")).token_sha256 = "abc";
  return objects;
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_TESTS_SAMPLE_OBJECTS_H_
