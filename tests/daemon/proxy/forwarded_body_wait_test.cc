// Bodies that are too long to be held, of requests that wait for a server of their service.
#include <gtest/gtest.h>

#include "tests/platform/forwarding_day.h"

namespace ramppond::stand_in {
namespace {

// More than a daemon holds, and less than the configuration allows.
constexpr auto long_body_bytes = std::size_t(99000);

TEST_F(ForwardingDay, ALongBodyIsWholeAfterAWaitForAServerAndRunsOnce) {
  for (const auto machine : {std::size_t(1), std::size_t(3)}) {
    this->day_.servers[machine]->beat("draining");
  }
  this->day_.runFor(milliseconds(1500));
  auto wanted = this->request("/two/w", "long");
  wanted.method = "POST";
  for (auto i = 0; wanted.body.size() < long_body_bytes; ++i) {
    wanted.body += std::to_string(i) + ",";
  }
  auto result = Answer();
  auto done = false;
  this->day_.sendLater(0, wanted, [&](const Answer& answer) {
    result = answer;
    done = true;
  });
  this->day_.runFor(milliseconds(60));
  this->day_.servers[1]->beat("ready");
  this->day_.servers[3]->beat("ready");
  EXPECT_TRUE(this->day_.runUntil([&] { return done; }));
  EXPECT_EQ(result.status, 200);
  EXPECT_EQ(this->runsOf("long"), 1);
  ASSERT_GE(result.body.size(), wanted.body.size());
  EXPECT_EQ(result.body.substr(result.body.size() - wanted.body.size()), wanted.body);
}

}  // namespace
}  // namespace ramppond::stand_in
