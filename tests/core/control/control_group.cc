#include "tests/core/control/control_group.h"

#include "core/cbor_codec.h"

namespace ramppond {
namespace {

constexpr std::size_t kAddressDigit = 5;  // Position of MEMBER in "10.0.MEMBER.1:1".

}  // namespace

std::string ControlGroup::addressOf(std::size_t member) {
  return "10.0." + std::to_string(member) + ".1:1";
}

std::size_t ControlGroup::memberAt(const std::string& address) {
  return std::stoul(address.substr(kAddressDigit));
}

ControlGroup::ControlGroup(const GroupOptions& options)
    : step_(options.step), isolated_(options.members) {
  Membership membership;
  for (std::size_t member = 0; member < options.first; ++member) {
    membership.members.push_back(
        {member + 1, "m" + std::to_string(member), addressOf(member), true});
  }
  for (std::size_t member = 0; member < options.members; ++member) {
    ControlOptions control;
    control.name = "m" + std::to_string(member);
    control.address = addressOf(member);
    control.zone = options.zones == 0 ? "" : "zone-" + std::to_string(member % options.zones);
    control.raft.id = member + 1;
    control.raft.random_seed = member + 1;
    control.registry_epoch = member + 1;
    control.session_pull_interval = milliseconds(150);
    cores_.push_back(std::make_unique<ControlCore>(control, RaftRecovery{}, now_));
    cores_.back()->bootstrapGroup(1, membership, now_);
  }
  run(seconds(5));
}

void ControlGroup::run(Duration time) {
  for (const TimePoint end = now_ + time; now_ < end;) {
    step();
  }
}

void ControlGroup::step() {
  now_ += step_;
  sendMissingJoinRequests();
  for (std::size_t member = 0; member < cores_.size(); ++member) {
    cores_[member]->tick(now_, 0);
    work(member);
  }
}

void ControlGroup::sendMissingJoinRequests() {
  const std::size_t leading = leader();
  for (std::size_t member = 0; member < cores_.size(); ++member) {
    const RaftNode& raft = cores_[member]->raft();
    if (raft.membership().find(raft.id()) != nullptr || !canReach(member, leading)) {
      continue;
    }
    ControlRequest join;
    join.type = ControlRequestType::kJoin;
    join.member = {raft.id(), "m" + std::to_string(member), addressOf(member), false};
    pending_requests_[next_token_] = {member, 0};
    cores_[leading]->onRequest(next_token_, join, now_);
    next_token_ += 1;
  }
}

std::size_t ControlGroup::leader() const {
  std::size_t found = 0;
  for (std::size_t member = 0; member < cores_.size(); ++member) {
    const RaftNode& raft = cores_[member]->raft();
    const bool newer = raft.term() >= cores_[found]->raft().term();
    found = raft.role() == RaftRole::kLeader && newer ? member : found;
  }
  return found;
}

ControlToken ControlGroup::request(std::size_t member, const ControlRequest& request) {
  const ControlToken token = next_token_++;
  cores_.at(member)->onRequest(token, request, now_);
  return token;
}

void ControlGroup::replaceTraffic(std::uint64_t base_number,
                                  const TrafficConfiguration& configuration) {
  TrafficReplacement replacement;
  replacement.base_number = base_number;
  replacement.configuration = configuration;
  replacement.document = std::to_string(configuration.number);
  ControlRequest command;
  command.type = ControlRequestType::kCommand;
  command.command.type = CommandType::kReplaceTraffic;
  command.command.traffic = encode(replacement);
  request(leader(), command);
}

void ControlGroup::work(std::size_t member) {
  for (ControlWork work = cores_[member]->take(now_); !work.empty();
       work = cores_[member]->take(now_)) {
    for (const RaftMessage& message : work.raft.messages) {
      const std::size_t to = message.to - 1;
      if (canReach(member, to)) {
        cores_.at(to)->onRaftMessage(message, addressOf(member), now_);
      }
    }
    for (const ControlAnswer& answer : work.answers) {
      deliver(member, answer);
    }
    for (const MemberRequest& request : work.member_requests) {
      ask(member, request);
    }
    cores_[member]->done(work, now_);
  }
}

void ControlGroup::ask(std::size_t from, const MemberRequest& request) {
  const std::size_t to = memberAt(request.address);
  if (!canReach(from, to)) {
    return;
  }
  const ControlToken token = next_token_++;
  pending_requests_[token] = {from, request.request_id};
  cores_.at(to)->onRequest(token, request.request, now_);
}

void ControlGroup::deliver(std::size_t from, const ControlAnswer& answer) {
  const auto pending = pending_requests_.find(answer.token);
  if (pending == pending_requests_.end()) {
    answers_[answer.token] = answer.reply;
    return;
  }
  if (canReach(from, pending->second.member)) {
    member_bytes_ += encode(answer.reply).size();
    cores_[pending->second.member]->onMemberReply(pending->second.request_id, answer.reply, now_);
  }
  pending_requests_.erase(pending);
}

}  // namespace ramppond
