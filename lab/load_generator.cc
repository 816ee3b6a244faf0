#include "lab/load_generator.h"

#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "common/command_line.h"
#include "common/process.h"
#include "core/random.h"
#include "lab/history.h"
#include "lab/timer_thread.h"
#include "lab/work_body.h"
#include "net/call_protocol.h"
#include "net/http_client.h"

namespace ramppond {
namespace {

constexpr Duration kTimeoutMargin = milliseconds(500);
constexpr Duration kDefaultRetryPause = milliseconds(500);

/// One front request of a caller, through all its attempts.
struct CallerRequest {
  const WorkSpec* work = nullptr;
  std::size_t row = 0;
  std::string caller_key;
  std::string key;
  std::uint64_t number = 0;
  std::uint32_t attempt = 0;
  TimePoint intended{0};
};

class LoadRun {
 public:
  LoadRun(const Deployment& deployment, const LoadOptions& options)
      : deployment_(deployment),
        options_(options),
        random_(options.random_seed),
        history_(options.history),
        client_(HttpClientOptions{512, seconds(1)}) {
    for (const WorkSpec& work : deployment_.works) {
      LoadRow row;
      row.work = work.type.name;
      row.kind = workKindName(work.type.kind);
      report_.rows.push_back(row);
    }
  }

  LoadReport run();

 private:
  const WorkSpec* chooseWork();
  std::string chooseCallerKey();
  void offer(TimePoint intended);
  void sendAttempt(const std::shared_ptr<CallerRequest>& request);
  void onAnswer(const std::shared_ptr<CallerRequest>& request, const std::string& nonce,
                const HttpClientResult& result);
  void retryOrEnd(const std::shared_ptr<CallerRequest>& request, const HttpClientResult& result);
  void end();

  const Deployment& deployment_;
  LoadOptions options_;
  std::mutex mutex_;  ///< Guards all below.
  std::condition_variable ended_;
  Random random_;
  HistoryFile history_;
  LoadReport report_;
  std::uint64_t next_number_ = 1;
  std::size_t next_target_ = 0;
  std::size_t open_ = 0;
  TimerThread timers_;
  HttpClient client_;
};

const WorkSpec* LoadRun::chooseWork() {
  return drawByShare(deployment_.works, random_, [this](const WorkSpec& work) {
    const bool excluded = !options_.only_work.empty() && work.type.name != options_.only_work;
    return excluded ? 0.0 : work.share;
  });
}

std::string LoadRun::chooseCallerKey() {
  double total = 0;
  for (const ClassSpec& spec : deployment_.classes) {
    total += spec.share;
  }
  double point = random_.uniform() * total;
  for (const ClassSpec& spec : deployment_.classes) {
    point -= spec.share;
    if (point < 0 && !spec.priority_class.caller_keys.empty()) {
      return spec.priority_class.caller_keys.front();
    }
  }
  return "";
}

LoadReport LoadRun::run() {
  const TimePoint start = monotonicNow();
  TimePoint next = start;
  while (next - start < options_.duration) {
    const TimePoint now = monotonicNow();
    if (next > now) {
      std::this_thread::sleep_for(next - now);
    }
    offer(next);
    // Poisson arrivals: many independent callers.
    const std::lock_guard<std::mutex> lock(mutex_);
    next += Duration(static_cast<std::int64_t>(random_.exponential(1e6 / options_.rate)));
  }
  std::unique_lock<std::mutex> lock(mutex_);
  ended_.wait(lock, [this] { return open_ == 0; });
  report_.seconds = static_cast<double>(options_.duration.count()) / 1e6;
  return report_;
}

void LoadRun::offer(TimePoint intended) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto request = std::make_shared<CallerRequest>();
  request->work = chooseWork();
  request->row = static_cast<std::size_t>(request->work - deployment_.works.data());
  request->caller_key = chooseCallerKey();
  request->number = next_number_++;
  request->intended = intended;
  if (request->work->type.kind == WorkKind::kCommitOnce) {
    request->key =
        "k" + std::to_string(options_.random_seed) + "-" + std::to_string(request->number);
  }
  report_.rows[request->row].offered += 1;
  open_ += 1;
  sendAttempt(request);
}

void LoadRun::sendAttempt(const std::shared_ptr<CallerRequest>& request) {
  const WorkType& type = request->work->type;
  WorkBody body;
  body.nonce = "n" + std::to_string(options_.random_seed) + "-" + std::to_string(request->number) +
               (request->key.empty() ? "-" + std::to_string(request->attempt) : "");
  body.key = request->key;
  body.call = "0";
  body.work = type.name;
  body.kind = workKindName(type.kind);
  const std::string& target = options_.targets[next_target_++ % options_.targets.size()];
  HttpClientRequest http;
  http.url = "http://" + target + (options_.direct ? "" : "/" + type.service) + type.path_prefix;
  const Duration deadline = request->work->deadline;
  http.headers = {{headers::kDeadline, std::to_string(deadline.count() / 1000)}};
  if (!request->caller_key.empty()) {
    http.headers.push_back({headers::kCaller, request->caller_key});
  }
  if (!request->key.empty()) {
    http.headers.push_back({headers::kIdempotencyKey, request->key});
  }
  http.body = formatWorkBody(body, 0);
  http.timeout = deadline + kTimeoutMargin;
  request->attempt += 1;
  report_.rows[request->row].attempts += 1;
  HistoryEvent event;
  event.time_us = monotonicNow().count();
  event.type = HistoryEventType::kCallerSent;
  event.who = request->caller_key;
  event.nonce = body.nonce;
  event.key = body.key;
  event.work = body.work;
  event.kind = body.kind;
  history_.record(event);
  client_.send(std::move(http),
               [this, request, nonce = body.nonce](const HttpClientResult& result) {
                 onAnswer(request, nonce, result);
               });
}

void LoadRun::onAnswer(const std::shared_ptr<CallerRequest>& request, const std::string& nonce,
                       const HttpClientResult& result) {
  const std::lock_guard<std::mutex> lock(mutex_);
  LoadRow& row = report_.rows[request->row];
  const TimePoint now = monotonicNow();
  const bool success = result.complete && result.status == 200;
  const auto body = success ? parseWorkBody(result.body) : std::nullopt;
  HistoryEvent event;
  event.time_us = now.count();
  event.type = HistoryEventType::kCallerAnswered;
  event.who = request->caller_key;
  event.nonce = nonce;
  event.key = request->key;
  event.work = row.work;
  event.kind = row.kind;
  if (result.complete) {
    event.outcome = result.header(headers::kOutcome);
    event.error = result.header(headers::kError);
  } else {
    // A request of which no byte left was not in flight.
    event.outcome = result.never_sent ? "not_run" : "unknown";
    event.error = result.never_sent ? "not_reached" : "no_answer";
  }
  event.detail = body ? body->nonce : (success ? "incomplete" : "");
  event.number = static_cast<std::uint64_t>(result.status);
  history_.record(event);
  const bool right = body && body->nonce == nonce && body->call == "0";
  row.wrong_answers += success && !right ? 1 : 0;
  if (success && right) {
    row.completed += 1;
    row.latencies_us.push_back((now - request->intended).count());
    end();
    return;
  }
  retryOrEnd(request, result);
}

void LoadRun::retryOrEnd(const std::shared_ptr<CallerRequest>& request,
                         const HttpClientResult& result) {
  LoadRow& row = report_.rows[request->row];
  const bool again =
      options_.retry != ClientRetry::kNone && request->attempt <= options_.maximum_retries;
  if (!again) {
    const bool not_run = result.complete && result.header(headers::kOutcome) == "not_run";
    (not_run ? row.refused : row.failed) += 1;
    end();
    return;
  }
  Duration pause{0};
  if (options_.retry == ClientRetry::kObey) {
    const auto told = parseUnsigned(result.header(headers::kRetryAfterMs));
    pause = told ? Duration(milliseconds(*told)) : kDefaultRetryPause;
  }
  timers_.after(pause, [this, request] {
    const std::lock_guard<std::mutex> lock(mutex_);
    sendAttempt(request);
  });
}

void LoadRun::end() {
  open_ -= 1;
  ended_.notify_one();
}

}  // namespace

std::optional<ClientRetry> parseClientRetry(const std::string& text) {
  if (text == "none") {
    return ClientRetry::kNone;
  }
  if (text == "obey") {
    return ClientRetry::kObey;
  }
  return text == "hard" ? std::optional(ClientRetry::kHard) : std::nullopt;
}

double percentileOf(std::vector<std::int64_t> values, double percentile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(percentile / 100 * static_cast<double>(values.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return static_cast<double>(values[std::min(index, values.size() - 1)]);
}

double LoadRow::percentileMs(double percentile) const {
  return percentileOf(latencies_us, percentile) / 1000;
}

std::string LoadReport::toJson() const {
  nlohmann::ordered_json document;
  document["seconds"] = seconds;
  for (const LoadRow& row : rows) {
    nlohmann::ordered_json item;
    item["work"] = row.work;
    item["kind"] = row.kind;
    item["offered"] = row.offered;
    item["completed"] = row.completed;
    item["refused"] = row.refused;
    item["failed"] = row.failed;
    item["attempts"] = row.attempts;
    item["wrong_answers"] = row.wrong_answers;
    item["p50_ms"] = row.percentileMs(50);
    item["p99_ms"] = row.percentileMs(99);
    document["rows"].push_back(std::move(item));
  }
  return document.dump(2) + "\n";
}

LoadReport runLoad(const Deployment& deployment, const LoadOptions& options) {
  LoadRun run(deployment, options);
  return run.run();
}

}  // namespace ramppond
