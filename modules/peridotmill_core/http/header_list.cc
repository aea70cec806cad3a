#include "peridotmill_core/http/header_list.h"

#include <array>

namespace peridotmill {
namespace {

// Calls `visit` with each non-empty element of a comma-separated list, without
// surrounding blanks.
template <typename Visitor>
void VisitElements(std::string_view list, const Visitor& visit) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    std::string_view element = list.substr(0, comma);
    list = comma == std::string_view::npos ? std::string_view()
                                           : list.substr(comma + 1);
    const size_t first = element.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
      continue;
    }
    const size_t last = element.find_last_not_of(" \t");
    visit(element.substr(first, last - first + 1));
  }
}

}  // namespace

bool HeaderList::HasToken(std::string_view name, std::string_view token) const {
  bool has_token = false;
  for (const Field& field : fields_) {
    if (EqualsIgnoringCase(field.first, name)) {
      VisitElements(field.second, [&](std::string_view element) {
        has_token = has_token || EqualsIgnoringCase(element, token);
      });
    }
  }
  return has_token;
}

void RemoveConnectionFields(HeaderList& headers) {
  std::vector<std::string> listed;
  for (const HeaderList::Field& field : headers.fields()) {
    if (EqualsIgnoringCase(field.first, "Connection")) {
      VisitElements(field.second, [&](std::string_view element) {
        listed.emplace_back(element);
      });
    }
  }
  for (const std::string& name : listed) {
    headers.Remove(name);
  }
  constexpr std::array<std::string_view, 9> kConnectionFields = {
      "Connection", "Keep-Alive",         "Proxy-Connection",
      "TE",         "Transfer-Encoding",  "Upgrade",
      "Trailer",    "Proxy-Authenticate", "Proxy-Authorization"};
  for (const std::string_view name : kConnectionFields) {
    headers.Remove(name);
  }
}

}  // namespace peridotmill
