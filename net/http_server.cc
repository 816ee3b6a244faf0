#include "net/http_server.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <strings.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

#include "net/stream/http_head.h"
#include "net/stream/http_status.h"

namespace ramppond {

namespace ph = Pistache::Http;

std::string HttpRequest::header(const std::string& name) const {
  for (const HttpHeader& header : headers) {
    if (strcasecmp(header.name.c_str(), name.c_str()) == 0) {
      return header.value;
    }
  }
  return "";
}

// Thread safe. `mutex_` guards all members below it.
class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(HttpServerOptions options, RequestHandler on_request, GoneHandler on_gone)
      : options_(std::move(options)),
        on_request_(std::move(on_request)),
        on_gone_(std::move(on_gone)) {}

  std::optional<std::string> start();
  void stop() {
    if (endpoint_) {
      endpoint_->shutdown();
      endpoint_.reset();
    }
  }
  [[nodiscard]] std::uint16_t port() const {
    return endpoint_ ? static_cast<std::uint16_t>(endpoint_->getPort()) : 0;
  }

  void onRequest(const ph::Request& request, ph::ResponseWriter writer);
  void onDisconnection(std::size_t peer);
  void respond(HttpToken token, HttpResponse response);

 private:
  struct Pending {
    ph::ResponseWriter writer;
    std::size_t peer;
    bool close_requested = false;
    std::optional<HttpResponse> response;  ///< Waits for earlier requests of the connection.
  };
  void send(ph::ResponseWriter& writer, const HttpResponse& response);
  void refuse(HttpToken token);

  HttpServerOptions options_;
  RequestHandler on_request_;
  GoneHandler on_gone_;
  std::unique_ptr<ph::Endpoint> endpoint_;
  std::mutex mutex_;
  HttpToken next_token_ = 1;
  std::unordered_map<HttpToken, Pending> pending_;
  std::unordered_map<std::size_t, std::deque<HttpToken>> order_;  ///< By connection.
  /// Connections on which a malformed request has come: where the next one begins is not known.
  std::unordered_set<std::size_t> malformed_;
};

namespace {

// Answers are not limited by what requests may be: a small request may ask for much.
constexpr std::size_t kMaximumResponseBytes = 256 << 20;

// A header of any name: Pistache writes only typed headers into a response, no raw ones.
class ResponseField : public ph::Header::Header {
 public:
  explicit ResponseField(HttpHeader field) : field_(std::move(field)) {}
  [[nodiscard]] const char* name() const override { return field_.name.c_str(); }
  void write(std::ostream& stream) const override { stream << field_.value; }
#ifdef SAFE_HEADER_CAST
  [[nodiscard]] std::uint64_t hash() const override {
    return std::hash<std::string>()(field_.name);
  }
#endif

 private:
  HttpHeader field_;
};

// Pistache takes whatever stands before a colon for the name of a field, line ends included.
bool hasMalformedField(const ph::Request& request) {
  const auto fields = request.headers().rawList();
  return std::any_of(fields.begin(), fields.end(),
                     [](const auto& field) { return !isFieldName(field.second.name()); });
}

template <class Implementation>
class PistacheHandler : public ph::Handler {
 public:
  HTTP_PROTOTYPE(PistacheHandler)
  explicit PistacheHandler(std::shared_ptr<Implementation> impl) : impl_(std::move(impl)) {}

  void onRequest(const ph::Request& request, ph::ResponseWriter response) override {
    impl_->onRequest(request, std::move(response));
  }
  void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    impl_->onDisconnection(peer->getID());
  }

 private:
  std::shared_ptr<Implementation> impl_;
};

}  // namespace

std::optional<std::string> HttpServer::Impl::start() {
  try {
    const Pistache::Address address(options_.listen.host, Pistache::Port(options_.listen.port));
    endpoint_ = std::make_unique<ph::Endpoint>(address);
    auto options = ph::Endpoint::options()
                       .threads(options_.threads)
                       .flags(Pistache::Tcp::Options::NoDelay | Pistache::Tcp::Options::ReuseAddr |
                              Pistache::Tcp::Options::CloseOnExec)
                       .maxRequestSize(options_.maximum_request_bytes)
                       .maxResponseSize(kMaximumResponseBytes)
                       .backlog(1024);
    endpoint_->init(options);
    endpoint_->setHandler(std::make_shared<PistacheHandler<HttpServer::Impl>>(shared_from_this()));
    endpoint_->serveThreaded();
  } catch (const std::exception& error) {
    endpoint_.reset();
    return "cannot listen on " + options_.listen.toString() + ": " + error.what();
  }
  return std::nullopt;
}

void HttpServer::Impl::onRequest(const ph::Request& request, ph::ResponseWriter writer) {
  HttpRequest copy;
  copy.method = ph::methodString(request.method());
  copy.path = request.resource();
  copy.body = request.body();
  for (const auto& [name, raw] : request.headers().rawList()) {
    copy.headers.push_back({raw.name(), raw.value()});
  }
  // Pistache parses the headers that it knows and keeps them apart.
  for (const auto& header : request.headers().list()) {
    std::ostringstream value;
    header->write(value);
    copy.headers.push_back({header->name(), value.str()});
  }
  HttpToken token = 0;
  bool refused = hasMalformedField(request);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto peer = writer.getPeer();
    const std::size_t peer_id = peer ? peer->getID() : 0;
    refused = refused || malformed_.count(peer_id) != 0;
    if (refused) {
      malformed_.insert(peer_id);
    }
    token = next_token_++;
    order_[peer_id].push_back(token);
    const auto connection = request.headers().tryGet<ph::Header::Connection>();
    const bool close = connection && connection->control() == ph::ConnectionControl::Close;
    pending_.emplace(token, Pending{std::move(writer), peer_id, close, std::nullopt});
  }
  if (refused) {
    refuse(token);
  } else {
    on_request_(token, std::move(copy));
  }
}

void HttpServer::Impl::refuse(HttpToken token) {
  HttpResponse response;
  response.status = kBadRequest;
  response.content_type = "text/plain";
  response.body = "malformed field name\n";
  response.close_connection = true;
  respond(token, std::move(response));
}

void HttpServer::Impl::onDisconnection(std::size_t peer) {
  std::deque<HttpToken> gone;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    malformed_.erase(peer);
    const auto found = order_.find(peer);
    if (found == order_.end()) {
      return;
    }
    gone = std::move(found->second);
    order_.erase(found);
    for (const HttpToken token : gone) {
      pending_.erase(token);
    }
  }
  for (const HttpToken token : gone) {
    on_gone_(token);
  }
}

void HttpServer::Impl::respond(HttpToken token, HttpResponse response) {
  std::vector<std::pair<ph::ResponseWriter, HttpResponse>> to_send;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = pending_.find(token);
    if (found == pending_.end()) {
      return;
    }
    response.close_connection = response.close_connection || found->second.close_requested;
    found->second.response = std::move(response);
    const auto connection = order_.find(found->second.peer);
    std::deque<HttpToken>& order = connection->second;
    while (!order.empty() && pending_.at(order.front()).response) {
      const auto first = pending_.find(order.front());
      to_send.emplace_back(std::move(first->second.writer), std::move(*first->second.response));
      pending_.erase(first);
      order.pop_front();
    }
    if (order.empty()) {
      order_.erase(connection);
    }
    // Sent under the lock, so that two answers of one connection cannot overtake each other.
    for (auto& [writer, answer] : to_send) {
      send(writer, answer);
    }
  }
}

void HttpServer::Impl::send(ph::ResponseWriter& writer, const HttpResponse& response) {
  // Pistache closes unless the request asked for keep-alive, but since HTTP/1.1 a connection
  // persists unless one side says otherwise (RFC 9112, 9.3).
  writer.headers().remove<ph::Header::Connection>();
  writer.headers().add<ph::Header::Connection>(
      response.close_connection ? ph::ConnectionControl::Close : ph::ConnectionControl::KeepAlive);
  for (const HttpHeader& header : response.headers) {
    writer.headers().add(std::make_shared<ResponseField>(header));
  }
  const auto slash = response.content_type.find('/');
  const auto code = static_cast<ph::Code>(response.status);
  if (slash == std::string::npos) {
    writer.send(code, response.body);
    return;
  }
  const auto mime = ph::Mime::MediaType::fromString(response.content_type);
  writer.send(code, response.body, mime);
}

HttpServer::HttpServer(HttpServerOptions options, RequestHandler on_request, GoneHandler on_gone)
    : impl_(std::make_shared<Impl>(std::move(options), std::move(on_request), std::move(on_gone))) {
}

HttpServer::~HttpServer() {
  stop();
}

std::optional<std::string> HttpServer::start() {
  return impl_->start();
}
void HttpServer::stop() {
  impl_->stop();
}
std::uint16_t HttpServer::port() const {
  return impl_->port();
}
void HttpServer::respond(HttpToken token, HttpResponse response) {
  impl_->respond(token, std::move(response));
}

}  // namespace ramppond
