#ifndef PERIDOTMILL_CORE_HTTP_HEADER_LIST_H_
#define PERIDOTMILL_CORE_HTTP_HEADER_LIST_H_

#include <algorithm>
#include <cctype>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotmill {

// Compares header names and other ASCII tokens without regard to case.
inline bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

// Header fields of an HTTP message in the order in which they were received.
class HeaderList {
 public:
  using Field = std::pair<std::string, std::string>;

  void Add(std::string name, std::string value) {
    fields_.emplace_back(std::move(name), std::move(value));
  }

  // Removes all fields of this name and adds one.
  void Set(std::string_view name, std::string value) {
    Remove(name);
    Add(std::string(name), std::move(value));
  }

  void Remove(std::string_view name) {
    std::erase_if(fields_, [&](const Field& field) {
      return EqualsIgnoringCase(field.first, name);
    });
  }

  // Value of the first field of this name.
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

  // Whether a field of this name lists `token` among its elements.
  bool HasToken(std::string_view name, std::string_view token) const;

  const std::vector<Field>& fields() const { return fields_; }

 private:
  std::vector<Field> fields_;
};

// Removes the fields that concern only one connection: those that RFC 9110,
// section 7.6.1 names, and those that a Connection field lists.
void RemoveConnectionFields(HeaderList& headers);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HTTP_HEADER_LIST_H_
