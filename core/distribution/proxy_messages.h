// Messages between proxies and coordinators about the traffic configuration, the servers and
// crashes. Carried inside ControlRequest and ControlReply. Pure data; field numbers are fixed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/cbor_codec.h"
#include "core/crash_evidence/instance_evidence.h"
#include "core/distribution/instance_record.h"
#include "core/traffic/traffic_configuration.h"

namespace ramppond {

/// The question of a proxy; the answer may be held until there is news. Coordinators ask each other
/// in the same form, without a record of their own.
struct ProxyPoll {
  bool has_self = false;
  InstanceRecord self;                      ///< The asking proxy's own record.
  std::uint64_t traffic_index = 0;          ///< Log index of the configuration held; 0 for none.
  std::uint64_t registry_epoch = 0;         ///< Of the coordinator whose counter follows.
  std::uint64_t registry_counter = 0;       ///< Its records are known up to here.
  Duration hold{0};                         ///< How long the answer may wait for news.
  bool wants_proof = false;                 ///< The answer is to be confirmed by a quorum.
  std::vector<instance_evidence> evidence;  ///< That the coordinator may not know.
  std::string evidence_service;             ///< Evidence of this service is wanted.
  std::uint64_t evidence_counter = 0;       ///< Known up to here, as registry_counter is.
  /// Of the records held, for a coordinator whose counter is not known; see record_digests.
  std::vector<std::uint64_t> record_digests;
  bool takes_differences = false;    ///< A configuration may come as a difference.
  std::uint64_t members_digest = 0;  ///< Of the coordinators that are known; see digestOf().

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, has_self);
    visitor(2, self);
    visitor(3, traffic_index);
    visitor(4, registry_epoch);
    visitor(5, registry_counter);
    visitor(6, hold);
    visitor(7, wants_proof);
    visitor(8, evidence);
    visitor(9, evidence_service);
    visitor(10, evidence_counter);
    visitor(11, record_digests);
    visitor(12, takes_differences);
    visitor(13, members_digest);
  }
};

/// The traffic_index of a poll that wants no configuration.
constexpr std::uint64_t kNoTrafficWanted = ~std::uint64_t{0};

/// The answer to a ProxyPoll.
struct ProxyNews {
  std::uint64_t traffic_index = 0;  ///< Of `traffic` or `traffic_difference`; 0 for no news.
  std::string traffic;              ///< An encoded TrafficConfiguration.
  std::string traffic_difference;   ///< In its place: an encoded traffic_difference.
  std::uint64_t registry_epoch = 0;
  std::uint64_t registry_counter = 0;
  std::vector<Preencoded<InstanceRecord>> instances;
  /// Coordinators, HOST:PORT; none if those that the asker knows have not changed. A coordinator
  /// that asks gets the answering one only, since it has the others from the log.
  std::vector<std::string> member_addresses;
  std::uint64_t evidence_counter = 0;
  std::vector<instance_evidence> evidence;
  std::vector<std::string> member_zones;  ///< Of member_addresses, in order; empty for unknown.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, traffic_index);
    visitor(2, traffic);
    visitor(3, registry_epoch);
    visitor(4, registry_counter);
    visitor(5, instances);
    visitor(6, member_addresses);
    visitor(7, evidence_counter);
    visitor(8, evidence);
    visitor(9, traffic_difference);
    visitor(10, member_zones);
  }
};

/// The address and zone of a coordinator.
struct ControlMemberLocation {
  std::string address;  ///< HOST:PORT.
  std::string zone;     ///< Empty for unknown.

  bool operator==(const ControlMemberLocation& other) const {
    return address == other.address && zone == other.zone;
  }
};

/// The coordinators that `news` names.
std::vector<ControlMemberLocation> locationsOf(const ProxyNews& news);
/// A digest of `members`, independent of their order; never 0.
std::uint64_t digestOf(std::vector<ControlMemberLocation> members);

}  // namespace ramppond
