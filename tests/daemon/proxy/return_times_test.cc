// Return times of forwarded requests: which refusals get one, and how a returning client is
// admitted.
#include "daemon/proxy/return_times.h"

#include <gtest/gtest.h>

#include <string>

#include "daemon/proxy/forwarded_params.h"
#include "daemon/proxy/proxy_context.h"
#include "platform/platform_api.h"

namespace ramppond {
namespace {

constexpr auto goal = Duration(seconds(1));

auto traffic_of_one_route() -> TrafficConfiguration {
  auto route = TrafficRoute();
  route.name = "r";
  route.host = "app.example";
  route.path_prefix = "/";
  route.timeout = seconds(6);
  route.goal = goal;
  route.split = {{"front", 1}};
  auto traffic = TrafficConfiguration();
  traffic.routes = {route};
  traffic.limits.max_body_bytes = 1000;
  return traffic;
}

auto settings_with(feature_mode mode) -> ProxySettings {
  auto settings = ProxySettings();
  settings.return_times = mode;
  return settings;
}

class return_times_test : public testing::Test {
 protected:
  explicit return_times_test(feature_mode mode = feature_mode::on)
      : context(this->loop, this->api, this->bounds, settings_with(mode), 1) {
    this->context.set_traffic(traffic_of_one_route());
    for (int number = 0; number < 30; ++number) {
      this->now += milliseconds(100);
      this->report(1.0);
      this->context.returns.on_served(this->resolved("/served"), this->now);
    }
  }
  /// All of one rank is to be shed: new requests are refused with a probability of 0.8.
  void report(double level) {
    this->context.overload.on_answer("r", {{"scarce", {level}}, {"front", {level}}}, this->now);
  }
  auto head_of(const std::string& target) -> HttpHead {
    auto head = HttpHead();
    head.method = "GET";
    head.target = target;
    head.set("Host", "app.example");
    head.set(
        this->api.headers().deadline_ms,
        std::to_string(std::chrono::duration_cast<milliseconds>(deadline - this->now).count()));
    return head;
  }
  /// Resolves a request; `this->refusal` tells whether it was refused.
  auto resolved(const std::string& target) -> forwarded_params {
    auto params = forwarded_params();
    params.received = this->now;
    auto head = this->head_of(target);
    this->refusal = params.resolve(this->context, head);
    return params;
  }
  auto retry_after(const std::string& target, const own_answer& answer) -> std::optional<Duration> {
    return this->context.returns.on_refused(this->resolved(target), this->head_of(target), answer,
                                            this->now);
  }

  TimePoint now{seconds(100)};
  const TimePoint deadline{seconds(108)};
  EventLoop loop;
  ramppond::platform::PlatformApi api;
  OperatingBounds bounds;
  ProxyContext context;
  std::optional<own_answer> refusal;
};

const auto overload_of_scarce = answer_downstream_overload("scarce");

TEST_F(return_times_test, client_at_its_time_is_admitted_and_an_early_one_refused) {
  for (int number = 0; number < 10; ++number) {
    const auto target = "/page?number=" + std::to_string(number);
    const auto told = this->retry_after(target, overload_of_scarce);
    ASSERT_TRUE(told);
    EXPECT_LE(*told, (this->deadline - this->now) / 3);
    this->resolved(target);
    EXPECT_TRUE(this->refusal) << "early";
    this->now += *told;
    this->report(1.0);
    this->resolved(target);
    EXPECT_FALSE(this->refusal);
  }
}

TEST_F(return_times_test, other_page_is_not_the_returning_client) {
  const auto told = this->retry_after("/page?number=1", overload_of_scarce);
  ASSERT_TRUE(told);
  this->now += *told;
  auto params = forwarded_params();
  params.client_deadline = this->deadline;
  params.received = this->now;
  auto head = this->head_of("/page?number=2");
  EXPECT_EQ(this->context.returns.on_arrival(params, head), return_arrival::new_request);
  head = this->head_of("/page?number=1");
  head.method = "POST";
  EXPECT_EQ(this->context.returns.on_arrival(params, head), return_arrival::new_request);
  head.method = "GET";
  auto tenant = TenantDefinition();
  tenant.name = "council";
  params.tenant = &tenant;
  EXPECT_EQ(this->context.returns.on_arrival(params, head), return_arrival::new_request);
  params.tenant = nullptr;
  EXPECT_EQ(this->context.returns.on_arrival(params, head), return_arrival::on_time);
}

TEST_F(return_times_test, refusals_for_lack_of_capacity_have_return_times) {
  EXPECT_TRUE(this->retry_after("/a", answer_after_attempts({false, std::nullopt, "busy;full"})));
  EXPECT_TRUE(this->retry_after("/b", answer_without_server(false)));
  EXPECT_TRUE(this->retry_after("/c", answer_at_deadline(false)));
}

TEST_F(return_times_test, other_refusals_follow_the_current_rule) {
  EXPECT_FALSE(this->retry_after("/a", answer_after_attempts({true, std::nullopt, "lost"})));
  EXPECT_FALSE(this->retry_after("/a", answer_after_attempts({false, seconds(2), "blocked"})));
  EXPECT_FALSE(this->retry_after("/a", answer_beyond_tenant_limit(seconds(1))));
  EXPECT_FALSE(this->retry_after("/a", {own_answer_kind::keys_unverifiable}));
  EXPECT_FALSE(this->retry_after("/a", {own_answer_kind::no_route}));
}

// A service that refuses requests although it has capacity: the served rate is not its capacity.
TEST_F(return_times_test, refusals_without_an_overload_follow_the_current_rule) {
  this->now += seconds(4);
  EXPECT_FALSE(this->retry_after("/a", answer_after_attempts({false, std::nullopt, "not_run"})));
}

TEST_F(return_times_test, call_of_the_server_follows_the_current_rule) {
  auto params = this->resolved("/a");
  params.is_call = true;
  EXPECT_FALSE(
      this->context.returns.on_refused(params, this->head_of("/a"), overload_of_scarce, this->now));
}

TEST_F(return_times_test, stopping_proxy_follows_the_current_rule) {
  this->context.returns.stop();
  EXPECT_FALSE(this->retry_after("/a", overload_of_scarce));
}

class inactive_return_times_test : public return_times_test {
 protected:
  inactive_return_times_test() : return_times_test(feature_mode::off) {}
};

TEST_F(inactive_return_times_test, follow_the_current_rule) {
  EXPECT_FALSE(this->retry_after("/a", overload_of_scarce));
  EXPECT_FALSE(this->retry_after("/b", answer_without_server(false)));
}

}  // namespace
}  // namespace ramppond
