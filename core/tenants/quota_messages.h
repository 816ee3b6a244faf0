// What proxies report to the leader of the coordinators about tenants' requests, and its answer.
//
// Reports hold totals since the proxy's start, so a report that is lost, doubled or late changes
// nothing. They also hold the totals that a leader has confirmed, so a new leader doesn't count
// those requests again.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ramppond {

struct tenant_use {
  std::string tenant;
  std::uint64_t arrived = 0;  // requests, refused ones included
  std::uint64_t run = 0;      // requests admitted, less those that provably did not run
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
  std::string proxy_address;      // HOST:PORT where the proxy takes requests of its peers
  std::uint64_t incarnation = 0;  // of the proxy's process
  std::uint64_t sequence = 0;     // rises with each report
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
  std::uint32_t permille = 1000;  // of its requests that may be admitted

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, tenant);
    visitor(2, permille);
  }
};

/// The leader's answer to a report.
struct quota_answer {
  std::uint32_t proxies = 0;             // proxies that report or did lately
  std::vector<tenant_fraction> limited;  // requests of all other tenants may be admitted

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, proxies);
    visitor(2, limited);
  }
};

}  // namespace ramppond
