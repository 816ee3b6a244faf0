#include "common/settings.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "common/command_line.h"

namespace ramppond {
namespace {

class SettingsTest : public testing::Test {
 protected:
  ~SettingsTest() override { std::remove(path_.c_str()); }
  void write(const std::string& text) {
    std::ofstream file(path_, std::ios::trunc);
    file << text;
  }
  std::string errorAt(const std::string& place) const { return path_ + place; }

  std::string path_ = testing::TempDir() + "settings-" + std::to_string(::getpid()) + ".toml";
};

TEST_F(SettingsTest, ReadsWhatIsThere) {
  write("name = \"a\"\nslots = 3\nlist = [\"x\", \"y\"]\n");
  SettingsFile file(path_);
  SettingsTable root = file.root();
  EXPECT_EQ(root.requiredString("name"), "a");
  EXPECT_EQ(root.requiredInteger("slots", {1, 10}), 3);
  EXPECT_EQ(root.strings("list").size(), 2U);
  EXPECT_EQ(root.optionalInteger("absent", 7, {1, 10}), 7);
  root.finish();
  EXPECT_FALSE(file.error()) << *file.error();
}

TEST_F(SettingsTest, ErrorsNameFilePlaceKeyAndWhatWasExpected) {
  write("name = \"a\"\nslots = 30\n");
  SettingsFile file(path_);
  SettingsTable root = file.root();
  root.requiredString("name");
  root.requiredInteger("slots", {1, 10});
  ASSERT_TRUE(file.error());
  EXPECT_EQ(*file.error(), errorAt(":2:9: slots: expected an integer from 1 to 10"));
}

TEST_F(SettingsTest, AWrongTypeIsAnError) {
  write("name = 5\n");
  SettingsFile file(path_);
  SettingsTable root = file.root();
  root.requiredString("name");
  ASSERT_TRUE(file.error());
  EXPECT_EQ(*file.error(), errorAt(":1:8: name: expected a non-empty string"));
}

TEST_F(SettingsTest, AMissingKeyIsAnError) {
  write("other = 1\n");
  SettingsFile file(path_);
  SettingsTable root = file.root();
  root.requiredString("name");
  ASSERT_TRUE(file.error());
  EXPECT_NE(file.error()->find("name: expected a non-empty string, but the key is missing"),
            std::string::npos)
      << *file.error();
}

TEST_F(SettingsTest, AnUnknownKeyIsAnError) {
  write("name = \"a\"\nnmae = \"b\"\n");
  SettingsFile file(path_);
  SettingsTable root = file.root();
  root.requiredString("name");
  root.finish();
  ASSERT_TRUE(file.error());
  EXPECT_EQ(*file.error(), errorAt(":2:1: nmae: expected no key of this name"));
}

TEST_F(SettingsTest, BrokenTomlAndAMissingFileAreErrors) {
  write("name = \n");
  EXPECT_TRUE(SettingsFile(path_).error());
  EXPECT_TRUE(SettingsFile(path_ + ".absent").error());
}

TEST_F(SettingsTest, AddressesAreNumeric) {
  EXPECT_TRUE(parseEndpoint("127.0.0.1:80"));
  for (const char* text : {"", "127.0.0.1", "localhost:80", "127.0.0.1:0x", "127.0.0.1:70000",
                           "1.2.3:80", ":80", "1.2.3.4:"}) {
    EXPECT_FALSE(parseEndpoint(text)) << text;
  }
}

TEST(CommandLine, SplitsListsAndReadsNumbers) {
  EXPECT_EQ(splitList("a,,b").size(), 2U);
  EXPECT_EQ(parseUnsigned("42").value_or(0), 42U);
  for (const char* text : {"", "-1", "1x", " 1", "99999999999999999999"}) {
    EXPECT_FALSE(parseUnsigned(text)) << text;
  }
}

TEST(CommandLine, AnUnknownOptionIsAUsageError) {
  CommandLineSpec spec;
  spec.program = "program";
  spec.options = {{"rate", "N", "a rate"}};
  const char* arguments[] = {"program", "--rate", "5", "operand"};
  const CommandLine good(spec, 4, const_cast<char**>(arguments));
  EXPECT_FALSE(good.exitCode());
  EXPECT_EQ(good.value("rate"), "5");
  EXPECT_EQ(good.operands().size(), 1U);
  const char* wrong[] = {"program", "--speed", "5"};
  const CommandLine bad(spec, 3, const_cast<char**>(wrong));
  ASSERT_TRUE(bad.exitCode());
  EXPECT_EQ(*bad.exitCode(), ExitCode::kUsage);
}

}  // namespace
}  // namespace ramppond
