#include "peridotmill_net/callers/refusal_body.h"

#include <nlohmann/json.hpp>

namespace peridotmill {

std::string RefusalBody(Reason reason,
                        Execution execution,
                        const std::string& message,
                        const std::string& field) {
  using nlohmann::json;
  const std::string text = message.empty()
                               ? std::string(GetReasonInfo(reason).description)
                               : message;
  const json error = {{"code", ToString(reason)},
                      {"message", text},
                      {"field", field.empty() ? json() : json(field)},
                      {"execution", ToString(execution)}};
  return json{{"error", error}}.dump(-1, ' ', false,
                                     json::error_handler_t::replace);
}

}  // namespace peridotmill
