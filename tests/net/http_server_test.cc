#include "net/http_server.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>

#include "net/http_client.h"
#include "tests/net/raw_connection.h"

namespace ramppond {
namespace {

// A server that hands its requests to the test.
class HttpServerTest : public testing::Test {
 protected:
  HttpServerTest() {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.maximum_request_bytes = 64 * 1024;
    server_ = std::make_unique<HttpServer>(
        options,
        [this](HttpToken token, const HttpRequest& request) {
          const std::lock_guard<std::mutex> lock(mutex_);
          requests_.emplace_back(token, request);
          arrived_.notify_all();
        },
        [this](HttpToken token) {
          const std::lock_guard<std::mutex> lock(mutex_);
          gone_.push_back(token);
          arrived_.notify_all();
        });
    const auto error = server_->start();
    EXPECT_FALSE(error) << *error;
  }
  ~HttpServerTest() override { server_->stop(); }

  void waitForRequests(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    arrived_.wait(lock, [&] { return requests_.size() >= count; });
  }
  void waitForGone(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    arrived_.wait(lock, [&] { return gone_.size() >= count; });
  }
  void respond(std::size_t request, const std::string& body) {
    HttpResponse response;
    response.content_type = "text/plain";
    response.body = body;
    server_->respond(requests_.at(request).first, response);
  }
  std::string url() const { return "http://127.0.0.1:" + std::to_string(server_->port()) + "/x"; }

  std::unique_ptr<HttpServer> server_;
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<std::pair<HttpToken, HttpRequest>> requests_;
  std::vector<HttpToken> gone_;
};

TEST_F(HttpServerTest, PipelinedAnswersKeepTheOrderOfTheirRequests) {
  RawConnection connection(server_->port());
  connection.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
  waitForRequests(1);
  connection.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
  waitForRequests(2);
  EXPECT_EQ(requests_[1].second.path, "/second");
  respond(1, "answer-two");
  respond(0, "answer-one");
  const std::string first = connection.receiveResponse();
  const std::string second = connection.receiveResponse();
  EXPECT_NE(first.find("answer-one"), std::string::npos) << first;
  EXPECT_NE(second.find("answer-two"), std::string::npos) << second;
}

TEST_F(HttpServerTest, ConnectionsPersistUnlessOneSideSaysOtherwise) {
  RawConnection connection(server_->port());
  connection.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  waitForRequests(1);
  respond(0, "one");
  EXPECT_NE(connection.receiveResponse().find("Connection: Keep-Alive"), std::string::npos);
  connection.send("GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  waitForRequests(2);
  respond(1, "two");
  EXPECT_NE(connection.receiveResponse().find("Connection: Close"), std::string::npos);
}

TEST_F(HttpServerTest, AnswersMayBeMuchLargerThanRequests) {
  HttpClient client{HttpClientOptions{}};
  std::mutex mutex;
  std::condition_variable done;
  std::optional<HttpClientResult> result;
  HttpClientRequest request;
  request.url = url();
  request.timeout = seconds(30);
  client.send(request, [&](HttpClientResult answer) {
    const std::lock_guard<std::mutex> lock(mutex);
    result = std::move(answer);
    done.notify_all();
  });
  waitForRequests(1);
  const std::string large(5 << 20, 'x');
  respond(0, large);
  std::unique_lock<std::mutex> lock(mutex);
  done.wait(lock, [&] { return result.has_value(); });
  ASSERT_TRUE(result->complete) << result->reason;
  EXPECT_EQ(result->body, large);
}

TEST_F(HttpServerTest, ARequestOverTheLimitGets413) {
  RawConnection connection(server_->port());
  connection.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" +
                  std::string(200000, 'x'));
  EXPECT_NE(connection.receiveResponse().find("413"), std::string::npos);
}

TEST_F(HttpServerTest, ARequesterThatGoesAwayIsReported) {
  {
    RawConnection connection(server_->port());
    connection.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    waitForRequests(1);
  }
  waitForGone(1);
  EXPECT_EQ(gone_.at(0), requests_.at(0).first);
  respond(0, "nobody");  // Goes nowhere and harms nothing.
}

TEST(HttpClientTest, AClosedPortMeansThatNothingWasSent) {
  HttpClient client{HttpClientOptions{}};
  HttpClientRequest request;
  request.url = "http://127.0.0.1:1/";
  request.timeout = seconds(5);
  const HttpClientResult result = sendAndWait(client, request);
  EXPECT_FALSE(result.complete);
  EXPECT_TRUE(result.never_sent);
}

}  // namespace
}  // namespace ramppond
