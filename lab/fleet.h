// A whole fleet of real processes on one machine: control members, daemons, back ends, platform.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/child_process.h"
#include "lab/deployment.h"
#include "lab/history.h"
#include "net/control_protocol.h"

namespace ramppond {

struct FleetOptions {
  std::string deployment_path;
  std::string folder;          ///< For settings, data, logs and histories; made anew.
  std::string program_folder;  ///< Where the programs are.
  Duration platform_lag = seconds(2);
  std::string policy = "ramppond";
  std::uint64_t random_seed = 1;
};

class Fleet {
 public:
  Fleet(FleetOptions options, Deployment deployment);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts everything, forms the control group, and confirms the deployment's configuration.
  /// Returns why it failed, or nothing.
  std::optional<std::string> start();
  /// Stops everything as planned. Returns the names of processes that did not end with 0.
  std::vector<std::string> stop();

  [[nodiscard]] std::vector<std::string> frontAddresses() const;
  [[nodiscard]] std::vector<std::string> backendAddresses() const;
  [[nodiscard]] std::vector<std::string> controlAddresses() const;
  [[nodiscard]] std::vector<std::string> serverNames() const;
  [[nodiscard]] std::size_t controlCount() const { return control_.size(); }
  /// The control member that leads, by what the group says; nothing if there is none.
  std::optional<std::size_t> leader();

  void killServer(const std::string& server);     ///< Daemon and back end, without notice.
  void restartServer(const std::string& server);  ///< After a kill or a planned stop.
  /// Tells the back end and then the daemon to stop; returns whether both ended with 0.
  bool stopServerAsPlanned(const std::string& server);
  void signalDaemon(const std::string& server, int number);
  void killControl(std::size_t index);
  void signalControl(std::size_t index, int number);
  void restartControl(std::size_t index, bool wipe);
  /// Replaces a wiped member: removes the old identity and adds the new one.
  bool readdControl(std::size_t index);
  void setSlowdown(const std::string& service, double factor);
  /// What the platform is told; it shows after the lag.
  void tellPlatform(const std::vector<std::string>& leaving);
  void setPlatformList(const std::vector<ServerInfo>& servers);

  /// Runs the operator's command line; gives its exit code and output.
  int operatorCommand(const std::vector<std::string>& arguments, std::string& output);
  /// A metric of a process, by its name in the fleet ("daemon lodgement-1", "control 0").
  std::optional<double> metric(const std::string& process, const std::string& name);
  /// Sum of a metric over all daemons.
  double daemonTotal(const std::string& name);
  /// Waits until `condition` holds or `timeout` has passed.
  static bool waitFor(const std::function<bool()>& condition, Duration timeout);

  /// All that callers and back ends recorded.
  [[nodiscard]] std::vector<HistoryEvent> history() const;
  [[nodiscard]] std::string callerHistoryPath() const { return options_.folder + "/callers.jsonl"; }
  [[nodiscard]] const Deployment& deployment() const { return deployment_; }
  [[nodiscard]] const std::string& folder() const { return options_.folder; }
  [[nodiscard]] std::string program(const std::string& name) const {
    return options_.program_folder + "/" + name;
  }
  void record(const HistoryEvent& event) { rig_history_.record(event); }
  /// Something that happens to `who` now.
  void record(HistoryEventType type, const std::string& who);

 private:
  struct Server {
    std::string name;
    std::string service;
    std::string zone;
    PortReservation front, peer, egress, daemon_admin, backend, backend_admin;
    std::unique_ptr<ChildProcess> daemon;
    std::unique_ptr<ChildProcess> backend_process;
  };
  struct Control {
    std::string name;
    PortReservation address, admin;
    std::unique_ptr<ChildProcess> process;
  };

  static constexpr Duration kStartTimeout = seconds(20);
  static constexpr Duration kGroupTimeout = seconds(10);
  static constexpr Duration kRequestTimeout = seconds(2);

  HttpClientResult get(const std::string& url);
  void writeSettings();
  void writeServerSettings(const Server& server, std::uint64_t number);
  void startServer(Server& server);
  void startControl(Control& control);
  std::optional<std::string> formGroup();
  std::optional<std::string> confirmConfiguration();
  bool allDaemonsReady();
  Server& server(const std::string& name);
  [[nodiscard]] std::string path(const std::string& name) const {
    return options_.folder + "/" + name;
  }

  FleetOptions options_;
  Deployment deployment_;
  HttpClient client_;
  PortReservation platform_address_;
  std::unique_ptr<ChildProcess> platform_;
  std::vector<Control> control_;
  std::vector<std::unique_ptr<Server>> servers_;
  HistoryFile rig_history_;
};

}  // namespace ramppond
