#ifndef PERIDOTMILL_CORE_HTTP_MESSAGE_BODY_H_
#define PERIDOTMILL_CORE_HTTP_MESSAGE_BODY_H_

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace peridotmill {

// The immutable body of a message. Copies share the bytes, so that a request
// that is forwarded and repeated holds its body once.
class MessageBody {
 public:
  MessageBody() = default;
  explicit MessageBody(std::string bytes)
      : bytes_(std::make_shared<const std::string>(std::move(bytes))) {}
  // `bytes` may be null, which is an empty body.
  explicit MessageBody(std::shared_ptr<const std::string> bytes)
      : bytes_(std::move(bytes)) {}

  const std::string& bytes() const {
    static const std::string empty_body;
    return bytes_ == nullptr ? empty_body : *bytes_;
  }
  size_t size() const { return bytes_ == nullptr ? 0 : bytes_->size(); }
  bool empty() const { return size() == 0; }

 private:
  std::shared_ptr<const std::string> bytes_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_HTTP_MESSAGE_BODY_H_
