#include "peridotmill_core/http/header_list.h"

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

bool LessIgnoringCase::operator()(std::string_view a,
                                  std::string_view b) const {
  return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(),
                                      [](unsigned char x, unsigned char y) {
                                        return std::tolower(x) <
                                               std::tolower(y);
                                      });
}

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

void HeaderList::RemoveAll(
    const std::set<std::string, LessIgnoringCase>& names) {
  std::erase_if(
      fields_, [&](const Field& field) { return names.contains(field.first); });
}

void RemoveConnectionFields(HeaderList& headers) {
  std::set<std::string, LessIgnoringCase> names = {
      "Connection", "Keep-Alive",         "Proxy-Connection",
      "TE",         "Transfer-Encoding",  "Upgrade",
      "Trailer",    "Proxy-Authenticate", "Proxy-Authorization"};
  for (const HeaderList::Field& field : headers.fields()) {
    if (EqualsIgnoringCase(field.first, "Connection")) {
      VisitElements(field.second,
                    [&](std::string_view element) { names.emplace(element); });
    }
  }
  headers.RemoveAll(names);
}

}  // namespace peridotmill
