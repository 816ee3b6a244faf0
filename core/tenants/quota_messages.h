// Messages by which proxies report tenants' requests to the coordinators' leader, and its answer.
//
// Reports carry totals since the start of the proxy, so that lost, duplicated and late reports do
// no harm. They also carry the totals that a leader has confirmed, so that a new leader does not
// count those requests again.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ramppond {

struct tenant_use {
  std::string tenant;
  std::uint64_t arrived = 0;  // requests, including refused ones
  std::uint64_t run = 0;      // admitted requests, without those that provably did not run
  std::uint64_t arrived_confirmed = 0;
  std::uint64_t run_confirmed = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, tenant);
    visitor(2, arrived);
    visitor(3, run);
    visitor(4, arrived_confirmed);
    visitor(5, run_confirmed);
  }
};

struct quota_report {
  std::string proxy_address;      // HOST:PORT where the proxy accepts requests of its peers
  std::uint64_t incarnation = 0;  // of the proxy's process
  std::uint64_t sequence = 0;     // increases with each report
  std::vector<tenant_use> uses;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, proxy_address);
    visitor(2, incarnation);
    visitor(3, sequence);
    visitor(4, uses);
  }
};

struct tenant_fraction {
  std::string tenant;
  std::uint32_t permille = 1000;  // of the tenant's requests that may be admitted

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, tenant);
    visitor(2, permille);
  }
};

/// The leader's answer to a report.
struct quota_answer {
  std::uint32_t proxies = 0;             // proxies that have reported recently
  std::vector<tenant_fraction> limited;  // tenants not listed are not limited

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, proxies);
    visitor(2, limited);
  }
};

}  // namespace ramppond
