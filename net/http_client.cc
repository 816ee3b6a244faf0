#include "net/http_client.h"

#include <curl/curl.h>
#include <strings.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "net/response_reader.h"

namespace ramppond {
namespace {

constexpr int kPollTimeoutMs = 1000;

struct Transfer {
  std::uint64_t id = 0;
  HttpClientRequest request;
  HttpClient::Callback callback;
  std::unique_ptr<ResponseReader> reader;
  CURL* handle = nullptr;
  curl_slist* header_list = nullptr;
};

// Makes libcurl end the transfer: a callback returns another number than that of the bytes it was
// given.
constexpr std::size_t kEndTransfer = 0;

std::size_t takeBody(char* data, std::size_t size, std::size_t count, void* target) {
  Transfer& transfer = *static_cast<Transfer*>(target);
  return transfer.reader->readBody({data, size * count}) ? size * count : kEndTransfer;
}

// Is given one line at a time: the first line and the fields of each answer, and the empty line
// behind them.
std::size_t takeHeader(char* data, std::size_t size, std::size_t count, void* target) {
  Transfer& transfer = *static_cast<Transfer*>(target);
  return transfer.reader->readHead({data, size * count}) ? size * count : kEndTransfer;
}

HttpClientResult resultOf(Transfer& transfer, CURLcode code) {
  HttpClientResult result;
  // libcurl takes a connection that is closed inside a head, or behind an interim answer, for the
  // end of an answer.
  result.complete = code == CURLE_OK && transfer.reader->finish();
  const HttpHead& head = transfer.reader->head();
  result.status = head.status;
  for (const HttpField& field : head.fields) {
    result.headers.push_back({field.name, field.value});
  }
  result.body = transfer.reader->takeBody();
  return result;
}

std::string failureReason(CURLcode code, const Transfer& transfer) {
  if (!transfer.reader->failure().empty()) {
    return transfer.reader->failure();
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
    // A handle is used once: libcurl 7.88 keeps a pointer to the last field of the answer before,
    // which it frees on reuse, and follows it when the first field line begins with a blank.
    CURL* handle = curl_easy_init();
    transfer->handle = handle;
    transfer->reader =
        std::make_unique<ResponseReader>(kMaximumResponseHeadBytes, options_.maximum_body_bytes);
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
    curl_easy_setopt(handle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);  // Chunks are read here.
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
    long sent_bytes = 0;
    curl_easy_getinfo(transfer->handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
    HttpClientResult result = resultOf(*transfer, code);
    result.never_sent = code != CURLE_OK && sent_bytes == 0;
    result.reason = result.complete ? "" : failureReason(code, *transfer);
    release(*transfer);
    transfer->callback(std::move(result));
  }

  void release(Transfer& transfer) {
    curl_multi_remove_handle(multi_, transfer.handle);
    curl_slist_free_all(transfer.header_list);
    curl_easy_cleanup(transfer.handle);
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
