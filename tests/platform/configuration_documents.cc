#include "tests/platform/configuration_documents.h"

namespace ramppond::fake_platform {

std::string stringArray(const std::vector<std::string>& texts) {
  std::string list = "[";
  for (const std::string& text : texts) {
    list += (list.size() == 1 ? "\"" : ",\"") + text + "\"";
  }
  return list + "]";
}

std::string configurationDocument(const std::string& version, const std::string& extra_prefix) {
  const auto route = [](const std::string& name, const std::string& prefix, const std::string& kind,
                        const std::string& service) {
    return R"({"type":"routes","meta":{"name":")" + name +
           R"("},"spec":{"host":"app.example","path_prefix":")" + prefix + R"(","kind":")" + kind +
           R"(","timeout_s":5,"goal_s":1,"priority":1,"max_attempts":2,"service":")" + service +
           R"("}})";
  };
  const std::string service_end = R"("},"spec":{"health_path":"/health","max_conns":100}})";
  return R"({"version":")" + version + R"(","resources":[)" +
         route("r-one", "/one/", "safe", "one") + "," + route("r-two", "/two/", "unsafe", "two") +
         "," + route("r-extra", extra_prefix, "safe", "two") + "," +
         R"({"type":"services","meta":{"name":"one)" + service_end + "," +
         R"({"type":"services","meta":{"name":"two)" + service_end +
         R"(,{"type":"limits","meta":{},"spec":{"max_header_bytes":16384,"max_body_bytes":100000,)"
         R"("header_timeout_s":3,"idle_timeout_s":15}}]})";
}

std::string tenantDocument(const std::string& version, const std::vector<TenantSpec>& tenants) {
  std::string document = configurationDocument(version, "/first/");
  std::string added =
      R"({"type":"routes","meta":{"name":"r-open"},"spec":{"host":"app.example",)"
      R"("path_prefix":"/open/","kind":"safe","timeout_s":5,"goal_s":1,"priority":1,)"
      R"("max_attempts":2,"service":"one","public":true}})";
  for (const TenantSpec& tenant : tenants) {
    added += R"(,{"type":"tenants","meta":{"name":")" + tenant.name + R"("},"spec":{"api_keys":)" +
             stringArray(tenant.keys) + R"(,"priority":1,"rate_per_s":)" +
             std::to_string(tenant.rate_per_s) + R"(,"burst":)" +
             std::to_string(tenant.rate_per_s) + "}}";
  }
  return document.insert(document.size() - 2, "," + added);
}

}  // namespace ramppond::fake_platform
