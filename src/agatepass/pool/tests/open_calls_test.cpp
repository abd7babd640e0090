// Every caller gets an answer when a leadership term ends.
#include "agatepass/pool/open_calls.h"

#include <vector>

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

TEST(OpenCalls, AnswersEveryOpenCallOnceWhenTheTermEnds) {
  OpenCalls calls;
  std::vector<base::ResultCode> codes;
  const auto record_code = [&codes](const CallerAnswer& answer) {
    codes.push_back(answer.code);
  };
  const CallId first = calls.Add(record_code);
  calls.Add(record_code);
  calls.Answer({.call = first, .code = base::ResultCode::kAccepted});
  calls.AnswerAllUnknown("the term has ended");
  calls.Answer({.call = first});
  EXPECT_EQ(codes, (std::vector{base::ResultCode::kAccepted,
                                base::ResultCode::kOutcomeUnknown}));
}

}  // namespace
}  // namespace agatepass::pool
