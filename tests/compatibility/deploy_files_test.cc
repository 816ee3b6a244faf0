// The users' platform fills in the templates and runs what the deploy file says.
#include <gtest/gtest.h>

#include "tests/compatibility/golden.h"

namespace ramppond::compatibility {
namespace {

class DeployFile : public testing::TestWithParam<const char*> {};

TEST_P(DeployFile, IsAsRecorded) {
  const std::string name = GetParam();
  const std::string now = readFile(std::string(RAMPPOND_SOURCE_FOLDER) + "/deploy/" + name);
  if (recording()) {
    writeFile(goldenPath(name), now);
  }
  EXPECT_EQ(now, readFile(goldenPath(name)));
}

INSTANTIATE_TEST_SUITE_P(All, DeployFile,
                         testing::Values("system.toml", "proxy.toml.template",
                                         "coordinator.toml.template", "brigalow.toml",
                                         "portal.toml", "foothills.toml", "latency.toml"),
                         [](const auto& row) {
                           std::string name = row.param;
                           for (char& letter : name) {
                             letter = letter == '.' ? '_' : letter;
                           }
                           return name;
                         });

}  // namespace
}  // namespace ramppond::compatibility
