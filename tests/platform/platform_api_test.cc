// Tests of the formats that the platform adapter parses. Also checks that no name of the platform
// occurs in the source outside the adapter.
#include "platform/platform_api.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "core/cbor_codec.h"
#include "core/traffic/traffic_configuration.h"

namespace ramppond::platform {
namespace {

const char kDocument[] = R"({"version":"0000000c","resources":[
  {"type":"routes","meta":{"name":"r-1"},"spec":{"host":"a.example","path_prefix":"/x/",
   "kind":"unsafe","timeout_s":6,"goal_s":1.5,"priority":2,"max_attempts":2,
   "split":[{"service":"s1","weight":90},{"service":"s2","weight":10.5}]}},
  {"type":"routes","meta":{"name":"r-2"},"spec":{"host":"a.example","path_prefix":"/y/",
   "kind":"download","timeout_s":0.8,"goal_s":0.25,"service":"s1"}},
  {"type":"services","meta":{"name":"s1"},"spec":{"health_path":"/health","max_conns":622}},
  {"type":"services","meta":{"name":"s2"},"spec":{"health_path":"/health","max_conns":622}},
  {"type":"unheard-of","meta":{"name":"z"},"spec":{}},
  {"type":"limits","meta":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,
   "header_timeout_s":3,"idle_timeout_s":15}}]})";

TEST(PlatformApi, ParsesConfiguration) {
  const PlatformApi api;
  const auto parsed = api.parseReplacement("00000005", kDocument);
  ASSERT_TRUE(parsed.value) << parsed.error;
  const TrafficReplacement& replacement = *parsed.value;
  EXPECT_EQ(replacement.base_number, 5U);
  EXPECT_EQ(replacement.document, kDocument);
  const TrafficConfiguration& configuration = replacement.configuration;
  EXPECT_EQ(configuration.number, 12U);
  ASSERT_EQ(configuration.routes.size(), 2U);
  EXPECT_EQ(configuration.routes[0].kind, RequestKind::kUnsafe);
  EXPECT_EQ(configuration.routes[0].goal, milliseconds(1500));
  EXPECT_EQ(configuration.routes[0].split[1].weight_millionths, 10500000);
  EXPECT_EQ(configuration.routes[1].kind, RequestKind::kDownload);
  EXPECT_EQ(configuration.routes[1].timeout, milliseconds(800));
  EXPECT_EQ(configuration.services.size(), 2U);
  EXPECT_EQ(configuration.limits.idle_timeout, seconds(15));
  EXPECT_EQ(validateTraffic(configuration), std::nullopt);
}

// A route kind that is not known makes the whole configuration invalid.
TEST(PlatformApi, ParsesUploadRouteAsNotRetryable) {
  const auto parsed = PlatformApi().parseReplacement("", R"({"version":"7","resources":[
          {"type":"routes","meta":{"name":"r"},"spec":{"host":"a","path_prefix":"/",
           "kind":"upload","timeout_s":1,"service":"s"}},
          {"type":"services","meta":{"name":"s"},"spec":{}}]})");
  ASSERT_TRUE(parsed.value) << parsed.error;
  const TrafficRoute& route = parsed.value->configuration.routes.front();
  EXPECT_EQ(route.kind, RequestKind::kUpload);
  EXPECT_FALSE(isRetryable(route.kind));
  EXPECT_EQ(validateTraffic(parsed.value->configuration), std::nullopt);
}

TEST(PlatformApi, ReportsErrorOfMalformedDocument) {
  const PlatformApi api;
  const auto error = [&](const std::string& body) { return api.parseReplacement("", body).error; };
  EXPECT_NE(error(""), "");
  EXPECT_NE(error(std::string(kDocument).substr(0, 200)), "");
  EXPECT_NE(error("[]"), "");
  EXPECT_NE(error(R"({"version":"xyz","resources":[]})"), "");
  EXPECT_NE(error(R"({"version":7,"resources":[]})"), "");
  EXPECT_NE(error(R"({"version":"7","resources":{}})"), "");
  EXPECT_EQ(error(R"({"version":"7","resources":[{"type":"routes","meta":{"name":"r"},"spec":{
      "host":"a","path_prefix":"/","kind":"odd","timeout_s":1,"service":"s"}}]})"),
            "route 'r': kind: expected safe, unsafe or download, or upload");
  EXPECT_EQ(error(R"({"version":"7","resources":[{"type":"routes","meta":{"name":"r"},"spec":{
      "host":"a","path_prefix":"/","kind":"safe","timeout_s":"1","service":"s"}}]})"),
            "route 'r': timeout_s: expected a number");
  EXPECT_NE(api.parseReplacement("zz", kDocument).error, "");
}

std::string withTenants(const std::string& specs) {
  return R"({"version":"7","resources":[)" + specs + "]}";
}

TEST(PlatformApi, ParsesTenantsWithoutKeepingKeys) {
  const PlatformApi api;
  const auto parsed = api.parseReplacement(
      "", withTenants(R"({"type":"tenants","meta":{"name":"t"},"spec":{"api_keys":["secret-1","k2"],
          "priority":1,"rate_per_s":2.5,"burst":7}},
          {"type":"tenants","meta":{"name":"no-key"},"spec":{"api_keys":[]}},
          {"type":"routes","meta":{"name":"r"},"spec":{"host":"a","path_prefix":"/",
           "kind":"safe","timeout_s":1,"service":"s","public":true}},
          {"type":"services","meta":{"name":"s"},"spec":{}})"));
  ASSERT_TRUE(parsed.value) << parsed.error;
  const TrafficConfiguration& configuration = parsed.value->configuration;
  EXPECT_EQ(validateTraffic(configuration), std::nullopt);
  EXPECT_TRUE(configuration.routes.front().is_public);
  ASSERT_EQ(configuration.tenants.size(), 2U);
  const TenantDefinition& tenant = configuration.tenants.front();
  EXPECT_EQ(tenant.name, "t");
  EXPECT_EQ(tenant.key_digests.size(), 2U);
  EXPECT_EQ(tenant.priority, 1U);
  EXPECT_EQ(tenant.rate_millis, 2500U);
  EXPECT_EQ(tenant.burst, 7U);
  EXPECT_EQ(configuration.tenants.back().rate_millis, 0U);
  EXPECT_EQ(encode(configuration).find("secret-1"), std::string::npos);
}

struct TenantRow {
  const char* name;
  const char* specs;
  const char* error;
};

void PrintTo(const TenantRow& row, std::ostream* out) {
  *out << row.name;
}

class TenantErrorTest : public testing::TestWithParam<TenantRow> {};

TEST_P(TenantErrorTest, ErrorNamesEntryFieldAndExpectedValue) {
  auto parsed = PlatformApi().parseReplacement("", withTenants(GetParam().specs));
  if (parsed.value) {
    parsed.error = validateTraffic(parsed.value->configuration).value_or("");
  }
  EXPECT_EQ(parsed.error, GetParam().error);
  EXPECT_EQ(parsed.error.find("secret"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, TenantErrorTest,
    testing::Values(
        TenantRow{"keys_missing", R"({"type":"tenants","meta":{"name":"t"},"spec":{}})",
                  "tenant 't': api_keys: missing"},
        TenantRow{"keys_no_list",
                  R"({"type":"tenants","meta":{"name":"t"},"spec":{"api_keys":"secret"}})",
                  "tenant 't': api_keys: expected a list"},
        TenantRow{"key_no_text",
                  R"({"type":"tenants","meta":{"name":"t"},"spec":{"api_keys":[1]}})",
                  "tenant 't': api_keys: expected non-empty strings"},
        TenantRow{"key_empty", R"({"type":"tenants","meta":{"name":"t"},"spec":{"api_keys":[""]}})",
                  "tenant 't': api_keys: expected non-empty strings"},
        TenantRow{
            "rate_below_zero",
            R"({"type":"tenants","meta":{"name":"t"},"spec":{"api_keys":[],"rate_per_s":-1}})",
            "tenant 't': rate_per_s: expected a whole number of 0 or more"},
        TenantRow{
            "rate_no_number",
            R"({"type":"tenants","meta":{"name":"t"},"spec":{"api_keys":[],"rate_per_s":"9"}})",
            "tenant 't': rate_per_s: expected a number"},
        TenantRow{"shared_key",
                  R"({"type":"tenants","meta":{"name":"t"},"spec":{"api_keys":["secret"]}},
                     {"type":"tenants","meta":{"name":"u"},"spec":{"api_keys":["secret"]}})",
                  "tenant 'u': keys: expected keys that no other entry has, found one of tenant "
                  "'t'"},
        TenantRow{
            "doubled_key",
            R"({"type":"tenants","meta":{"name":"t"},"spec":{"api_keys":["secret","secret"]}})",
            "tenant 't': keys: expected keys that no other entry has, found one of tenant "
            "'t'"},
        TenantRow{"two_of_a_name",
                  R"({"type":"tenants","meta":{"name":"t"},"spec":{"api_keys":[]}},
                     {"type":"tenants","meta":{"name":"t"},"spec":{"api_keys":[]}})",
                  "tenant 't': name: expected one tenant of this name, found two"},
        TenantRow{"public_no_flag",
                  R"({"type":"routes","meta":{"name":"r"},"spec":{"host":"a","path_prefix":"/",
                     "kind":"safe","timeout_s":1,"service":"s","public":"yes"}})",
                  "route 'r': public: expected true or false"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(PlatformApi, ParsesOnlyBearerCredentialsAsKeys) {
  const PlatformApi api;
  EXPECT_EQ(api.parseCredential({}).form, CredentialForm::kNone);
  EXPECT_EQ(api.parseCredential({"Bearer abc"}).key, "abc");
  EXPECT_EQ(api.parseCredential({"bEARER abc"}).key, "abc");
  for (const char* other : {"", "Bearer", "Bearer ", "Basic abc", "abc"}) {
    EXPECT_EQ(api.parseCredential({other}).form, CredentialForm::kMalformed) << other;
  }
  EXPECT_EQ(api.parseCredential({"Bearer a", "Bearer b"}).form, CredentialForm::kMalformed);
}

struct LimitRow {
  const char* name;
  std::vector<std::string> values;
  std::optional<double> rate;  ///< Expected rate; std::nullopt if the limit is unreadable.
};

void PrintTo(const LimitRow& row, std::ostream* out) {
  *out << row.name;
}

class NamedLimitTest : public testing::TestWithParam<LimitRow> {};

TEST_P(NamedLimitTest, AcceptsOnlyOneDecimalNumberOfRequestsPerSecond) {
  const PlatformApi api;
  const named_limit named = api.parseLimit(GetParam().values);
  if (GetParam().rate) {
    ASSERT_TRUE(std::holds_alternative<request_rate>(named));
    EXPECT_EQ(std::get<request_rate>(named).per_second, *GetParam().rate);
  } else {
    ASSERT_TRUE(std::holds_alternative<unreadable_limit>(named));
    EXPECT_EQ(std::get<unreadable_limit>(named).reason,
              "Server-Limit: expected one decimal number of 0 or more, found '" +
                  GetParam().values.front() + "' in one of " +
                  std::to_string(GetParam().values.size()));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, NamedLimitTest,
    testing::Values(LimitRow{"decimal", {"12.3"}, 12.3}, LimitRow{"whole", {"400"}, 400},
                    LimitRow{"zero", {"0"}, 0}, LimitRow{"huge", {"99999999999999999999"}, 1e20},
                    LimitRow{"negative", {"-1"}, std::nullopt},
                    LimitRow{"empty", {""}, std::nullopt}, LimitRow{"word", {"many"}, std::nullopt},
                    LimitRow{"unit", {"12/s"}, std::nullopt},
                    LimitRow{"infinite", {"inf"}, std::nullopt},
                    LimitRow{"exponent", {"1e3"}, std::nullopt},
                    LimitRow{"hexadecimal", {"0x1f"}, std::nullopt},
                    LimitRow{"only_a_point", {"."}, std::nullopt},
                    LimitRow{"two_points", {"1.2.3"}, std::nullopt},
                    LimitRow{"two_fields", {"12", "13"}, std::nullopt}));

TEST(PlatformApi, ParsesLimitAndLeavingFieldsOfServer) {
  const PlatformApi api;
  EXPECT_TRUE(std::holds_alternative<no_limit>(api.parseLimit({})));
  EXPECT_FALSE(api.parseLeaving({}));
  EXPECT_FALSE(api.parseLeaving({"0"}));
  EXPECT_TRUE(api.parseLeaving({"1"}));
}

TEST(PlatformApi, SetsRevocationBoundOnlyIfStrict) {
  const PlatformApi api;
  EXPECT_FALSE(api.parseBounds({"revoke_s=5"}).value->revocation);
  EXPECT_EQ(api.parseBounds({"revoke_s=4", "strict_revoke=true"}).value->revocation, seconds(4));
  EXPECT_NE(api.parseBounds({"strict_revoke=yes"}).error, "");
  const auto quota =
      api.parseBounds({"quota_window_s=2", "quota_excess=0.2", "quota_slack=3"}).value->quota;
  EXPECT_EQ(quota.window, seconds(2));
  EXPECT_EQ(quota.excess, 0.2);
  EXPECT_EQ(quota.slack, 3);
}

struct BoundsRow {
  std::vector<std::string> texts;
  std::string error;  ///< Expected error; empty if the bounds are valid.
};

void PrintTo(const BoundsRow& row, std::ostream* out) {
  *out << (row.texts.empty() ? "none" : row.texts.front());
}

class BoundsTest : public testing::TestWithParam<BoundsRow> {};

TEST_P(BoundsTest, ErrorNamesInvalidBound) {
  EXPECT_EQ(PlatformApi().parseBounds(GetParam().texts).error, GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, BoundsTest,
    testing::Values(
        BoundsRow{{}, ""}, BoundsRow{{"grace_s=10", "drain_timeout_s=2.5"}, ""},
        BoundsRow{{"unheard_of=true"}, ""},
        BoundsRow{{"10"}, "bounds: expected NAME=VALUE, found '10'"},
        BoundsRow{{"=10"}, "bounds: expected NAME=VALUE, found '=10'"},
        BoundsRow{{"grace_s=long"},
                  "bounds: grace_s: expected a number of 0 or more, found 'long'"},
        BoundsRow{{"grace_s="}, "bounds: grace_s: expected a number of 0 or more, found ''"},
        BoundsRow{{"budget_window_s=0.5"},
                  "bounds: budget_window_s: expected a second or more, found '0.5'"},
        BoundsRow{{"retry_budget_ratio=-1"},
                  "bounds: retry_budget_ratio: expected a number of 0 or more, found '-1'"}));

struct TemplateEntry {
  std::string key;
  std::string value;
};

void replaceAll(std::string& text, const std::string& mark, const std::string& by) {
  for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + by.size())) {
    text.replace(at, mark.size(), by);
  }
}

/// Expands the section for `table` in the template of the proxy's settings, one string per entry,
/// as the platform does: {{@}} is the key, {{.}} the value.
std::vector<std::string> expandTemplate(const std::string& table,
                                        const std::vector<TemplateEntry>& entries) {
  std::ifstream file(std::string(RAMPPOND_SOURCE_FOLDER) + "/deploy/proxy.toml.template");
  std::stringstream whole;
  whole << file.rdbuf();
  const std::string text = whole.str();
  const std::string begin = "{{#" + table + "}}\"";
  const std::size_t from = text.find(begin) + begin.size();
  const std::string pattern = text.substr(from, text.find("\"{{,}}{{/" + table + "}}") - from);
  std::vector<std::string> expanded;
  for (const TemplateEntry& entry : entries) {
    expanded.push_back(pattern);
    replaceAll(expanded.back(), "{{@}}", entry.key);
    replaceAll(expanded.back(), "{{.}}", entry.value);
  }
  return expanded;
}

// Guards against a template that leaves out the names of the bounds: every daemon then kept its
// defaults and ended 6 s after SIGTERM instead of the configured 10 s, which lost a request in
// flight.
TEST(PlatformApi, ParsesBoundsExpandedFromSettingsTemplate) {
  const auto parsed = PlatformApi().parseBounds(expandTemplate(
      "bounds", {{"grace_s", "10"}, {"drain_timeout_s", "2.5"}, {"retry_budget_ratio", "0.3"}}));
  ASSERT_TRUE(parsed.value) << parsed.error;
  EXPECT_EQ(parsed.value->grace, seconds(10));
  EXPECT_EQ(parsed.value->drain_timeout, milliseconds(2500));
  EXPECT_EQ(parsed.value->retry_ratio, 0.3);
}

TEST(PlatformApi, ParsesHeartbeat) {
  const PlatformApi api;
  const auto parsed = api.parseHeartbeat(
      "i-1", R"({"address":"10.0.0.9:8080","info":{"service":"s1","version":"v1","zone":"z",
      "slots":87},"status":{"state":"draining","seq":4,"cold_left_s":1.5}})");
  ASSERT_TRUE(parsed.value) << parsed.error;
  EXPECT_EQ(parsed.value->instance_id, "i-1");
  EXPECT_EQ(parsed.value->slots, 87U);
  EXPECT_TRUE(parsed.value->draining);
  EXPECT_EQ(parsed.value->sequence, 4U);
  EXPECT_EQ(parsed.value->cold_left, milliseconds(1500));
  EXPECT_FALSE(api.parseHeartbeat("i-1", "{}").value);
  EXPECT_FALSE(api.parseHeartbeat("i-1", "not json").value);
}

TEST(PlatformApi, ClassifiesCallsByMethodAndPath) {
  const PlatformApi api;
  EXPECT_EQ(api.classify("GET", "/api/ready?x").type, ExternalCallType::kReadiness);
  const ExternalCall beat = api.classify("POST", "/api/instances/i-1/heartbeat");
  EXPECT_EQ(beat.type, ExternalCallType::kHeartbeat);
  EXPECT_EQ(beat.instance_id, "i-1");
  EXPECT_EQ(api.classify("POST", "/api/instances/i-1/leave").type, ExternalCallType::kLeave);
  EXPECT_EQ(api.classify("POST", "/api/config/put").type, ExternalCallType::kReplaceTraffic);
  EXPECT_EQ(api.classify("GET", "/api/config/get").type, ExternalCallType::kReadTraffic);
  EXPECT_EQ(api.classify("DELETE", "/api/config/get").type, ExternalCallType::kUnknown);
  EXPECT_EQ(api.classify("POST", "/elsewhere").type, ExternalCallType::kUnknown);
}

// Returns whether `name` occurs in `text`, other than as the end of a longer name such as one of
// ramppond's own headers.
bool containsName(const std::string& text, const std::string& name) {
  for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) {
    if (at == 0 || text[at - 1] != '-') {
      return true;
    }
  }
  return false;
}

TEST(PlatformNames, OccurOnlyInAdapter) {
  const std::vector<std::string> names = {
      "Deadline-Ms", "Caller-Service",  "Expect-Instance",   "Server-Stamp", "Base-Version",
      "/api/ready",  "/api/instances",  "/api/config",       "timeout_s",    "goal_s",
      "cold_left_s", "drain_timeout_s", "RAMPPOND_NODE_FILE"};
  const std::vector<std::string> folders = {"core",    "common", "storage", "net", "daemon",
                                            "control", "cli",    "lab",     "spec"};
  for (const std::string& folder : folders) {
    const std::filesystem::path root = std::filesystem::path(RAMPPOND_SOURCE_FOLDER) / folder;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root)) {
      if (!entry.is_regular_file()) {
        continue;
      }
      std::ifstream file(entry.path());
      std::stringstream text;
      text << file.rdbuf();
      for (const std::string& name : names) {
        EXPECT_FALSE(containsName(text.str(), name)) << name << " in " << entry.path();
      }
    }
  }
}

struct HeartbeatRow {
  const char* name;
  const char* body;
  const char* error;
};

void PrintTo(const HeartbeatRow& row, std::ostream* out) {
  *out << row.name;
}

class MalformedHeartbeatTest : public testing::TestWithParam<HeartbeatRow> {};

TEST_P(MalformedHeartbeatTest, ErrorNamesFieldAndExpectedValue) {
  const auto parsed = PlatformApi().parseHeartbeat("i-1", GetParam().body);
  EXPECT_FALSE(parsed.value);
  EXPECT_NE(parsed.error.find(GetParam().error), std::string::npos) << parsed.error;
}

INSTANTIATE_TEST_SUITE_P(
    Rows, MalformedHeartbeatTest,
    testing::Values(
        HeartbeatRow{"bytes", "\x01\xff\xfe", "parse error"},
        HeartbeatRow{"empty", "", "parse error"},
        HeartbeatRow{"list", "[1]", "heartbeat: expected an object"},
        HeartbeatRow{"no_info", R"({"address":"a:1","status":{}})", "heartbeat: info: missing"},
        HeartbeatRow{"info_of_another_type", R"({"address":"a:1","info":7,"status":{}})",
                     "heartbeat: expected an object"},
        HeartbeatRow{"slots_as_text",
                     R"({"address":"a:1","info":{"service":"s","slots":"9"},
                      "status":{"state":"ready","seq":1}})",
                     "heartbeat: slots: expected a number"},
        HeartbeatRow{"unknown_state",
                     R"({"address":"a:1","info":{"service":"s","slots":9},
                      "status":{"state":"resting","seq":1}})",
                     "heartbeat: state: expected ready or draining"},
        HeartbeatRow{"start_as_text",
                     R"({"address":"a:1","born":"7","info":{"service":"s","slots":9},
                      "status":{"state":"ready","seq":1}})",
                     "heartbeat: born: expected a whole number of milliseconds"},
        HeartbeatRow{"start_with_a_fraction",
                     R"({"address":"a:1","born":7.5,"info":{"service":"s","slots":9},
                      "status":{"state":"ready","seq":1}})",
                     "heartbeat: born: expected a whole number of milliseconds"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(PlatformApi, ParsesStartTimeOfServer) {
  const PlatformApi api;
  const auto beat = api.parseHeartbeat(
      "i-1", R"({"address":"a:1","born":1791000000123,"info":{"service":"s","slots":9},
                 "status":{"state":"ready","seq":1}})");
  ASSERT_TRUE(beat.value) << beat.error;
  EXPECT_EQ(beat.value->started_ms, 1791000000123);
  EXPECT_EQ(api.parseLeave("i-1", R"({"born":1791000000123})").value->started_ms, 1791000000123);
  EXPECT_EQ(api.parseLeave("i-1", "").value->started_ms, std::nullopt);
  EXPECT_NE(api.parseLeave("i-1", R"({"born":"x"})").error, "");
  EXPECT_NE(api.parseLeave("i-1", "\xff").error, "");
}

}  // namespace
}  // namespace ramppond::platform
