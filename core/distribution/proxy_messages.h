// Messages between proxies and coordinators about the traffic configuration, the servers and
// crashes. Carried inside ControlRequest and ControlReply. Plain data; field numbers are fixed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/cbor_codec.h"
#include "core/crash_evidence/instance_evidence.h"
#include "core/distribution/instance_record.h"
#include "core/traffic/traffic_configuration.h"

namespace ramppond {

/// A long poll of a proxy: the coordinator may hold the answer until there is an update.
/// Coordinators poll each other with the same message, without a record of their own.
struct ProxyPoll {
  bool has_self = false;
  InstanceRecord self;                 ///< The record written by the polling proxy.
  std::uint64_t traffic_index = 0;     ///< Log index of the configuration held; 0 for none.
  std::uint64_t registry_epoch = 0;    ///< Of the coordinator that registry_counter belongs to.
  std::uint64_t registry_counter = 0;  ///< The coordinator's records are known up to here.
  Duration hold{0};  ///< How long the answer may be held until there is an update.
  bool requests_quorum_confirmation = false;  ///< Requests an answer that a quorum has confirmed.
  std::vector<instance_evidence> evidence;    ///< Crash evidence that the coordinator may not know.
  std::string evidence_service;               ///< Requests evidence of this service.
  std::uint64_t evidence_counter = 0;  ///< Evidence is known up to here, like registry_counter.
  /// Digests of the records held, for a coordinator whose counter is unknown; see record_digests.
  std::vector<std::uint64_t> record_digests;
  bool accepts_differences = false;  ///< A configuration may be sent as a difference.
  std::uint64_t members_digest = 0;  ///< Of the known coordinators; see digestOf().

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, has_self);
    visitor(2, self);
    visitor(3, traffic_index);
    visitor(4, registry_epoch);
    visitor(5, registry_counter);
    visitor(6, hold);
    visitor(7, requests_quorum_confirmation);
    visitor(8, evidence);
    visitor(9, evidence_service);
    visitor(10, evidence_counter);
    visitor(11, record_digests);
    visitor(12, accepts_differences);
    visitor(13, members_digest);
  }
};

/// The traffic_index of a poll that requests no configuration.
constexpr std::uint64_t kNoTrafficWanted = ~std::uint64_t{0};

/// The answer to a ProxyPoll: what is new to the polling proxy.
struct ProxyUpdate {
  std::uint64_t traffic_index = 0;  ///< Of `traffic` or `traffic_difference`; 0 if both are empty.
  std::string traffic;              ///< An encoded TrafficConfiguration.
  std::string traffic_difference;   ///< Instead of `traffic`: an encoded traffic_difference.
  std::uint64_t registry_epoch = 0;
  std::uint64_t registry_counter = 0;
  std::vector<Preencoded<InstanceRecord>> instances;
  /// Addresses of the coordinators, HOST:PORT; empty if they match members_digest of the poll. A
  /// polling coordinator gets only that of the answering one, since it knows the others from the
  /// log.
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

/// Returns the coordinators listed in `update`.
std::vector<ControlMemberLocation> locationsOf(const ProxyUpdate& update);
/// Returns a digest of `members` that is independent of their order and never 0.
std::uint64_t digestOf(std::vector<ControlMemberLocation> members);

}  // namespace ramppond
