// The operators' pages list what the code reports; these tests compare them.

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "peridotmill_node/metrics/metrics_page.h"
#include "peridotmill_node/node.h"

namespace peridotmill {
namespace {

// Beginnings of the rows of a page's tables, "| a | b | c |" for `columns` = 3.
std::set<std::string> RowsOf(const std::string& page, size_t columns) {
  std::ifstream file(PERIDOTMILL_DOCS_DIR "/operators/" + page);
  EXPECT_TRUE(file) << page;
  std::set<std::string> rows;
  std::string line;
  while (std::getline(file, line)) {
    if (!line.starts_with("| `")) {
      continue;
    }
    size_t end = 0;
    for (size_t i = 0; i < columns; ++i) {
      end = line.find('|', end + 1);
    }
    rows.insert(line.substr(0, end == std::string::npos ? end : end + 1));
  }
  return rows;
}

std::set<std::string> MetricRows() {
  NodeSettings settings;
  settings.id = NodeId("entry-1");
  settings.failure_domain = FailureDomainId("summit");
  std::istringstream text(RenderMetrics(*MakeNode(settings), {}));
  std::set<std::string> rows;
  std::string line;
  while (std::getline(text, line)) {
    std::istringstream words(line);
    std::string hash;
    std::string word;
    std::string name;
    std::string type;
    words >> hash >> word >> name >> type;
    if (hash == "#" && word == "TYPE") {
      rows.insert(std::string("| `").append(name).append("` | ").append(type) +
                  " |");
    }
  }
  return rows;
}

// Guards against a metric that is missing from the page or no longer exists.
TEST(OperatorPagesTest, MetricsPageListsEveryMetric) {
  const auto expected = MetricRows();
  EXPECT_FALSE(expected.empty());
  EXPECT_EQ(RowsOf("metrics.md", 2), expected);
}

// Guards against a reason that is missing from the page, no longer exists, or
// has another kind, status or description.
TEST(OperatorPagesTest, ReasonsPageListsEveryReason) {
  std::set<std::string> expected;
  for (const ReasonInfo& info : AllReasons()) {
    const std::string status =
        info.http_status == 0 ? "-" : std::to_string(info.http_status);
    std::string row = "| `";
    row.append(info.name).append("` | ").append(ToString(info.kind));
    row.append(" | ").append(status).append(" | ").append(info.description);
    expected.insert(row.append(" |"));
  }
  EXPECT_EQ(RowsOf("reasons.md", 4), expected);
}

}  // namespace
}  // namespace peridotmill
