#include "net/stream/tcp_listener.h"

namespace ramppond {
namespace {

using Tcp = boost::asio::ip::tcp;

// Many clients may come at once after a restart; a full queue would drop their opening packets.
constexpr int kBacklog = 1024;
// When no connection can be accepted (descriptors are used up, say), it is tried again after this.
constexpr Duration kAcceptPause = milliseconds(100);

}  // namespace

TcpListener::TcpListener(EventLoop& loop, Endpoint endpoint, Accepted accepted)
    : endpoint_(std::move(endpoint)),
      accepted_(std::move(accepted)),
      acceptor_(loop.context()),
      pause_(loop) {}

std::optional<std::string> TcpListener::start() {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address_v4(endpoint_.host, error);
  if (!error) {
    acceptor_.open(Tcp::v4(), error);
  }
  if (!error) {
    acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(Tcp::endpoint(address, endpoint_.port), error);
  }
  if (!error) {
    acceptor_.listen(kBacklog, error);
  }
  if (error) {
    return endpoint_.toString() + ": cannot listen: " + error.message();
  }
  accept();
  return std::nullopt;
}

void TcpListener::stop() {
  if (!acceptor_.is_open()) {
    return;
  }
  pause_.cancel();
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket = acceptor_.accept(error);
    if (!error) {
      accepted_(std::move(socket));
    }
  }
  acceptor_.close(error);
}

void TcpListener::accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (error) {
      pause_.after(kAcceptPause, [this] { accept(); });
      return;
    }
    accepted_(std::move(socket));
    accept();
  });
}

}  // namespace ramppond
