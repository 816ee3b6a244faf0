// The order of folders: a part that others build on knows nothing of them, so that it can be read
// and changed by itself. The table is the one of ARCHITECTURE.md.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <string>

namespace ramppond {
namespace {

using folder_names = std::set<std::string>;

// Folder to the folders that its files may include; each may include its own and `core`.
const std::map<std::string, folder_names> allowed = {
    {"core", {}},
    {"core/admission",
     {"core/crash_evidence", "core/lifecycle", "core/rate_limit", "core/retries", "core/tenants",
      "core/traffic"}},
    {"core/answers", {"core/admission", "core/retries"}},
    {"core/call_model", {}},
    {"core/consensus", {}},
    {"core/crash_evidence", {}},
    {"core/rate_limit", {}},
    {"core/retries", {}},
    {"core/traffic", {}},
    {"core/tenants", {"core/traffic"}},
    {"core/distribution", {"core/crash_evidence", "core/traffic"}},
    {"core/lifecycle", {"core/distribution"}},
    {"core/placement", {"core/admission", "core/distribution", "core/rate_limit"}},
    {"core/control",
     {"core/call_model", "core/consensus", "core/crash_evidence", "core/distribution",
      "core/tenants", "core/traffic"}},
    {"core/session", {"core/control", "core/crash_evidence", "core/distribution", "core/traffic"}},
    {"core/call_port", {"core/call_model", "core/control", "core/rate_limit"}},
    {"core/external",
     {"core/admission", "core/lifecycle", "core/rate_limit", "core/retries", "core/tenants",
      "core/traffic"}},
};

auto folder_of(const std::string& path) -> std::string {
  return path.substr(0, path.rfind('/'));
}

TEST(folders, of_core_include_only_what_stands_below_them) {
  const auto root = std::filesystem::path(RAMPPOND_DEPLOY_FOLDER).parent_path();
  const auto include = std::regex("^#include \"([^\"]+)\"");
  for (const auto& entry : std::filesystem::recursive_directory_iterator(root / "core")) {
    if (!entry.is_regular_file()) {
      continue;
    }
    const auto path = std::filesystem::relative(entry.path(), root).string();
    const auto own = folder_of(path);
    const auto row = allowed.find(own);
    ASSERT_NE(row, allowed.end()) << own << " has no row in the table";
    auto file = std::ifstream(entry.path());
    for (auto line = std::string(); std::getline(file, line);) {
      auto found = std::smatch();
      if (!std::regex_search(line, found, include)) {
        continue;
      }
      const auto other = folder_of(found[1].str());
      const auto fits = other == own || other == "core" || row->second.count(other) == 1;
      EXPECT_TRUE(fits) << path << " includes " << found[1].str();
    }
  }
}

}  // namespace
}  // namespace ramppond
