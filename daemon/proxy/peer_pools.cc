#include "daemon/proxy/peer_pools.h"

#include <utility>

#include "daemon/proxy/peer_headers.h"

namespace ramppond {
namespace {

constexpr auto connect_timeout = milliseconds(300);
// A peer whose machine is disconnected acknowledges nothing. With a longer timeout, a request that
// may be retried has no time left for the retry; with a shorter one, brief packet loss closes
// healthy connections.
constexpr auto unacknowledged_timeout = seconds(1);
constexpr auto idle_timeout = seconds(20);

}  // namespace

peer_pools::peer_pools(EventLoop& loop, std::string id_header)
    : loop(loop), id_header(std::move(id_header)) {}

auto peer_pools::pool_for(const std::string& address) -> HttpClientPool& {
  auto& pool = this->pools[address];
  if (pool == nullptr) {
    auto options = HttpClientOptions();
    options.endpoint = parseEndpoint(address).value_or(Endpoint{"0.0.0.0", 1});
    options.connect_timeout = connect_timeout;
    options.user_timeout = unacknowledged_timeout;
    options.idle_timeout = idle_timeout;
    options.id_header = this->id_header;
    options.farewell_header = std::string(kPeerFarewell);
    pool = std::make_unique<HttpClientPool>(this->loop, options);
  }
  return *pool;
}

void peer_pools::close_idle_to(const std::string& address) {
  const auto found = this->pools.find(address);
  if (found != this->pools.end()) {
    found->second->closeIdle();
  }
}

void peer_pools::sweep() {
  for (const auto& [address, pool] : this->pools) {
    pool->sweep();
  }
}

}  // namespace ramppond
