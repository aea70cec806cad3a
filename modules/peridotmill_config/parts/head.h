#ifndef PERIDOTMILL_CONFIG_PARTS_HEAD_H_
#define PERIDOTMILL_CONFIG_PARTS_HEAD_H_

#include <string>
#include <vector>

#include "peridotmill_core/errors/error.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

struct PartReference {
  std::string name;
  std::string digest;

  friend bool operator==(const PartReference&, const PartReference&) = default;
};

// The record that puts a configuration in force. It is replaced by
// compare-and-swap only, so one writer wins each revision.
struct ConfigHead {
  Revision revision;
  // Identifies the publication, to settle a write whose answer was lost.
  Nonce nonce;
  std::string author;
  std::string comment;
  // Seconds since the Unix epoch, by the publisher's clock.
  int64_t published_at = 0;
  std::vector<PartReference> parts;
};

// Store keys of the configuration.
inline constexpr char kHeadKey[] = "config/head";
inline constexpr char kPartPrefix[] = "config/parts/";
inline constexpr char kHistoryPrefix[] = "config/history/";

std::string PartKey(const std::string& digest);
// Zero-padded, so that the store's order is that of the revisions.
std::string HistoryKey(Revision revision);

std::string EncodeHead(const ConfigHead& head);
// Errors: kMalformed.
Result<ConfigHead> DecodeHead(const std::string& text);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CONFIG_PARTS_HEAD_H_
