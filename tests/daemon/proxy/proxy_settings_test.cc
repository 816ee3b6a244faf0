// Settings of the proxy's optional parts.
#include "daemon/proxy/proxy_settings.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace ramppond {
namespace {

constexpr char required[] = R"(name = "a"
zone = "z"
service = "s"
client_address = "127.0.0.1:1"
peer_address = "127.0.0.1:1"
readiness_address = "127.0.0.1:1"
report_address = "127.0.0.1:1"
server_address = "127.0.0.1:1"
member_port = 1
seeds = []
bounds = []
)";

class proxy_settings : public testing::Test {
 protected:
  auto read(const std::string& added) -> std::optional<ProxySettings> {
    std::ofstream(this->path) << required << added;
    this->error.clear();
    return readProxySettings(this->path, this->error);
  }
  void TearDown() override { std::remove(this->path.c_str()); }

  // Tests run at the same time in processes of their own.
  std::string path =
      testing::TempDir() + "proxy_settings_test-" + std::to_string(::getpid()) + ".toml";
  std::string error;
};

// A deployment whose settings name no optional part must be served as before.
TEST_F(proxy_settings, optional_parts_have_defaults) {
  const auto settings = this->read("");
  ASSERT_TRUE(settings) << this->error;
  EXPECT_EQ(settings->fair_shares, feature_mode::automatic);
  EXPECT_EQ(settings->retry_order, feature_mode::automatic);
  EXPECT_EQ(settings->return_times, feature_mode::automatic);
  EXPECT_EQ(settings->server_load, feature_mode::automatic);
  EXPECT_EQ(settings->placement, placement_kind::utilization);
  EXPECT_EQ(settings->max_upload_buffer.value, 16U << 20U);
}

TEST_F(proxy_settings, optional_parts_are_read) {
  const auto settings = this->read(
      "fair_shares = \"off\"\nretry_order = \"on\"\nreturn_times = \"auto\"\n"
      "server_load = \"off\"\nplacement = \"expected_completion\"\n"
      "max_upload_buffer_mb = 3\n");
  ASSERT_TRUE(settings) << this->error;
  EXPECT_EQ(settings->fair_shares, feature_mode::off);
  EXPECT_EQ(settings->retry_order, feature_mode::on);
  EXPECT_EQ(settings->return_times, feature_mode::automatic);
  EXPECT_EQ(settings->server_load, feature_mode::off);
  EXPECT_EQ(settings->placement, placement_kind::expected_completion);
  EXPECT_EQ(settings->max_upload_buffer.value, 3U << 20U);
}

TEST_F(proxy_settings, invalid_values_are_refused_with_their_key) {
  for (const std::string key : {"fair_shares", "retry_order", "return_times", "server_load",
                                "placement", "max_upload_buffer_mb"}) {
    for (const std::string value : {"\"maybe\"", "true", "0", "-1", "1000000"}) {
      EXPECT_FALSE(this->read(key + " = " + value + "\n")) << key << " = " << value;
      EXPECT_NE(this->error.find(key), std::string::npos) << this->error;
    }
  }
}

}  // namespace
}  // namespace ramppond
