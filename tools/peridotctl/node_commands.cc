#include "peridotctl/node_commands.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace peridotmill {
namespace {

using nlohmann::json;

constexpr size_t kColumns = 7;
using Row = std::array<std::string, kColumns>;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

// Members of /admin/status in the order of the columns.
constexpr std::array<const char*, kColumns> kMembers = {
    "node",     "failure_domain", "revision", "revision_from",
    "uptime_s", "endpoints",      "state"};

std::string Cell(const json& status, const char* member) {
  const auto found = status.find(member);
  if (found == status.end() || found->is_null()) {
    return "-";
  }
  // A list of endpoints is shown by its length.
  if (found->is_array()) {
    return std::to_string(found->size());
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string FaultOf(const HttpReply& reply) {
  if (reply.status == 0) {
    return "no answer";
  }
  return reply.status == kHttpOk ? "malformed answer"
                                 : "HTTP " + std::to_string(reply.status);
}

Row RowOf(const std::string& address, const HttpReply& reply, bool& ok) {
  const json status = reply.status == kHttpOk
                          ? json::parse(reply.body, nullptr, false)
                          : json();
  Row row;
  ok = status.is_object();
  if (!ok) {
    row.fill("-");
    row.front() = address;
    row.back() = FaultOf(reply);
    return row;
  }
  for (size_t i = 0; i < kColumns; ++i) {
    row[i] = Cell(status, kMembers[i]);
  }
  return row;
}

void PrintTable(const std::vector<Row>& rows, std::ostream& out) {
  std::array<size_t, kColumns> widths = {};
  for (const Row& row : rows) {
    for (size_t i = 0; i < kColumns; ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const Row& row : rows) {
    std::string line;
    for (size_t i = 0; i < kColumns; ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

}  // namespace

int Status(const std::vector<std::string>& addresses,
           const std::vector<HttpReply>& replies,
           const Console& console) {
  std::vector<Row> rows = {{"node", "failure domain", "revision", "from",
                            "uptime s", "endpoints", "state"}};
  bool all_ok = true;
  for (size_t i = 0; i < addresses.size(); ++i) {
    bool ok = false;
    rows.push_back(RowOf(addresses[i], replies[i], ok));
    all_ok = all_ok && ok;
  }
  PrintTable(rows, console.out);
  return all_ok ? kExitOk : kExitFailure;
}

std::string ExplainPath(const std::string& request) {
  gchar* const escaped = g_uri_escape_string(request.c_str(), nullptr, FALSE);
  std::string path = std::string("/admin/explain/") + escaped;
  g_free(escaped);
  return path;
}

int Explain(const std::vector<std::string>& addresses,
            const std::vector<HttpReply>& replies,
            const Console& console) {
  bool found = false;
  for (size_t i = 0; i < addresses.size(); ++i) {
    const auto explanation = json::parse(replies[i].body, nullptr, false);
    if (replies[i].status == kHttpOk && !explanation.is_discarded()) {
      console.out << addresses[i] << ":\n" << explanation.dump(2) << "\n";
      found = true;
    } else if (replies[i].status != kHttpNotFound) {
      console.err << addresses[i] << ": " << FaultOf(replies[i]) << "\n";
    }
  }
  if (!found) {
    console.err << "no node that answered knows the request\n";
  }
  return found ? kExitOk : kExitFailure;
}

}  // namespace peridotmill
