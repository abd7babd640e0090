#include "agatepass/relay/admission.h"

#include "gtest/gtest.h"

namespace agatepass::relay {
namespace {

using base::ResultCode;
using std::chrono::milliseconds;

constexpr base::Instant kNow{std::chrono::seconds(100)};

WaitingRequest Make(RequestNumber number, RequestClass request_class,
                    base::Duration time) {
  return {number, request_class, kNow + time};
}

TEST(Admission, RequestThatWouldEndJustInTimeIsNotSent) {
  AdmissionQueue queue(10);
  const ServiceCapacity capacity{1, milliseconds(40), milliseconds(60)};
  EXPECT_EQ(queue
                .Enqueue(Make(1, RequestClass::kBulk, milliseconds(50)),
                         capacity, kNow)
                ->code,
            ResultCode::kDeadlineTooShort);
  EXPECT_FALSE(queue.Enqueue(Make(2, RequestClass::kBulk, milliseconds(100)),
                             capacity, kNow));
  EXPECT_EQ(queue.TakeHopeless(capacity, kNow + milliseconds(39)).size(), 0U);
  EXPECT_EQ(queue.TakeHopeless(capacity, kNow + milliseconds(40)).size(), 1U);
}

TEST(Admission, BulkAheadDoesNotCountForUrgent) {
  AdmissionQueue queue(10);
  const ServiceCapacity capacity{1, milliseconds(40), milliseconds(40)};
  for (RequestNumber i = 1; i <= 5; ++i) {
    queue.Enqueue(Make(i, RequestClass::kBulk, std::chrono::seconds(9)),
                  capacity, kNow);
  }
  EXPECT_EQ(queue.ExpectedWait(RequestClass::kUrgent, capacity).count(), 0);
  EXPECT_EQ(queue.ExpectedWait(RequestClass::kBulk, capacity),
            milliseconds(200));
  const auto refusal = queue.Enqueue(
      Make(6, RequestClass::kBulk, milliseconds(150)), capacity, kNow);
  EXPECT_EQ(refusal->code, ResultCode::kOverloaded);
  EXPECT_GT(refusal->retry_after.count(), 0);
}

TEST(Admission, FullClassRefusesOnlyItsOwn) {
  AdmissionQueue queue(1);
  const ServiceCapacity capacity{1, milliseconds(1), milliseconds(1)};
  const base::Duration time = std::chrono::seconds(9);
  queue.Enqueue(Make(1, RequestClass::kBulk, time), capacity, kNow);
  EXPECT_TRUE(
      queue.Enqueue(Make(2, RequestClass::kBulk, time), capacity, kNow));
  EXPECT_FALSE(
      queue.Enqueue(Make(3, RequestClass::kUrgent, time), capacity, kNow));
}

}  // namespace
}  // namespace agatepass::relay
