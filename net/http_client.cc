#include "net/http_client.h"

#include <curl/curl.h>
#include <strings.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace ramppond {
namespace {

constexpr int kPollTimeoutMs = 1000;
constexpr std::size_t kIdleHandles = 256;
constexpr char kStatusLineStart[] = "HTTP/";
constexpr long kFirstFinalStatus = 200;  ///< Below: interim answers (RFC 9110, 15.2).

struct Transfer {
  std::uint64_t id = 0;
  HttpClientRequest request;
  HttpClient::Callback callback;
  HttpClientResult result;
  std::size_t maximum_body_bytes = 0;
  std::size_t head_bytes = 0;
  bool head_complete = false;  ///< Of the last answer, interim ones included.
  bool too_large = false;
  CURL* handle = nullptr;
  curl_slist* header_list = nullptr;
};

// Makes libcurl end the transfer: a callback returns another number than that of the bytes it was
// given.
constexpr std::size_t kEndTransfer = 0;

std::size_t takeBody(char* data, std::size_t size, std::size_t count, void* target) {
  Transfer& transfer = *static_cast<Transfer*>(target);
  std::string& body = transfer.result.body;
  if (body.size() + size * count > transfer.maximum_body_bytes) {
    transfer.too_large = true;
    return kEndTransfer;
  }
  body.append(data, size * count);
  return size * count;
}

// Is given one line at a time: the first line and the fields of each answer, the empty line behind
// them, and the fields of a trailer.
std::size_t takeHeader(char* data, std::size_t size, std::size_t count, void* target) {
  Transfer& transfer = *static_cast<Transfer*>(target);
  transfer.head_bytes += size * count;
  if (transfer.head_bytes > kMaximumResponseHeadBytes) {
    transfer.too_large = true;
    return kEndTransfer;
  }
  const std::string line(data, size * count);
  if (line == "\r\n" || line == "\n") {
    transfer.head_complete = true;
    return size * count;
  }
  if (line.rfind(kStatusLineStart, 0) == 0) {
    transfer.head_complete = false;
    transfer.result.headers.clear();
    return size * count;
  }
  const auto colon = line.find(':');
  if (colon != std::string::npos) {
    const auto start = line.find_first_not_of(' ', colon + 1);
    const auto end = line.find_last_not_of("\r\n ");
    const bool empty = start == std::string::npos || end < start;
    transfer.result.headers.push_back(
        {line.substr(0, colon), empty ? "" : line.substr(start, end - start + 1)});
  }
  return size * count;
}

std::string failureReason(CURLcode code, const Transfer& transfer) {
  if (transfer.too_large) {
    return "the answer is too large";
  }
  return code == CURLE_OK ? "the answer ended in its head" : curl_easy_strerror(code);
}

void startCurlOnce() {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_ALL);
  static_cast<void>(code);
}

}  // namespace

std::string HttpClientResult::header(const std::string& name) const {
  for (const HttpHeader& header : headers) {
    if (strcasecmp(header.name.c_str(), name.c_str()) == 0) {
      return header.value;
    }
  }
  return "";
}

// `mutex_` guards the two queues; everything else belongs to the client's thread.
class HttpClient::Impl {
 public:
  explicit Impl(HttpClientOptions options) : options_(options) {
    startCurlOnce();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(options_.connections_per_host));
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 4096L);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    thread_ = std::thread([this] { run(); });
  }

  ~Impl() {
    stopping_ = true;
    curl_multi_wakeup(multi_);
    thread_.join();
    for (auto& [id, transfer] : active_) {
      release(*transfer);
    }
    for (CURL* handle : idle_) {
      curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(multi_);
  }

  std::uint64_t send(HttpClientRequest request, Callback callback) {
    auto transfer = std::make_unique<Transfer>();
    transfer->id = next_id_.fetch_add(1);
    transfer->request = std::move(request);
    transfer->callback = std::move(callback);
    const std::uint64_t id = transfer->id;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      started_.push_back(std::move(transfer));
    }
    curl_multi_wakeup(multi_);
    return id;
  }

  void cancel(std::uint64_t id) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      cancelled_.push_back(id);
    }
    curl_multi_wakeup(multi_);
  }

 private:
  void run() {
    while (!stopping_) {
      takeQueues();
      int running = 0;
      curl_multi_perform(multi_, &running);
      finishTransfers();
      curl_multi_poll(multi_, nullptr, 0, kPollTimeoutMs, nullptr);
    }
  }

  void takeQueues() {
    std::vector<std::unique_ptr<Transfer>> started;
    std::vector<std::uint64_t> cancelled;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      started.swap(started_);
      cancelled.swap(cancelled_);
    }
    for (auto& transfer : started) {
      begin(std::move(transfer));
    }
    for (const std::uint64_t id : cancelled) {
      const auto found = active_.find(id);
      if (found != active_.end()) {
        release(*found->second);
        active_.erase(found);
      }
    }
  }

  void begin(std::unique_ptr<Transfer> transfer) {
    CURL* handle = nullptr;
    if (idle_.empty()) {
      handle = curl_easy_init();
    } else {
      handle = idle_.back();
      idle_.pop_back();
    }
    transfer->handle = handle;
    transfer->maximum_body_bytes = options_.maximum_body_bytes;
    const HttpClientRequest& request = transfer->request;
    transfer->header_list = curl_slist_append(nullptr, "Expect:");
    for (const HttpHeader& header : request.headers) {
      const std::string line = header.name + ": " + header.value;
      transfer->header_list = curl_slist_append(transfer->header_list, line.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer->header_list);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, takeBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, takeHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, transfer.get());
    curl_easy_setopt(handle, CURLOPT_PRIVATE, transfer.get());
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(options_.connect_timeout.count() / 1000));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(request.timeout.count() / 1000 + 1));
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, request.fresh_connection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.method != "GET" || !request.body.empty()) {
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_multi_add_handle(multi_, handle);
    const std::uint64_t id = transfer->id;
    active_.emplace(id, std::move(transfer));
  }

  void finishTransfers() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      char* private_data = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &private_data);
      finish(reinterpret_cast<Transfer*>(private_data)->id, code);
    }
  }

  void finish(std::uint64_t id, CURLcode code) {
    const auto found = active_.find(id);
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    active_.erase(found);
    long status = 0;
    long sent_bytes = 0;
    curl_easy_getinfo(transfer->handle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer->handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
    HttpClientResult& result = transfer->result;
    result.status = static_cast<int>(status);
    // libcurl takes a connection that is closed inside a head, or behind an interim answer, for the
    // end of an answer.
    result.complete = code == CURLE_OK && transfer->head_complete && status >= kFirstFinalStatus;
    result.never_sent = code != CURLE_OK && sent_bytes == 0;
    result.reason = result.complete ? "" : failureReason(code, *transfer);
    release(*transfer);
    transfer->callback(std::move(transfer->result));
  }

  void release(Transfer& transfer) {
    curl_multi_remove_handle(multi_, transfer.handle);
    curl_slist_free_all(transfer.header_list);
    if (idle_.size() < kIdleHandles) {
      curl_easy_reset(transfer.handle);
      idle_.push_back(transfer.handle);
    } else {
      curl_easy_cleanup(transfer.handle);
    }
    transfer.handle = nullptr;
  }

  HttpClientOptions options_;
  CURLM* multi_ = nullptr;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> next_id_{1};
  std::mutex mutex_;
  std::vector<std::unique_ptr<Transfer>> started_;
  std::vector<std::uint64_t> cancelled_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> active_;
  std::vector<CURL*> idle_;
  std::thread thread_;
};

HttpClient::HttpClient(HttpClientOptions options) : impl_(std::make_unique<Impl>(options)) {}
HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::send(HttpClientRequest request, Callback callback) {
  return impl_->send(std::move(request), std::move(callback));
}

void HttpClient::cancel(std::uint64_t id) {
  impl_->cancel(id);
}

HttpClientResult sendAndWait(HttpClient& client, HttpClientRequest request) {
  std::promise<HttpClientResult> promise;
  auto future = promise.get_future();
  client.send(std::move(request),
              [&promise](HttpClientResult result) { promise.set_value(std::move(result)); });
  return future.get();
}

}  // namespace ramppond
