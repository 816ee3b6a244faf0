// Drives ControlCore and RaftStorage, the classes that the control process runs, in virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/control/control_core.h"
#include "lab/simulation/memory_file_system.h"
#include "lab/simulation/simulated_daemon.h"
#include "lab/simulation/world.h"
#include "storage/raft_storage.h"

namespace ramppond {

struct SimulatedControlOptions {
  LogIndex entries_per_snapshot = 500;
  Duration sync_time = milliseconds(1);  ///< Of one round of writes.
};

class SimulatedControl {
 public:
  using Reply = std::function<void(const std::optional<ControlReply>&)>;

  SimulatedControl(World& world, Directory& directory, std::string name, const std::string& zone,
                   SimulatedControlOptions options);

  /// False if the storage refuses to start.
  bool start();
  void kill();
  bool restart(bool wipe);
  /// The next storage operation but `count` fails, as on power loss: the process dies there.
  void failStorageAfter(std::uint64_t count) { files_.failAfter(count); }

  /// Sends a request from `requester`; `reply` runs there, with nothing after `timeout`.
  void ask(NodeNumber requester, const ControlRequest& request, Duration timeout,
           const Reply& reply);
  void onPlatformList(const std::vector<ServerInfo>& servers);

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& address() const { return name_; }
  [[nodiscard]] NodeNumber node() const { return node_; }
  [[nodiscard]] bool alive() const { return core_ != nullptr; }
  [[nodiscard]] const ControlCore* core() const { return core_.get(); }
  [[nodiscard]] bool leads() const {
    return core_ != nullptr && core_->raft().role() == RaftRole::kLeader;
  }

 private:
  struct Waiting {
    ExchangeNumber exchange;
    Reply reply;
  };

  void scheduleTick();
  void wake();
  void work();
  void carryOut(const ControlWork& work);
  void answer(ControlToken token, const ControlReply& reply);
  void sendRaft(const RaftMessage& message);
  void sendMemberRequest(const MemberRequest& request);

  World& world_;
  Directory& directory_;
  std::string name_;
  NodeNumber node_;
  SimulatedControlOptions options_;
  MemoryFileSystem files_;
  std::unique_ptr<RaftStorage> storage_;
  std::unique_ptr<ControlCore> core_;
  std::uint64_t starts_ = 0;
  bool working_ = false;
  bool woken_ = false;
  ControlToken next_token_ = 1;
  std::map<ControlToken, Waiting> waiting_;
};

}  // namespace ramppond
