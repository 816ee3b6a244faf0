#include "cli/member_commands.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace ramppond {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::uint64_t kSilentAfterMs = 5000;

Json memberJson(const MemberStatus& status) {
  Json json;
  json["name"] = status.member.name;
  json["address"] = status.member.address;
  json["id"] = status.member.id;
  json["role"] = status.leader ? "leader" : (status.member.voter ? "voter" : "learner");
  json["heard"] = status.heard;
  json["silent_ms"] = status.silent_ms;
  return json;
}

// The status as the leader sees it, or else as any member does.
std::optional<ControlReply> bestStatus(CommandContext& context) {
  ControlRequest request;
  request.type = ControlRequestType::kStatus;
  std::optional<ControlReply> best;
  for (const std::string& address : context.client.addresses()) {
    const auto reply = context.client.askMember(address, request);
    if (!reply) {
      continue;
    }
    if (!reply->leader_address.empty() && reply->leader_address != address) {
      auto from_leader = context.client.askMember(reply->leader_address, request);
      if (from_leader) {
        return from_leader;
      }
    }
    const bool better = !best || (reply->authoritative && !best->authoritative);
    best = better ? reply : best;
  }
  return best;
}

void printStatus(CommandContext& context, const ControlReply& reply) {
  const ControlStatus& status = reply.status;
  context.output << "group " << status.group_id << " term " << status.term << " commit "
                 << status.commit << (reply.authoritative ? "" : "  NO LEADER HEARD") << '\n';
  for (const MemberStatus& member : status.members) {
    const Json json = memberJson(member);
    context.output << "  " << member.member.name << ' ' << member.member.address << ' '
                   << json["role"].get<std::string>();
    const bool silent = !member.heard || member.silent_ms > kSilentAfterMs;
    if (silent && member.member.id != status.self) {
      context.output << "  SILENT"
                     << (member.heard ? " for " + std::to_string(member.silent_ms) + " ms" : "");
    }
    context.output << '\n';
  }
  context.output << "daemons " << status.sessions << "  claims " << status.claims << '\n';
}

}  // namespace

ExitCode statusCommand(CommandContext& context) {
  const auto reply = bestStatus(context);
  if (!reply) {
    return unavailable(context);
  }
  if (context.json()) {
    Json json;
    json["group"] = reply->status.group_id;
    json["term"] = reply->status.term;
    json["commit"] = reply->status.commit;
    json["authoritative"] = reply->authoritative;
    json["daemons"] = reply->status.sessions;
    json["claims"] = reply->status.claims;
    json["members"] = Json::array();
    for (const MemberStatus& member : reply->status.members) {
      json["members"].push_back(memberJson(member));
    }
    context.output << json.dump(2) << '\n';
  } else {
    printStatus(context, *reply);
  }
  return reply->authoritative ? ExitCode::kSuccess : ExitCode::kUnavailable;
}

namespace {

ExitCode finishMemberChange(CommandContext& context, const std::optional<ControlReply>& reply,
                            const std::string& done) {
  if (!reply) {
    return unavailable(context);
  }
  if (reply->error != ErrorKind::kNone) {
    return refused(context, reply->error, reply->reason);
  }
  context.output << done << '\n';
  return ExitCode::kSuccess;
}

ExitCode addMember(CommandContext& context) {
  const std::string address = context.operand(2);
  ControlRequest identity;
  identity.type = ControlRequestType::kIdentity;
  const auto newcomer = context.client.askMember(address, identity);
  if (!newcomer) {
    return unavailable(context);
  }
  ControlRequest request;
  request.type = ControlRequestType::kAddMember;
  request.member.id = newcomer->status.self;
  request.member.name = newcomer->status.name;
  request.member.address = address;
  return finishMemberChange(context, context.client.ask(request),
                            newcomer->status.name +
                                " added as a learner; it votes once it has "
                                "caught up");
}

}  // namespace

ExitCode memberCommand(CommandContext& context) {
  const std::string action = context.operand(1);
  if (action == "list") {
    return statusCommand(context);
  }
  if (context.operand(2).empty()) {
    return usageError(context, "member: expected list, add HOST:PORT or remove NAME");
  }
  if (action == "add") {
    return addMember(context);
  }
  if (action != "remove") {
    return usageError(context, "member: expected list, add HOST:PORT or remove NAME");
  }
  ControlRequest request;
  request.type = ControlRequestType::kRemoveMember;
  request.member.name = context.operand(2);
  return finishMemberChange(context, context.client.ask(request), context.operand(2) + " removed");
}

ExitCode bootstrapCommand(CommandContext& context) {
  ControlRequest request;
  request.type = ControlRequestType::kBootstrap;
  const auto reply = context.client.askMember(context.client.addresses().front(), request);
  return finishMemberChange(context, reply,
                            "group started with " + context.client.addresses().front());
}

}  // namespace ramppond
