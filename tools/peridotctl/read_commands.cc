#include "peridotctl/read_commands.h"

#include <glib.h>

#include <algorithm>
#include <cstdio>

#include "peridotctl/object_diff.h"
#include "peridotctl/object_files.h"
#include "peridotmill_config/peridotmill_config.h"
#include "peridotmill_net/settings/settings_checker.h"

namespace peridotmill {
namespace {

int Fail(const Console& console, const std::error_code& error) {
  console.err << "reading the store: " << error.message() << "\n";
  return kExitFailure;
}

std::string FormatTime(int64_t seconds) {
  GDateTime* const time = g_date_time_new_from_unix_utc(seconds);
  if (time == nullptr) {
    return "-";
  }
  gchar* const text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");
  std::string formatted = text;
  g_free(text);
  g_date_time_unref(time);
  return formatted;
}

// Authors and comments are free text; a line stays a line.
std::string OneLine(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return g_ascii_iscntrl(c) != FALSE; }, ' ');
  return text;
}

}  // namespace

int Validate(const std::vector<std::string>& paths, const Console& console) {
  const LoadedObjects loaded = LoadObjects(paths);
  console.err << ToString(loaded.findings);
  return loaded.findings.empty() ? kExitOk : kExitFindings;
}

int Plan(const StoreCaller& store,
         const ObjectSet& objects,
         const Console& console) {
  const auto head = ReadHead(store);
  if (!head) {
    return Fail(console, head.error());
  }
  const auto current = ReadObjectSet(store, head->head);
  if (!current) {
    return Fail(console, current.error());
  }
  const auto lines = DiffObjects(*current, objects);
  console.out << lines.size() << " changes against revision "
              << head->head.revision.value() << "\n";
  for (const std::string& line : lines) {
    console.out << line << "\n";
  }
  return kExitOk;
}

int Get(const StoreCaller& store,
        std::optional<Revision> revision,
        const Console& console) {
  Result<ConfigHead> head;
  if (revision) {
    head = ReadHistoryEntry(store, *revision);
  } else {
    head = ReadHead(store).map(
        [](const StoredHead& stored) { return stored.head; });
  }
  if (!head) {
    return Fail(console, head.error());
  }
  if (head->revision.value() == 0) {
    console.err << "nothing was published yet\n";
    return kExitFailure;
  }
  const auto objects = ReadObjectSet(store, *head);
  if (!objects) {
    return Fail(console, objects.error());
  }
  console.out << WriteObjects(*objects);
  return kExitOk;
}

int History(const StoreCaller& store, int64_t count, const Console& console) {
  const auto head = ReadHead(store);
  if (!head) {
    return Fail(console, head.error());
  }
  const auto heads = ReadHistory(store, head->head.revision, count);
  if (!heads) {
    return Fail(console, heads.error());
  }
  for (auto entry = heads->rbegin(); entry != heads->rend(); ++entry) {
    console.out << entry->revision.value() << "  "
                << FormatTime(entry->published_at) << "  "
                << OneLine(entry->author) << "  " << entry->nonce.value()
                << "  " << OneLine(entry->comment) << "\n";
  }
  return kExitOk;
}

}  // namespace peridotmill
