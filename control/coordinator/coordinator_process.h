// The ramppond-coordinator process: a control member of the forwarding path, on the event loop.
//
// Executes the work that ControlCore decides on: persists its log, exchanges frames with the other
// members and with daemons, and answers the operator over HTTP. Single-threaded: a sync of the disk
// blocks the loop, and if a disk hangs the other members elect a new leader.
//
// After a failed write the contents on disk are unknown. The member then drops its state in memory,
// as if the process had ended. It neither votes nor answers requests, tells clients to ask other
// members, and reopens its files every kReopenInterval until writes succeed again.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "common/event_log.h"
#include "common/settings_watch.h"
#include "control/coordinator/coordinator_settings.h"
#include "core/control/control_core.h"
#include "core/external/external_api.h"
#include "net/stream/control_channels.h"
#include "net/stream/http_server.h"
#include "storage/raft_storage.h"

namespace ramppond {

/// First token of operators' calls. Tokens of frames are lower.
constexpr ControlToken kFirstOperatorToken = ControlToken{1} << 62U;

class CoordinatorProcess {
 public:
  CoordinatorProcess(const ExternalApi& api, const OperatingBounds& bounds,
                     CoordinatorSettings settings, std::string settings_path);

  /// Opens the data folder and starts the servers. Returns the reason on failure, else
  /// std::nullopt.
  std::optional<std::string> start();
  void run() { loop_.run(); }

 private:
  /// Reads the files and starts the core, or schedules another attempt if writes fail. Returns the
  /// reason if the data is damaged and the process must end, else std::nullopt.
  std::optional<std::string> openStorage();
  void onStorageUnwritable(const std::string& reason);
  void startCore();
  bool persist(const ControlWork& work);
  void bootstrapIfFirst();
  void serveOperator(const std::shared_ptr<ServerExchange>& exchange);
  void replaceConfiguration(const std::string& base_version, const std::string& body,
                            const std::shared_ptr<ServerExchange>& exchange);
  /// Answers that the storage is not writable.
  static void rejectOperatorCall(const std::shared_ptr<ServerExchange>& exchange);
  void onOperatorReply(ControlToken token, const ControlReply& reply);
  void redirectOrReject(const std::shared_ptr<ServerExchange>& exchange, const ControlReply& reply);
  void onFrame(FrameToken token, const Frame& frame);
  void rejectFrame(FrameToken token);
  void reopenStorage();
  void scheduleWork();
  void work();
  void executeWork(const ControlWork& work);
  void sendRaftMessages(const std::vector<RaftMessage>& messages);
  void joinIfNotMember();
  void askToJoin(const std::string& target, const ControlRequest& request, bool follow_leader);
  void tick();
  void waitForSignal();
  void onSignal(int signal);
  void rereadSettings();
  void logStateChange();
  /// Logs the records that restarted proxies have replaced.
  void logReplacements();

  EventLoop loop_;
  const ExternalApi& api_;
  OperatingBounds bounds_;
  CoordinatorSettings settings_;
  SettingsWatch settings_watch_;
  PosixFileSystem files_;
  std::unique_ptr<RaftStorage> storage_;
  std::unique_ptr<ControlCore> core_;  ///< Null while the disk is not writable.
  std::uint64_t core_generation_ = 0;  ///< Identifies replies to requests of an earlier core.
  std::optional<TimePoint> storage_unwritable_since_;
  TimePoint next_open_attempt_{0};
  ControlChannels channels_;
  FrameServer frames_;
  StreamHttpServer operators_;
  boost::asio::signal_set signals_;
  LoopTimer tick_timer_;
  LoopTimer stop_timer_;
  std::map<ControlToken, std::shared_ptr<ServerExchange>> operator_calls_;
  ControlToken next_operator_token_;
  bool work_scheduled_ = false;
  TimePoint next_join_{0};
  TimePoint next_settings_check_{0};
  std::string logged_state_;
  DecisionLimit replacement_log_{"record_replaced"};
};

}  // namespace ramppond
