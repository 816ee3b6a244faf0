#include "lab/simulation/simulated_callers.h"

namespace ramppond {
namespace {

constexpr Duration kTimeoutMargin = milliseconds(100);
constexpr Duration kDefaultRetryPause = milliseconds(500);
constexpr double kRepeatPauseMs = 1500;

}  // namespace

SimulatedCallers::SimulatedCallers(World& world, std::vector<SimulatedDaemon*> daemons,
                                   CallerOptions options)
    : world_(world),
      daemons_(std::move(daemons)),
      options_(options),
      node_(world.network.addNode("callers", true)) {}

void SimulatedCallers::start() {
  scheduleNext();
}

void SimulatedCallers::scheduleNext() {
  const double pause_us = world_.random.exponential(1e6 / options_.rate);
  world_.events.after(Duration(static_cast<std::int64_t>(pause_us)), [this] {
    if (stopped_) {
      return;
    }
    offer(chooseWork(), chooseClass());
    scheduleNext();
  });
}

const WorkSpec& SimulatedCallers::chooseWork() {
  return *drawByShare(world_.deployment.works, world_.random,
                      [](const WorkSpec& work) { return work.share; });
}

const ClassSpec* SimulatedCallers::chooseClass() {
  return drawByShare(world_.deployment.classes, world_.random,
                     [](const ClassSpec& spec) { return spec.share; });
}

void SimulatedCallers::offer(const WorkSpec& work, const ClassSpec* caller_class) {
  auto request = std::make_shared<Request>();
  request->work = &work;
  request->caller_class = caller_class;
  request->number = next_number_++;
  if (work.type.kind == WorkKind::kCommitOnce) {
    request->key = "k" + std::to_string(request->number);
  }
  open_ += 1;
  sendAttempt(request);
}

void SimulatedCallers::sendAttempt(const RequestPointer& request) {
  const WorkType& type = request->work->type;
  request->attempt += 1;
  request->answered = false;
  request->nonce = "n" + std::to_string(request->number);
  if (request->key.empty()) {
    request->nonce += "-" + std::to_string(request->attempt);
  }
  HistoryEvent event = world_.event(HistoryEventType::kCallerSent, "caller");
  event.nonce = request->nonce;
  event.key = request->key;
  event.work = type.name;
  event.kind = workKindName(type.kind);
  world_.record(event);
  FrontRequest front;
  if (request->caller_class != nullptr &&
      !request->caller_class->priority_class.caller_keys.empty()) {
    front.caller_key = request->caller_class->priority_class.caller_keys.front();
  }
  front.service = type.service;
  front.payload.path = type.path_prefix;
  front.payload.body =
      formatWorkBody({request->nonce, request->key, "0", type.name, event.kind, ""}, 0);
  front.idempotency_key = request->key;
  front.deadline = request->work->deadline;
  SimulatedDaemon* daemon = daemons_[world_.random.below(daemons_.size())];
  const std::uint32_t attempt = request->attempt;
  const auto answered = [this, request, attempt](const CallAnswer& answer) {
    onAnswer(request, attempt, answer);
  };
  // The receiver needs the number of the exchange to hear that the caller went away.
  const auto number = std::make_shared<ExchangeNumber>(0);
  *number = world_.network.request(
      node_, daemon->node(),
      [daemon, front, answered](ExchangeNumber exchange) {
        daemon->onFrontRequest(exchange, front, answered);
      },
      [this, request, attempt](ExchangeFailure failure) {
        onNoAnswer(request, attempt, failure.never_sent);
      },
      [daemon, number] { daemon->onFrontGone(*number); });
  request->exchange = *number;
  world_.events.after(request->work->deadline + kTimeoutMargin, [this, request, attempt] {
    if (!request->answered && request->attempt == attempt) {
      world_.network.close(request->exchange);
      onNoAnswer(request, attempt, false);
    }
  });
}

void SimulatedCallers::onAnswer(const RequestPointer& request, std::uint32_t attempt,
                                const CallAnswer& answer) {
  if (request->answered || request->attempt != attempt) {
    return;
  }
  conclude(request, answer, std::string(errorAnswer(answer.error).name));
}

void SimulatedCallers::onNoAnswer(const RequestPointer& request, std::uint32_t attempt,
                                  bool never_sent) {
  if (request->answered || request->attempt != attempt) {
    return;
  }
  CallAnswer answer =
      errorCallAnswer({}, never_sent ? ErrorKind::kBackendUnreachable : ErrorKind::kServerLost);
  conclude(request, answer, never_sent ? "not_reached" : "no_answer");
}

void SimulatedCallers::conclude(const RequestPointer& request, const CallAnswer& answer,
                                const std::string& error) {
  request->answered = true;
  const WorkType& type = request->work->type;
  const bool good = answer.error == ErrorKind::kNone && answer.status == 200;
  const auto body = good ? parseWorkBody(answer.body) : std::nullopt;
  HistoryEvent event = world_.event(HistoryEventType::kCallerAnswered, "caller");
  event.nonce = request->nonce;
  event.key = request->key;
  event.work = type.name;
  event.kind = workKindName(type.kind);
  event.outcome = std::string(outcomeName(answer.outcome));
  event.error = error;
  event.detail = body ? body->nonce : "";
  event.number = answer.error == ErrorKind::kNone
                     ? answer.status
                     : static_cast<std::uint64_t>(errorAnswer(answer.error).http_status);
  world_.record(event);
  if (body && body->nonce == request->nonce) {
    open_ -= 1;
    if (!stopped_ && world_.random.chance(request->work->repeat_share)) {
      const auto pause =
          Duration(static_cast<std::int64_t>(world_.random.exponential(kRepeatPauseMs) * 1000));
      world_.events.after(pause, [this, request] {
        if (!stopped_) {
          offer(*request->work, request->caller_class);
        }
      });
    }
    return;
  }
  retryOrEnd(request, answer);
}

void SimulatedCallers::retryOrEnd(const RequestPointer& request, const CallAnswer& answer) {
  const bool again = options_.retry != ClientRetry::kNone &&
                     request->attempt <= options_.maximum_retries && !stopped_;
  if (!again) {
    open_ -= 1;
    return;
  }
  Duration pause = microseconds(1);
  if (options_.retry == ClientRetry::kObey) {
    pause = answer.retry_after > Duration(0) ? answer.retry_after : kDefaultRetryPause;
  }
  world_.events.after(pause, [this, request] { sendAttempt(request); });
}

}  // namespace ramppond
