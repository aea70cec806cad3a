#include "peridotctl/object_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

#include "peridotmill_config/peridotmill_config.h"

namespace peridotmill {
namespace {

namespace fs = std::filesystem;

bool IsObjectFile(const fs::path& path) {
  return path.extension() == ".yaml" || path.extension() == ".yml";
}

void Report(const std::string& path, std::string message, Findings& findings) {
  InputLocation place;
  place.file = path;
  findings.push_back({std::move(place), std::move(message)});
}

// Sorted, so that findings come in the same order each time.
std::vector<std::string> FilesBelow(const std::string& folder,
                                    Findings& findings) {
  std::vector<std::string> files;
  std::error_code error;
  for (fs::recursive_directory_iterator entry(folder, error), end;
       !error && entry != end; entry.increment(error)) {
    if (IsObjectFile(entry->path())) {
      files.push_back(entry->path().string());
    }
  }
  if (error) {
    Report(folder, error.message(), findings);
  } else if (files.empty()) {
    Report(folder, "has no *.yaml or *.yml file", findings);
  }
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace

LoadedObjects LoadObjects(const std::vector<std::string>& paths) {
  LoadedObjects loaded;
  std::vector<std::string> files;
  for (const std::string& path : paths) {
    if (std::error_code error; fs::is_directory(path, error)) {
      for (std::string& file : FilesBelow(path, loaded.findings)) {
        files.push_back(std::move(file));
      }
    } else {
      files.push_back(path);
    }
  }
  ObjectPlaces places;
  for (const std::string& file : files) {
    std::ifstream stream(file);
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    if (!stream) {
      Report(file, "cannot be read", loaded.findings);
      continue;
    }
    ReadObjects(text, file, loaded.objects, places, loaded.findings);
  }
  for (Finding& finding : ValidateObjects(loaded.objects, places)) {
    loaded.findings.push_back(std::move(finding));
  }
  return loaded;
}

}  // namespace peridotmill
