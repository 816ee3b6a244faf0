// Every checker finds the history that breaks its promise and passes the one that keeps it.
#include "lab/promise_checkers.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace ramppond {
namespace {

HistoryEvent eventOf(std::int64_t time_us, HistoryEventType type, const std::string& nonce = "n1") {
  HistoryEvent event;
  event.time_us = time_us;
  event.type = type;
  event.nonce = nonce;
  return event;
}

HistoryEvent sent(std::int64_t time_us) {
  return eventOf(time_us, HistoryEventType::kCallerSent);
}

HistoryEvent answered(std::int64_t time_us, const std::string& outcome, std::uint64_t status,
                      const std::string& body_nonce = "") {
  HistoryEvent event = eventOf(time_us, HistoryEventType::kCallerAnswered);
  event.outcome = outcome;
  event.number = status;
  event.detail = body_nonce;
  return event;
}

HistoryEvent ran(std::int64_t time_us, const std::string& server, const std::string& call = "0",
                 const std::string& parent = "") {
  HistoryEvent event = eventOf(time_us, HistoryEventType::kBackendRan);
  event.who = server;
  event.call = call;
  event.parent = parent;
  event.key = "k1";
  return event;
}

HistoryEvent serverEvent(std::int64_t time_us, HistoryEventType type, const std::string& server) {
  HistoryEvent event = eventOf(time_us, type, "");
  event.who = server;
  return event;
}

HistoryEvent inForce(std::int64_t time_us, const std::string& server, std::uint64_t version) {
  HistoryEvent event = serverEvent(time_us, HistoryEventType::kConfigurationInForce, server);
  event.number = version;
  return event;
}

HistoryEvent confirmed(std::int64_t time_us, const std::string& base, std::uint64_t version) {
  HistoryEvent event = serverEvent(time_us, HistoryEventType::kPlanConfirmed, "operator");
  event.detail = base;
  event.number = version;
  return event;
}

TEST(PromiseCheckers, ResponseOwnership) {
  EXPECT_TRUE(checkResponseOwnership({sent(1), answered(2, "ran", 200, "n1")}).empty());
  EXPECT_EQ(checkResponseOwnership({sent(1), answered(2, "ran", 200, "n2")}).size(), 1U);
  EXPECT_EQ(checkResponseOwnership({sent(1), answered(2, "ran", 200, "")}).size(), 1U);
}

TEST(PromiseCheckers, NotRunTruth) {
  EXPECT_TRUE(checkNotRunTruth({sent(1), answered(2, "not_run", 503)}).empty());
  EXPECT_EQ(checkNotRunTruth({sent(1), answered(2, "not_run", 503), ran(3, "s")}).size(), 1U);
  EXPECT_EQ(checkNotRunTruth({sent(1), ran(2, "s"), answered(3, "not_run", 503)}).size(), 1U);
  EXPECT_TRUE(checkNotRunTruth({sent(1), ran(2, "s"), answered(3, "unknown", 502)}).empty());
  // The second attempt explains the run.
  EXPECT_TRUE(checkNotRunTruth({sent(1), answered(2, "not_run", 503), sent(3), ran(4, "s"),
                                answered(5, "ran", 200)})
                  .empty());
}

TEST(PromiseCheckers, AtMostOnce) {
  EXPECT_TRUE(checkAtMostOnce({ran(1, "s1"), ran(2, "s2", "0.0")}).empty());
  EXPECT_EQ(checkAtMostOnce({ran(1, "s1"), ran(2, "s2")}).size(), 1U);
}

TEST(PromiseCheckers, RetryAllowance) {
  const History kept = {sent(1), ran(2, "a"), ran(3, "b", "0.0", "h1"), ran(4, "c", "0.0", "h1")};
  EXPECT_TRUE(checkRetryAllowance(kept, 1).empty());
  EXPECT_EQ(checkRetryAllowance(kept, 0).size(), 1U);
  // Retries at two hops count together.
  const History chain = {sent(1), ran(2, "a"), ran(3, "a"), ran(4, "b", "0.0", "h1"),
                         ran(5, "b", "0.0", "h1")};
  EXPECT_EQ(checkRetryAllowance(chain, 1).size(), 1U);
  // A repeated run makes its calls anew: those are first attempts.
  const History repeated = {sent(1), ran(2, "a"), ran(3, "b", "0.0", "h1"), ran(4, "a"),
                            ran(5, "b", "0.0", "h2")};
  EXPECT_TRUE(checkRetryAllowance(repeated, 1).empty());
  // A caller's repeat has an allowance of its own.
  EXPECT_TRUE(checkRetryAllowance({sent(1), ran(2, "a"), sent(3), ran(4, "a")}, 0).empty());
  // Attempts that never ran count as well.
  HistoryEvent attempt = eventOf(2, HistoryEventType::kAttemptSent);
  attempt.call = "0";
  EXPECT_EQ(checkRetryAllowance({sent(1), attempt, attempt, attempt}, 1).size(), 1U);
}

TEST(PromiseCheckers, Draining) {
  const auto leaving = serverEvent(0, HistoryEventType::kBackendDraining, "s");
  const auto stopped = serverEvent(4000000, HistoryEventType::kBackendStopped, "s");
  EXPECT_TRUE(checkDraining({leaving, ran(2900000, "s")}, seconds(3)).empty());
  EXPECT_EQ(checkDraining({leaving, ran(3100000, "s")}, seconds(3)).size(), 1U);
  EXPECT_TRUE(checkDraining({leaving, stopped, ran(5000000, "s")}, seconds(3)).empty());
}

TEST(PromiseCheckers, NothingCutOff) {
  HistoryEvent lost = answered(2, "unknown", 502);
  lost.error = "server_lost";
  EXPECT_EQ(checkNothingCutOff({sent(1), lost}).size(), 1U);
  lost.error = "overloaded";
  EXPECT_TRUE(checkNothingCutOff({sent(1), lost}).empty());
}

TEST(PromiseCheckers, ConfigurationNeverRevertsAndArrives) {
  EXPECT_TRUE(checkConfiguration({inForce(1, "s", 1), inForce(2, "s", 2)}, {}, seconds(1)).empty());
  EXPECT_EQ(checkConfiguration({inForce(1, "s", 2), inForce(2, "s", 1)}, {}, seconds(1)).size(),
            1U);
  const History late = {confirmed(0, "0.0", 5), inForce(500000, "s1", 5),
                        inForce(2000000, "s2", 5)};
  EXPECT_EQ(checkConfiguration(late, {"s1", "s2"}, seconds(1)).size(), 1U);
  EXPECT_TRUE(checkConfiguration(late, {"s1", "s2"}, seconds(3)).empty());
  EXPECT_EQ(checkConfiguration(late, {"s1", "s2", "s3"}, seconds(3)).size(), 1U);
}

TEST(PromiseCheckers, OneWinner) {
  EXPECT_TRUE(checkOneWinner({confirmed(1, "1.1", 5), confirmed(2, "1.5", 6)}).empty());
  EXPECT_TRUE(checkOneWinner({confirmed(1, "1.1", 5), confirmed(2, "1.1", 5)}).empty()) << "resent";
  EXPECT_EQ(checkOneWinner({confirmed(1, "1.1", 5), confirmed(2, "1.1", 6)}).size(), 1U);
}

TEST(PromiseCheckers, ShedOrder) {
  const auto answersOf = [](const std::string& kind, int refused) {
    History history;
    for (int index = 0; index < 100; ++index) {
      HistoryEvent event = answered(10, index < refused ? "not_run" : "ran", 200);
      event.kind = kind;
      event.work = kind;
      event.error = index < refused ? "overloaded" : "none";
      history.push_back(event);
    }
    return history;
  };
  const auto check = [&](int bulk, int lookup, int commit) {
    History history = answersOf("bulk", bulk);
    const History lookups = answersOf("lookup", lookup);
    const History commits = answersOf("commit_once", commit);
    history.insert(history.end(), lookups.begin(), lookups.end());
    history.insert(history.end(), commits.begin(), commits.end());
    return checkShedOrder(history, {"bulk", "lookup", "commit_once"}, 0, 100, 0.02).size();
  };
  EXPECT_EQ(check(100, 50, 0), 0U);
  EXPECT_EQ(check(0, 0, 0), 0U);
  EXPECT_EQ(check(20, 50, 0), 1U);
  EXPECT_EQ(check(100, 20, 40), 1U);
  EXPECT_EQ(check(10, 20, 40), 2U);
}

TEST(History, SurvivesATornLastLine) {
  const std::string path = testing::TempDir() + "history-" + std::to_string(::getpid()) + ".jsonl";
  {
    HistoryFile file(path);
    HistoryEvent event = ran(7, "s", "0.1", "h9");
    file.record(event);
    file.record(answered(8, "ran", 200, "n1"));
  }
  std::ofstream(path, std::ios::app) << "{\"t\": 9, \"event\": \"caller_s";
  const auto events = readHistory(path);
  std::remove(path.c_str());
  ASSERT_TRUE(events);
  ASSERT_EQ(events->size(), 2U);
  EXPECT_EQ((*events)[0].call, "0.1");
  EXPECT_EQ((*events)[0].parent, "h9");
  EXPECT_EQ((*events)[1].number, 200U);
}

}  // namespace
}  // namespace ramppond
