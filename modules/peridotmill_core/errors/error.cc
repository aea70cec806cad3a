#include "peridotmill_core/errors/error.h"

#include <string>

namespace peridotmill {
namespace {

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "peridotmill"; }
  std::string message(int value) const override {
    switch (static_cast<Error>(value)) {
      case Error::kMalformed:
        return "malformed data";
      case Error::kTooLarge:
        return "data exceeds its limit";
      case Error::kDigestMismatch:
        return "content does not match its digest";
      case Error::kNotFound:
        return "not found";
      case Error::kConflict:
        return "changed by another writer";
      case Error::kUnavailable:
        return "unavailable";
    }
    return "unknown error";
  }
};

}  // namespace

const std::error_category& ErrorCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(Error error) {
  return {static_cast<int>(error), ErrorCategory()};
}

}  // namespace peridotmill
