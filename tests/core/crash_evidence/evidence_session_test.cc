// Distribution of crash evidence from a proxy to a member, between members, and to the proxies
// beside servers of the same service, also after the loss or restart of members.
#include <gtest/gtest.h>

#include <memory>

#include "core/cbor_codec.h"
#include "core/control/control_core.h"
#include "core/session/proxy_session.h"

namespace ramppond {
namespace {

constexpr auto members = std::size_t(3);
constexpr auto step = milliseconds(10);

auto evidence_of(const std::string& instance, const std::string& service) -> instance_evidence {
  auto evidence = instance_evidence();
  evidence.instance_id = instance;
  evidence.service = service;
  evidence.revision = 1;
  evidence.under_way = {{1, 2}};
  return evidence;
}

/// Simulates three members and several proxies in virtual time; each proxy selects its member.
class control_group : public testing::Test {
 protected:
  void SetUp() override {
    for (auto i = std::size_t(0); i < members; ++i) {
      this->membership.members.push_back({i + 1, "m" + std::to_string(i), this->address(i), true});
    }
    for (auto i = std::size_t(0); i < members; ++i) {
      this->start(i);
      this->cores[i]->bootstrapGroup(1, this->membership, this->now);
    }
    this->run(seconds(5));
  }
  static auto address(std::size_t i) -> std::string { return "10.0.0." + std::to_string(i) + ":1"; }

  void start(std::size_t i) {
    auto options = ControlOptions();
    options.name = this->membership.members[i].name;
    options.address = this->address(i);
    options.raft.id = i + 1;
    options.raft.random_seed = i + 1;
    options.registry_epoch = ++this->epochs;
    options.session_pull_interval = milliseconds(150);
    this->cores[i] = std::make_unique<ControlCore>(options, RaftRecovery{}, this->now);
  }

  auto join(const std::string& name, const std::string& service) -> ProxySession& {
    auto options = ProxySessionOptions();
    for (auto i = std::size_t(0); i < members; ++i) {
      options.seeds.push_back(this->address(i));
    }
    options.random_seed = this->proxies.size() + 1;
    this->proxies.push_back(std::make_unique<ProxySession>(options));
    auto record = InstanceRecord();
    record.proxy_address = name;
    record.service = service;
    this->proxies.back()->setOwnRecord(record);
    return *this->proxies.back();
  }

  void run(Duration time) {
    for (const auto end = this->now + time; this->now < end; this->now += step) {
      for (auto d = std::size_t(0); d < this->proxies.size(); ++d) {
        this->poll(d);
      }
      for (auto i = std::size_t(0); i < members; ++i) {
        if (this->down != i) {
          this->cores[i]->tick(this->now, 0);
          this->work(i);
        }
      }
    }
  }

  void poll(std::size_t proxy) {
    while (const auto poll = this->proxies[proxy]->takePoll(this->now)) {
      const auto member = this->index_of(poll->address);
      if (this->down == member) {
        this->proxies[proxy]->onReply(poll->poll_id, std::nullopt, this->now);
        return;
      }
      const auto token = ++this->tokens;
      this->polls[token] = {proxy, poll->poll_id};
      this->cores[member]->onRequest(token, poll->request, this->now);
    }
  }

  static auto index_of(const std::string& address) -> std::size_t {
    return static_cast<std::size_t>(address.at(7) - '0');
  }

  void work(std::size_t i) {
    while (true) {
      auto work = this->cores[i]->take(this->now);
      if (work.empty()) {
        return;
      }
      for (const auto& message : work.raft.messages) {
        const auto to = static_cast<std::size_t>(message.to) - 1;
        if (this->down != to) {
          this->cores[to]->onRaftMessage(message, this->address(i), this->now);
        }
      }
      for (const auto& request : work.member_requests) {
        const auto to = this->index_of(request.address);
        if (this->down == to) {
          continue;
        }
        const auto token = ++this->tokens;
        this->pulls[token] = {i, request.request_id};
        this->cores[to]->onRequest(token, request.request, this->now);
      }
      for (const auto& answer : work.answers) {
        this->deliver(answer);
      }
      this->cores[i]->done(work, this->now);
    }
  }

  void deliver(const ControlAnswer& answer) {
    const auto poll = this->polls.find(answer.token);
    if (poll != this->polls.end()) {
      const auto asked = poll->second;
      this->polls.erase(poll);
      this->proxies[asked.first]->onReply(asked.second, answer.reply, this->now);
    }
    const auto pull = this->pulls.find(answer.token);
    if (pull != this->pulls.end()) {
      const auto asked = pull->second;
      this->pulls.erase(pull);
      this->cores[asked.first]->onMemberReply(asked.second, answer.reply, this->now);
    }
  }

  /// Reports a timeout for each pending poll, as the driver does.
  void lose_polls_under_way() {
    for (const auto& [token, asked] : std::exchange(this->polls, {})) {
      this->proxies[asked.first]->onReply(asked.second, std::nullopt, this->now);
    }
  }

  auto instances_reported_to(ProxySession& proxy) -> std::vector<std::string> {
    auto names = std::vector<std::string>();
    for (const auto& evidence : proxy.takeEvidence()) {
      names.push_back(evidence.instance_id);
    }
    return names;
  }

  Membership membership;
  std::unique_ptr<ControlCore> cores[members];
  std::vector<std::unique_ptr<ProxySession>> proxies;
  std::map<ControlToken, std::pair<std::size_t, std::uint64_t>> polls;
  std::map<ControlToken, std::pair<std::size_t, std::uint64_t>> pulls;
  std::size_t down = members;  // index of the stopped member, if any
  std::uint64_t epochs = 0;
  ControlToken tokens = 0;
  TimePoint now = seconds(1000);
};

TEST_F(control_group, evidence_reaches_proxies_of_the_service_within_half_a_second) {
  auto& reporter = this->join("d1", "templates");
  auto same = std::vector<ProxySession*>();
  for (auto i = 0; i < 6; ++i) {  // some of them poll other members
    same.push_back(&this->join("s" + std::to_string(i), "templates"));
  }
  auto& other = this->join("d3", "exports");
  this->run(seconds(3));
  reporter.reportEvidence(evidence_of("i-1", "templates"), this->now);
  this->run(milliseconds(500));
  for (auto* proxy : same) {
    EXPECT_EQ(this->instances_reported_to(*proxy), std::vector<std::string>{"i-1"});
  }
  EXPECT_TRUE(this->instances_reported_to(other).empty());
  EXPECT_TRUE(this->instances_reported_to(reporter).empty());
}

TEST_F(control_group, evidence_reaches_a_proxy_that_joins_later) {
  auto& reporter = this->join("d1", "templates");
  this->run(seconds(3));
  reporter.reportEvidence(evidence_of("i-1", "templates"), this->now);
  this->run(seconds(1));
  auto& late = this->join("d2", "templates");
  this->run(seconds(3));
  EXPECT_EQ(this->instances_reported_to(late), std::vector<std::string>{"i-1"});
}

// Members hold evidence only in memory, so proxies have to report it again after a restart.
TEST_F(control_group, evidence_is_reported_again_after_all_members_restart) {
  auto& reporter = this->join("d1", "templates");
  this->run(seconds(3));
  reporter.reportEvidence(evidence_of("i-1", "templates"), this->now);
  this->run(seconds(1));
  for (auto i = std::size_t(0); i < members; ++i) {
    this->start(i);
    this->cores[i]->bootstrapGroup(1, this->membership, this->now);
  }
  this->lose_polls_under_way();
  this->run(seconds(5));
  auto& late = this->join("d2", "templates");
  this->run(seconds(3));
  EXPECT_EQ(this->instances_reported_to(late), std::vector<std::string>{"i-1"});
}

TEST_F(control_group, evidence_survives_the_loss_of_the_member_that_received_it) {
  auto& reporter = this->join("d1", "templates");
  this->run(seconds(3));
  reporter.reportEvidence(evidence_of("i-1", "templates"), this->now);
  this->run(milliseconds(400));
  this->down = this->index_of(reporter.upstream());
  this->lose_polls_under_way();
  auto& late = this->join("d2", "templates");
  this->run(seconds(5));
  EXPECT_EQ(this->instances_reported_to(late), std::vector<std::string>{"i-1"});
}

}  // namespace
}  // namespace ramppond
