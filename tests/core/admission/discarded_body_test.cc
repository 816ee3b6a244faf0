#include "core/admission/discarded_body.h"

#include <gtest/gtest.h>

#include <ostream>

namespace ramppond {
namespace {

struct discard_case {
  const char* name;
  byte_count received;
  bool reads_on;
};

void PrintTo(const discard_case& row, std::ostream* out) {
  *out << row.name;
}

class discarded_body_test : public testing::TestWithParam<discard_case> {};

// Guards against a request that waits for the end of a body that nobody needs.
TEST_P(discarded_body_test, is_read_up_to_the_limit) {
  EXPECT_EQ(may_discard(GetParam().received), GetParam().reads_on);
}

INSTANTIATE_TEST_SUITE_P(
    rows, discarded_body_test,
    testing::Values(discard_case{"nothing", {0}, true}, discard_case{"usual_text", {200}, true},
                    discard_case{"at_the_limit", max_discarded_body, true},
                    discard_case{"beyond", {max_discarded_body.value + 1}, false},
                    discard_case{"endless", {~std::uint64_t(0)}, false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
