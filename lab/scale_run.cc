#include "lab/scale_run.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <thread>

#include "common/metrics.h"
#include "common/process.h"
#include "core/random.h"
#include "lab/fleet.h"
#include "lab/hollow_fleet.h"

namespace ramppond {
namespace {

constexpr std::size_t kDaemonsPerProcess = 2400;
constexpr std::size_t kInterests = 5;
constexpr Duration kAttachTimeout = seconds(60);
constexpr Duration kRequestTimeout = seconds(5);
constexpr Duration kSettle = seconds(2);
constexpr Duration kInForceWait = seconds(14);
constexpr std::size_t kClaimers = 64;
constexpr std::size_t kClaimsPerBatch = 16;
constexpr double kMegabyte = 1 << 20;

Deployment controlOnlyDeployment(const ScaleOptions& options) {
  Deployment deployment;
  deployment.name = "scale";
  deployment.zones = {"zone-0"};
  deployment.control_members = static_cast<std::uint32_t>(options.control_members);
  for (std::size_t index = 0; index < options.work_types; ++index) {
    WorkSpec work;
    work.type.name = "work-" + std::to_string(index);
    work.type.service = "service-" + std::to_string(index);
    work.type.path_prefix = "/";
    work.type.kind = static_cast<WorkKind>(index % 3);
    deployment.works.push_back(std::move(work));
  }
  return deployment;
}

double percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(share * last)];
}

// The processes of hollow daemons of one run.
class HollowProcesses {
 public:
  HollowProcesses(const ScaleOptions& options, const Fleet& fleet) : client_(HttpClientOptions{}) {
    std::string control;
    for (const std::string& address : fleet.controlAddresses()) {
      control += (control.empty() ? "" : ",") + address;
    }
    for (std::size_t first = 0; first < options.daemons; first += kDaemonsPerProcess) {
      Part part;
      part.count = std::min(kDaemonsPerProcess, options.daemons - first);
      part.process = std::make_unique<ChildProcess>(
          std::vector<std::string>{
              options.program_folder + "/ramppond-hollow", "--control", control, "--admin",
              part.admin.address(), "--servers", std::to_string(options.daemons), "--services",
              std::to_string(options.services), "--zones", std::to_string(options.zones), "--first",
              std::to_string(first), "--count", std::to_string(part.count), "--interests",
              std::to_string(kInterests)},
          fleet.folder() + "/hollow-" + std::to_string(first) + ".log");
      parts_.push_back(std::move(part));
    }
  }

  ~HollowProcesses() {
    for (const Part& part : parts_) {
      part.process->signal(SIGTERM);
      part.process->wait();
    }
  }

  double sum(const std::string& name) {
    double total = 0;
    for (const Part& part : parts_) {
      total += metric(part, name).value_or(0);
    }
    return total;
  }
  double lowest(const std::string& name) {
    double value = 1e300;
    for (const Part& part : parts_) {
      value = std::min(value, metric(part, name).value_or(0));
    }
    return value;
  }
  void restart(std::size_t count) {
    for (const Part& part : parts_) {
      const std::size_t here = std::min(count, part.count);
      post(part, "/restart", std::to_string(here));
      count -= here;
    }
  }
  /// Version to the moments at which daemons put it in force.
  std::map<std::uint64_t, std::vector<std::int64_t>> versions() {
    std::map<std::uint64_t, std::vector<std::int64_t>> all;
    for (const Part& part : parts_) {
      const auto json = nlohmann::json::parse(post(part, "/versions", "all"), nullptr, false);
      for (const auto& [index, times] : json.items()) {
        auto& merged = all[std::stoull(index)];
        for (const auto& time : times) {
          merged.push_back(time);
        }
      }
    }
    return all;
  }
  [[nodiscard]] std::vector<pid_t> pids() const {
    std::vector<pid_t> pids;
    for (const Part& part : parts_) {
      pids.push_back(part.process->pid());
    }
    return pids;
  }

 private:
  struct Part {
    std::size_t count = 0;
    PortReservation admin;
    std::unique_ptr<ChildProcess> process;
  };

  HttpClientResult ask(const Part& part, const std::string& method, const std::string& path,
                       const std::string& body) {
    HttpClientRequest request;
    request.method = method;
    request.url = "http://" + part.admin.address() + path;
    request.body = body;
    request.timeout = kRequestTimeout;
    return sendAndWait(client_, std::move(request));
  }
  std::string post(const Part& part, const std::string& path, const std::string& body) {
    return ask(part, "POST", path, body).body;
  }
  std::optional<double> metric(const Part& part, const std::string& name) {
    return metricIn(ask(part, "GET", "/metrics", "").body, name);
  }

  HttpClient client_;
  std::vector<Part> parts_;
};

// Processor time and traffic between two moments.
struct Reading {
  TimePoint time{0};
  std::vector<double> control_seconds;
  double hollow_seconds = 0;
  double hollow_bytes = 0;
};

class ScaleRun {
 public:
  ScaleRun(const ScaleOptions& options, Fleet& fleet, std::ostream& progress)
      : options_(options),
        fleet_(fleet),
        progress_(progress),
        hollow_(options, fleet),
        control_(fleet.controlAddresses(), kRequestTimeout) {
    result_.daemons = options.daemons;
    result_.control_members = options.control_members;
  }

  std::optional<ScaleResult> run() {
    const TimePoint start = monotonicNow();
    if (!Fleet::waitFor([this] { return complete(); }, kAttachTimeout)) {
      progress_ << "only " << hollow_.sum("hollow_complete") << " of " << options_.daemons
                << " daemons attached\n";
      return std::nullopt;
    }
    result_.attach_seconds = secondsSince(start);
    progress_ << options_.daemons << " daemons attached after " << result_.attach_seconds << " s"
              << std::endl;
    std::this_thread::sleep_for(kSettle);
    leader_ = fleet_.leader().value_or(0);
    ControlRequest read;
    read.type = ControlRequestType::kReadConfiguration;
    const auto current = control_.ask(read);
    version_ = current ? current->configuration.version : ConfigurationVersion{};
    result_.idle = measure([this] { std::this_thread::sleep_for(options_.phase); });
    progress_ << "idle measured" << std::endl;
    result_.slow_changes = measure([this] { result_.slow_times = change(0.5); });
    result_.fast_changes = measure([this] { result_.fast_times = change(5); });
    progress_ << "changes measured" << std::endl;
    measureMemory();
    measureClaims();
    measureRestarts();
    measureReattachment();
    return result_;
  }

 private:
  bool complete() {
    return hollow_.sum("hollow_complete") >= static_cast<double>(options_.daemons);
  }
  static double secondsSince(TimePoint start) {
    return static_cast<double>((monotonicNow() - start).count()) / 1e6;
  }

  Reading read() {
    Reading reading;
    reading.time = monotonicNow();
    for (std::size_t index = 0; index < fleet_.controlCount(); ++index) {
      reading.control_seconds.push_back(processUsage(fleet_.controlPid(index)).processor_seconds);
    }
    for (const pid_t pid : hollow_.pids()) {
      reading.hollow_seconds += processUsage(pid).processor_seconds;
    }
    reading.hollow_bytes =
        hollow_.sum("hollow_sent_bytes_total") + hollow_.sum("hollow_received_bytes_total");
    return reading;
  }

  LoadFigures measure(const std::function<void()>& phase) {
    const Reading before = read();
    phase();
    const Reading after = read();
    const double seconds = static_cast<double>((after.time - before.time).count()) / 1e6;
    const auto daemons = static_cast<double>(options_.daemons);
    LoadFigures figures;
    for (std::size_t index = 0; index < before.control_seconds.size(); ++index) {
      const double percent =
          100 * (after.control_seconds[index] - before.control_seconds[index]) / seconds;
      double& place =
          index == leader_ ? figures.leader_core_percent : figures.follower_core_percent;
      place = std::max(place, percent);
    }
    figures.daemon_core_percent =
        100 * (after.hollow_seconds - before.hollow_seconds) / seconds / daemons;
    figures.daemon_bytes_per_second =
        (after.hollow_bytes - before.hollow_bytes) / seconds / daemons;
    return figures;
  }

  // Confirms one change; gives its version's index, or 0.
  std::uint64_t confirmChange() {
    const std::string number = std::to_string(++changes_);
    ControlRequest plan;
    plan.type = ControlRequestType::kCommand;
    plan.command.type = CommandType::kPlan;
    plan.command.operator_request_id = "plan-" + number;
    plan.command.base_version = version_;
    ConfigurationChange change;
    change.type = ChangeType::kSetClass;
    change.priority_class.name = "class-" + std::to_string(changes_ % 20);
    change.priority_class.weight = static_cast<std::uint32_t>(1 + changes_ % 7);
    plan.command.changes = {change};
    const auto planned = control_.ask(plan);
    if (!planned) {
      return 0;
    }
    ControlRequest confirm;
    confirm.type = ControlRequestType::kCommand;
    confirm.command.type = CommandType::kConfirm;
    confirm.command.operator_request_id = "confirm-" + number;
    confirm.command.plan_id = planned->result.plan_id;
    const auto confirmed = control_.ask(confirm);
    if (!confirmed || confirmed->result.error != ErrorKind::kNone) {
      return 0;
    }
    version_ = confirmed->result.version;
    return version_.index;
  }

  InForceTimes change(double per_second) {
    std::map<std::uint64_t, std::int64_t> sent;  // Version to when its confirm was sent.
    const auto pause = Duration(static_cast<std::int64_t>(1e6 / per_second));
    const TimePoint end = monotonicNow() + options_.phase;
    for (TimePoint next = monotonicNow(); next < end; next += pause) {
      std::this_thread::sleep_for(next - monotonicNow());
      const TimePoint before = monotonicNow();
      const std::uint64_t index = confirmChange();
      if (index != 0) {
        sent[index] = before.count();
      }
    }
    InForceTimes times;
    if (sent.empty()) {
      return times;
    }
    const auto last = static_cast<double>(sent.rbegin()->first);
    times.everywhere =
        Fleet::waitFor([&] { return hollow_.lowest("hollow_lowest_index") >= last; }, kInForceWait);
    std::vector<double> all;
    for (const auto& [index, moments] : hollow_.versions()) {
      const auto confirmed = sent.find(index);
      if (confirmed == sent.end()) {
        continue;
      }
      times.versions += 1;
      for (const std::int64_t moment : moments) {
        all.push_back(static_cast<double>(moment - confirmed->second) / 1000);
      }
    }
    times.p50_ms = percentile(all, 0.5);
    times.p99_ms = percentile(all, 0.99);
    times.maximum_ms = percentile(all, 1);
    return times;
  }

  void measureMemory() {
    for (std::size_t index = 0; index < fleet_.controlCount(); ++index) {
      const double megabytes = processUsage(fleet_.controlPid(index)).resident_bytes / kMegabyte;
      result_.control_megabytes = std::max(result_.control_megabytes, megabytes);
    }
    double hollow_bytes = 0;
    for (const pid_t pid : hollow_.pids()) {
      hollow_bytes += processUsage(pid).resident_bytes;
    }
    result_.hollow_kilobytes = hollow_bytes / 1024 / static_cast<double>(options_.daemons);
    const std::string leader = "control " + std::to_string(leader_);
    const double log_before = fleet_.metric(leader, "control_log_bytes").value_or(0);
    constexpr int kChanges = 50;
    for (int count = 0; count < kChanges; ++count) {
      confirmChange();
    }
    const double log_after = fleet_.metric(leader, "control_log_bytes").value_or(0);
    result_.log_bytes_per_change = (log_after - log_before) / kChanges;
  }

  // Claims as fast as the leader takes them: `kClaimers` daemons with one batch under way each.
  void measureClaims() {
    std::atomic<std::uint64_t> granted{0};
    std::atomic<bool> stop{false};
    std::mutex mutex;
    std::vector<double> latencies_ms;
    std::vector<std::thread> claimers;
    const TimePoint start = monotonicNow();
    for (std::size_t claimer = 0; claimer < kClaimers; ++claimer) {
      claimers.emplace_back([&, claimer] {
        ControlClient control({fleet_.controlAddresses()[leader_]}, kRequestTimeout);
        for (std::uint64_t batch = 0; !stop; ++batch) {
          const TimePoint sent = monotonicNow();
          const auto reply = control.ask(claimRequest(claimer, batch));
          if (reply && reply->error == ErrorKind::kNone) {
            granted += kClaimsPerBatch;
            const std::lock_guard<std::mutex> lock(mutex);
            latencies_ms.push_back(static_cast<double>((monotonicNow() - sent).count()) / 1000);
          }
        }
      });
    }
    std::this_thread::sleep_for(options_.phase / 2);
    stop = true;
    const double seconds = secondsSince(start);
    for (std::thread& claimer : claimers) {
      claimer.join();
    }
    result_.claims_per_second = static_cast<double>(granted) / seconds;
    result_.claim_p99_ms = percentile(latencies_ms, 0.99);
    progress_ << "claims measured" << std::endl;
  }

  static ControlRequest claimRequest(std::size_t claimer, std::uint64_t batch) {
    ControlRequest request;
    request.type = ControlRequestType::kCommand;
    request.command.type = CommandType::kClaim;
    for (std::size_t index = 0; index < kClaimsPerBatch; ++index) {
      ClaimCommand claim;
      claim.holder = {claimer + 1, batch * kClaimsPerBatch + index + 1};
      claim.key = "caller/service/" + claim.holder.toString();
      claim.fingerprint = batch;
      request.command.claims.push_back(std::move(claim));
    }
    return request;
  }

  void measureRestarts() {
    const TimePoint start = monotonicNow();
    hollow_.restart(std::min(options_.restarts, options_.daemons));
    const bool back = Fleet::waitFor([this] { return complete(); }, kAttachTimeout);
    result_.restart_seconds = back ? secondsSince(start) : -1;
    progress_ << "restarts measured" << std::endl;
  }

  void measureReattachment() {
    const std::string leader = "control " + std::to_string(leader_);
    result_.snapshot_kilobytes = fleet_.metric(leader, "control_snapshot_bytes").value_or(0) / 1024;
    fleet_.killControl(leader_);
    const TimePoint killed = monotonicNow();
    const bool back = Fleet::waitFor(
        [&] {
          return hollow_.lowest("hollow_oldest_contact_us") > static_cast<double>(killed.count());
        },
        kAttachTimeout);
    result_.reattach_seconds = back ? secondsSince(killed) : -1;
    fleet_.restartControl(leader_, false);
  }

  const ScaleOptions& options_;
  Fleet& fleet_;
  std::ostream& progress_;
  HollowProcesses hollow_;
  ControlClient control_;
  ScaleResult result_;
  std::size_t leader_ = 0;
  std::uint64_t changes_ = 0;
  ConfigurationVersion version_;
};

}  // namespace

std::optional<ScaleResult> runScale(const ScaleOptions& options, std::ostream& progress) {
  FleetOptions fleet_options;
  fleet_options.folder = options.folder;
  fleet_options.program_folder = options.program_folder;
  Fleet fleet(fleet_options, controlOnlyDeployment(options));
  if (const auto reason = fleet.start()) {
    progress << *reason << '\n';
    return std::nullopt;
  }
  fleet.setPlatformList(makeServerList(options.daemons, options.services, options.zones));
  std::optional<ScaleResult> result;
  {
    ScaleRun run(options, fleet, progress);
    result = run.run();
  }
  fleet.stop();
  return result;
}

std::string scaleCsvHeader() {
  return "daemons,control_members,attach_s,idle_leader_core_pct,idle_follower_core_pct,"
         "idle_daemon_core_pct,idle_daemon_bytes_s,slow_leader_core_pct,slow_follower_core_pct,"
         "slow_daemon_core_pct,slow_daemon_bytes_s,slow_p50_ms,slow_p99_ms,slow_max_ms,"
         "fast_leader_core_pct,fast_follower_core_pct,fast_daemon_core_pct,fast_daemon_bytes_s,"
         "fast_p50_ms,fast_p99_ms,fast_max_ms,control_mb,hollow_kb_per_daemon,restart_500_s,"
         "reattach_s,claims_per_s,claim_p99_ms,log_bytes_per_change,snapshot_kb,everywhere";
}

std::string scaleCsvRow(const ScaleResult& result) {
  std::ostringstream row;
  row << std::setprecision(5);
  const auto load = [&row](const LoadFigures& figures) {
    row << ',' << figures.leader_core_percent << ',' << figures.follower_core_percent << ','
        << figures.daemon_core_percent << ',' << figures.daemon_bytes_per_second;
  };
  const auto times = [&row](const InForceTimes& in_force) {
    row << ',' << in_force.p50_ms << ',' << in_force.p99_ms << ',' << in_force.maximum_ms;
  };
  row << result.daemons << ',' << result.control_members << ',' << result.attach_seconds;
  load(result.idle);
  load(result.slow_changes);
  times(result.slow_times);
  load(result.fast_changes);
  times(result.fast_times);
  row << ',' << result.control_megabytes << ',' << result.hollow_kilobytes << ','
      << result.restart_seconds << ',' << result.reattach_seconds << ',' << result.claims_per_second
      << ',' << result.claim_p99_ms << ',' << result.log_bytes_per_change << ','
      << result.snapshot_kilobytes << ','
      << (result.slow_times.everywhere && result.fast_times.everywhere ? "yes" : "no");
  return row.str();
}

}  // namespace ramppond
