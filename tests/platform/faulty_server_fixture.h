// Test fixture with real processes in which one server answers with whatever bytes a test likes.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "tests/net/raw_server.h"
#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {

/// The faulty server is the only one of service "two"; those of service "one" are sound. Route
/// /two/ is unsafe, /safe/ is safe, /up/ takes uploads.
class FaultyServerTest : public ForwardingTest {
 protected:
  static constexpr int kFaultyMachine = 1;
  static constexpr int kOtherMachine = 0;

  /// Answers one request, whose id is `id`; the connection is closed when it returns.
  using Answering = std::function<void(RawServerConnection& connection, const std::string& id)>;

  /// Does nothing: a test starts the deployment once it knows how the server answers.
  void SetUp() override {}
  /// Ends the faulty server, whose threads may use what the fixture of a test owns.
  void TearDown() override;
  /// Starts the deployment; the faulty server answers by `answering` from then on.
  void start(Answering answering);
  /// Whether the faulty server has read the head of request `id`.
  bool reachedServer(const std::string& id);
  /// Sends to `target` at `machine`, with a body if `body_bytes` is not 0, and waits for the end.
  Answer sendTo(int machine, const std::string& target, const std::string& id,
                std::size_t body_bytes, int deadline_ms);

 private:
  void serve(RawServerConnection& connection);

  Answering answering_;
  std::mutex mutex_;
  std::set<std::string> reached_;  ///< Guarded by mutex_.
  std::unique_ptr<RawServer> faulty_;
};

/// The start of a success without the fields that frame its body.
std::string successHead(const std::string& id);

}  // namespace ramppond::fake_platform
