#ifndef TOOLS_PERIDOTMILL_CAPACITY_NODE_STUDIES_H_
#define TOOLS_PERIDOTMILL_CAPACITY_NODE_STUDIES_H_

namespace peridotmill::capacity {

// Each prints one CSV table. One node fed by hand, by one size at a time with
// the others at the design size, ...
void StudyNodeByMembers();
void StudyNodeByEndpoints();
void StudyNodeByTeams();
void StudyNodeByRequests();
// ... and by kind of event at the design size.
void StudyNodeByEvent();

}  // namespace peridotmill::capacity

#endif  // TOOLS_PERIDOTMILL_CAPACITY_NODE_STUDIES_H_
