#include "storage/file_system.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>

namespace ramppond {
namespace {

// The stored configuration document contains API keys of tenants.
TEST(PosixFileSystem, CreatesFilesReadableByTheOwnerOnly) {
  std::string pattern = (std::filesystem::temp_directory_path() / "ramppond-XXXXXX").string();
  const std::string folder = ::mkdtemp(pattern.data());
  PosixFileSystem files(folder);
  ASSERT_FALSE(files.prepare());
  ASSERT_TRUE(files.write("log", "bytes"));
  struct stat status = {};
  ASSERT_EQ(::stat((folder + "/log").c_str(), &status), 0);
  EXPECT_EQ(status.st_mode & 0777U, 0600U);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace ramppond
