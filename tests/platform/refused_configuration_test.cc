// What the operator is told about an invalid configuration, with real processes. Guards against a
// refusal that does not say which entry is wrong and what was expected, and against one that
// repeats a tenant's key.
#include <gtest/gtest.h>

#include <functional>
#include <nlohmann/json.hpp>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

using Json = nlohmann::json;

constexpr char kKey[] = "secret-key-of-a-tenant";

/// Changes a valid configuration into an invalid one.
using Change = std::function<void(Json&)>;

struct RefusalRow {
  const char* name;
  Change change;
  const char* reason;
};

Json& specOf(Json& document, const std::string& type, std::size_t index) {
  for (Json& entry : document["resources"]) {
    if (entry["type"] == type && index-- == 0) {
      return entry["spec"];
    }
  }
  throw std::out_of_range("no such resource");
}

Change setRoute(const std::string& key, const Json& value) {
  return [=](Json& document) { specOf(document, "routes", 0)[key] = value; };
}

Change splitRoute(const Json& parts) {
  return [=](Json& document) {
    Json& route = specOf(document, "routes", 0);
    route.erase("service");
    route["split"] = parts;
  };
}

const std::vector<RefusalRow> kRows = {
    {"unknown_kind", setRoute("kind", "odd"),
     "route 'r-one': kind: expected safe, unsafe or download, or upload"},
    {"unknown_service", setRoute("service", "nowhere"),
     "route 'r-one': service 'nowhere' is not defined"},
    {"empty_host", setRoute("host", ""), "route 'r-one': host: expected a name"},
    {"long_timeout", setRoute("timeout_s", 601),
     "route 'r-one': time-out: expected above 0 and at most 10 minutes"},
    {"goal_above_timeout", setRoute("goal_s", 600),
     "route 'r-one': goal: expected less than a minute above the time-out"},
    {"negative_weight",
     splitRoute({{{"service", "one"}, {"weight", -1}}, {{"service", "two"}, {"weight", 3}}}),
     "route 'r-one': weight: expected 0 or more"},
    {"no_weight", splitRoute({{{"service", "one"}, {"weight", 0}}}),
     "route 'r-one': weights: expected a sum above 0"},
    {"old_version", [](Json& document) { document["version"] = "00000001"; },
     "version: expected above 2"},
    {"health_path_no_text",
     [](Json& document) { specOf(document, "services", 0)["health_path"] = 7; },
     "service 'one': health_path: expected a string"},
    {"specification_no_object", [](Json& document) { document["resources"][0]["spec"] = "none"; },
     "routes: spec: expected an object"},
    {"shared_key",
     [](Json& document) {
       for (const char* name : {"first", "second"}) {
         document["resources"].push_back(
             {{"type", "tenants"}, {"meta", {{"name", name}}}, {"spec", {{"api_keys", {kKey}}}}});
       }
     },
     "tenant 'second': keys: expected keys that no other entry has, found one of tenant 'first'"},
    {"tenant_name_with_line_break",
     [](Json& document) {
       document["resources"].push_back({{"type", "tenants"},
                                        {"meta", {{"name", "council\r\nDeadline-Ms: 1"}}},
                                        {"spec", {{"api_keys", {kKey}}}}});
     },
     "tenant 'council??Deadline-Ms: 1': name: expected no control characters and no space at "
     "either end"},
    {"tenant_name_with_space_at_the_end",
     [](Json& document) {
       document["resources"].push_back({{"type", "tenants"},
                                        {"meta", {{"name", "council "}}},
                                        {"spec", {{"api_keys", {kKey}}}}});
     },
     "tenant 'council ': name: expected no control characters and no space at either end"},
    {"route_name_with_null",
     [](Json& document) { document["resources"][0]["meta"]["name"] = std::string("r-one\0", 6); },
     "route 'r-one?': name: expected no control characters and no space at either end"},
    {"service_name_with_tab",
     [](Json& document) {
       document["resources"].push_back({{"type", "services"},
                                        {"meta", {{"name", "th\tree"}}},
                                        {"spec", {{"health_path", "/health"}}}});
     },
     "service 'th?ree': name: expected no control characters and no space at either end"},
    {"health_path_with_second_request",
     [](Json& document) {
       specOf(document, "services", 0)["health_path"] = "/health HTTP/1.1\r\nHost: h\r\n\r\nGET /";
     },
     "service 'one': health path: expected visible characters"},
};

class RefusedConfiguration : public ForwardingTest {
 protected:
  /// Puts `document` at the leader and returns the whole answer.
  std::string putAtLeader(const std::string& document) {
    const std::string head =
        "POST /api/config/put HTTP/1.1\r\nHost: h\r\nConnection: close\r\nBase-Version: 00000002"
        "\r\nContent-Type: application/json\r\nContent-Length: ";
    const std::string request = head + std::to_string(document.size()) + "\r\n\r\n" + document;
    std::string answer;
    for (int machine = 0; machine < Deployment::kControlMachines; ++machine) {
      answer = deployment_.sendInParts(deployment_.controlHost(machine),
                                       deployment_.ports.operators, {request}, "}");
      if (answer.find("HTTP/1.1 307") != 0) {
        return answer;
      }
    }
    return answer;
  }
  void expectRefused(const std::string& document, const std::string& reason) {
    const std::string answer = putAtLeader(document);
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << answer;
    const auto body = Json::parse(answer.substr(answer.find("\r\n\r\n") + 4), nullptr, false);
    ASSERT_FALSE(body.is_discarded()) << answer;
    EXPECT_EQ(body.value("error", ""), "invalid");
    EXPECT_EQ(body.value("reason", ""), reason);
  }
};

TEST_F(RefusedConfiguration, AnswerAndLogNameEntryFieldAndExpectedValue) {
  for (const RefusalRow& row : kRows) {
    SCOPED_TRACE(row.name);
    Json document = Json::parse(configurationDocument("00000009", "/first/"));
    row.change(document);
    expectRefused(document.dump(), row.reason);
  }
  const std::string whole = configurationDocument("00000009", "/first/");
  expectRefused(whole.substr(0, 300),
                "configuration: expected a complete JSON document, error at byte 301");
  expectRefused(std::string("{\"version\":\"00000009\",\"api_keys\":[\"") + kKey + "\"x",
                "configuration: expected a complete JSON document, error at byte 59");
  for (const char* reason : {"weights: expected a sum above 0", "version: expected above 2"}) {
    EXPECT_TRUE(deployment_.runUntil([&] { return logContains(reason); })) << reason;
  }
  EXPECT_FALSE(logContains(kKey));
  EXPECT_TRUE(allServe("/one/x"));
}

}  // namespace
}  // namespace ramppond::fake_platform
