#ifndef TOOLS_PERIDOTMILL_CAPACITY_TABLE_STUDIES_H_
#define TOOLS_PERIDOTMILL_CAPACITY_TABLE_STUDIES_H_

namespace peridotmill::capacity {

// Each prints one CSV table.
void StudyClaimsByRate();
void StudyClaimsByRetained();
void StudyAnswersBySize();
void StudyConfigChanges();
void StudyOrderLeases();

}  // namespace peridotmill::capacity

#endif  // TOOLS_PERIDOTMILL_CAPACITY_TABLE_STUDIES_H_
