#ifndef PERIDOTMILL_CORE_HTTP_HEADER_LIST_H_
#define PERIDOTMILL_CORE_HTTP_HEADER_LIST_H_

#include <algorithm>
#include <cctype>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotmill {

// Compares header names and other ASCII tokens case-insensitively.
inline bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

// Orders header names and other ASCII tokens case-insensitively.
struct LessIgnoringCase {
  using is_transparent = void;
  bool operator()(std::string_view a, std::string_view b) const;
};

// Header fields of an HTTP message in order of arrival. All functions compare
// field names case-insensitively.
class HeaderList {
 public:
  using Field = std::pair<std::string, std::string>;

  void Add(std::string name, std::string value) {
    fields_.emplace_back(std::move(name), std::move(value));
  }

  // Replaces all fields of this name by a single one, at the end of the list.
  void Set(std::string_view name, std::string value) {
    Remove(name);
    Add(std::string(name), std::move(value));
  }

  void Remove(std::string_view name) {
    std::erase_if(fields_, [&](const Field& field) {
      return EqualsIgnoringCase(field.first, name);
    });
  }

  // Removes all fields of these names. Takes O(m log n) time for m fields and n
  // names.
  void RemoveAll(const std::set<std::string, LessIgnoringCase>& names);

  // Returns the value of the first field of this name, or nullopt.
  std::optional<std::string_view> Find(std::string_view name) const {
    for (const Field& field : fields_) {
      if (EqualsIgnoringCase(field.first, name)) {
        return field.second;
      }
    }
    return std::nullopt;
  }

  size_t Count(std::string_view name) const {
    return static_cast<size_t>(
        std::count_if(fields_.begin(), fields_.end(), [&](const Field& field) {
          return EqualsIgnoringCase(field.first, name);
        }));
  }

  // Returns true if the comma-separated list in any field of this name contains
  // `token`.
  bool HasToken(std::string_view name, std::string_view token) const;

  const std::vector<Field>& fields() const { return fields_; }

 private:
  std::vector<Field> fields_;
};

// Removes hop-by-hop fields, which a proxy must not forward: those that RFC
// 9110, section 7.6.1 names, and those that a Connection field lists.
void RemoveConnectionFields(HeaderList& headers);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HTTP_HEADER_LIST_H_
