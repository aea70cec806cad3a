#include "peridotmill_config/parts/head.h"

#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace peridotmill {

std::string PartKey(const std::string& digest) {
  return kPartPrefix + digest;
}

std::string HistoryKey(Revision revision) {
  char digits[24];
  std::snprintf(digits, sizeof(digits), "%012" PRId64, revision.value());
  return std::string(kHistoryPrefix) + digits;
}

std::string EncodeHead(const ConfigHead& head) {
  nlohmann::json parts = nlohmann::json::array();
  for (const PartReference& part : head.parts) {
    parts.push_back({{"name", part.name}, {"digest", part.digest}});
  }
  return nlohmann::json{{"revision", head.revision.value()},
                        {"nonce", head.nonce.value()},
                        {"author", head.author},
                        {"comment", head.comment},
                        {"published_at", head.published_at},
                        {"parts", std::move(parts)}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<ConfigHead> DecodeHead(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  try {
    ConfigHead head;
    head.revision = Revision(json.at("revision").get<int64_t>());
    head.nonce = Nonce(json.at("nonce").get<std::string>());
    head.author = json.at("author").get<std::string>();
    head.comment = json.at("comment").get<std::string>();
    head.published_at = json.at("published_at").get<int64_t>();
    for (const auto& part : json.at("parts")) {
      head.parts.push_back({part.at("name").get<std::string>(),
                            part.at("digest").get<std::string>()});
    }
    return head;
  } catch (const nlohmann::json::exception&) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
}

}  // namespace peridotmill
