// peridotmill-capacity: measures one node's work and memory by size, on logical
// time and without sockets. Prints one CSV table.

#include <cstdio>
#include <map>
#include <string>

#include "node_studies.h"
#include "table_studies.h"

int main(int argc, char** argv) {
  namespace capacity = peridotmill::capacity;
  const std::map<std::string, void (*)()> studies = {
      {"node_by_members", capacity::StudyNodeByMembers},
      {"node_by_endpoints", capacity::StudyNodeByEndpoints},
      {"node_by_teams", capacity::StudyNodeByTeams},
      {"node_by_requests", capacity::StudyNodeByRequests},
      {"node_by_event", capacity::StudyNodeByEvent},
      {"claims_by_rate", capacity::StudyClaimsByRate},
      {"claims_by_retained", capacity::StudyClaimsByRetained},
      {"answers_by_size", capacity::StudyAnswersBySize},
      {"config_changes", capacity::StudyConfigChanges},
      {"order_leases", capacity::StudyOrderLeases},
  };
  const auto study = studies.find(argc == 2 ? argv[1] : "");
  if (study == studies.end()) {
    std::fputs("usage: peridotmill-capacity STUDY, one of:\n", stderr);
    for (const auto& [name, run] : studies) {
      std::fprintf(stderr, "  %s\n", name.c_str());
    }
    return 2;
  }
  study->second();
  return 0;
}
