// ramppond-coordinator: a control member on the event loop, for the forwarding path.
//
// Carries out what ControlCore decides: keeps its log, talks to the other members and to daemons
// in frames, and answers the operator over HTTP. One thread; a sync of the disk stops it, and a
// disk that hangs makes the others elect another leader.
//
// A disk that takes no writes leaves unknown what is on it. The member then forgets all that it
// holds in memory, as if it had ended: it neither votes nor answers, sends whoever asks to other
// members, and reads its files anew every now and then until they take writes again.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "common/settings_watch.h"
#include "control/coordinator/coordinator_settings.h"
#include "core/control/control_core.h"
#include "core/external/external_api.h"
#include "net/stream/control_channels.h"
#include "net/stream/http_server.h"
#include "storage/raft_storage.h"

namespace ramppond {

/// Tokens of operators' calls lie above those of frames.
constexpr ControlToken kFirstOperatorToken = ControlToken{1} << 62U;

class CoordinatorProcess {
 public:
  CoordinatorProcess(const ExternalApi& api, const OperatingBounds& bounds,
                     CoordinatorSettings settings, std::string settings_path);

  /// Opens the data folder and listens. Nothing on success, else the reason.
  std::optional<std::string> start();
  void run() { loop_.run(); }

 private:
  /// Reads the files and begins to take part, or tries again later if they take no writes. Gives
  /// why the process must end, if it must.
  std::optional<std::string> openStorage();
  void onStorageRefused(const std::string& reason);
  void beginCore();
  bool persist(const ControlWork& work);
  void bootstrapIfFirst();
  void serveOperator(const std::shared_ptr<ServerExchange>& exchange);
  void onReplacement(const std::string& base_version, const std::string& body,
                     const std::shared_ptr<ServerExchange>& exchange);
  /// While the disk takes no writes.
  static void refuseOperator(const std::shared_ptr<ServerExchange>& exchange);
  void onOperatorReply(ControlToken token, const ControlReply& reply);
  void redirectOrRefuse(const std::shared_ptr<ServerExchange>& exchange, const ControlReply& reply);
  void onFrame(FrameToken token, const Frame& frame);
  void refuseFrame(FrameToken token);
  void reopenStorage();
  void scheduleWork();
  void work();
  void carryOut(const ControlWork& work);
  void sendRaft(const std::vector<RaftMessage>& messages);
  void joinIfOutside();
  void askToJoin(const std::string& target, const ControlRequest& request, bool follow_leader);
  void tick();
  void waitForSignal();
  void onSignal(int signal);
  void rereadSettings();
  void logState();

  EventLoop loop_;
  const ExternalApi& api_;
  OperatingBounds bounds_;
  CoordinatorSettings settings_;
  SettingsWatch settings_watch_;
  PosixFileSystem files_;
  std::unique_ptr<RaftStorage> storage_;
  std::unique_ptr<ControlCore> core_;  ///< None while the disk takes no writes.
  std::uint64_t core_number_ = 0;      ///< Tells replies to requests of an earlier core.
  std::optional<TimePoint> storage_refused_since_;
  TimePoint next_open_{0};
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
};

}  // namespace ramppond
