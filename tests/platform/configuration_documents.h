// Configurations that the operator of the test double puts.
#pragma once

#include <string>
#include <vector>

namespace ramppond::fake_platform {

/// Returns `["a","b"]`, an array of strings in JSON and in TOML.
std::string stringArray(const std::vector<std::string>& texts);

/// Returns a configuration with the routes /one/ (safe, service one), /two/ (unsafe, service two)
/// and `extra_prefix` (safe, service two).
std::string configurationDocument(const std::string& version, const std::string& extra_prefix);

/// A tenant of a configuration.
struct TenantSpec {
  std::string name;
  std::vector<std::string> keys;
  int rate_per_s = 0;  ///< 0 for no limit.
};
/// Returns the configuration of configurationDocument() with `tenants` and a public route /open/
/// (safe, service one).
std::string tenantDocument(const std::string& version, const std::vector<TenantSpec>& tenants);

}  // namespace ramppond::fake_platform
