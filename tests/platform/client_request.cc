#include "tests/platform/client_request.h"

namespace ramppond::fake_platform {

HttpHead makeHead(const Request& request) {
  HttpHead head;
  head.method = request.method;
  head.target = request.target;
  head.fields.push_back({"Host", request.host.empty() ? "machine" : request.host});
  if (!request.request_id.empty()) {
    head.fields.push_back({"Request-Id", request.request_id});
  }
  for (const auto& [name, value] : request.headers) {
    head.fields.push_back({name, value});
  }
  if (!request.body.empty()) {
    head.content_length = request.body.size();
  }
  return head;
}

}  // namespace ramppond::fake_platform
