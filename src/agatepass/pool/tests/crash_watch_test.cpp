// Queues whose tasks crash their workers are contained for a while.
#include "agatepass/pool/crash_watch.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::seconds;

constexpr base::Instant kStart{seconds(100)};

TEST(CrashWatch, OneCrashContainsNoQueue) {
  CrashWatch watch;
  watch.OnCrash("letters", 1, kStart);
  EXPECT_FALSE(watch.IsContained("letters", kStart));
}

TEST(CrashWatch, TwoCrashesContainTheirQueueForAWhile) {
  CrashWatch watch;
  watch.OnCrash("letters", 1, kStart);
  watch.OnCrash("letters", 1, kStart + seconds(1));
  EXPECT_TRUE(watch.IsContained("letters", kStart + seconds(5)));
  EXPECT_FALSE(watch.IsContained("alerts", kStart + seconds(5)));
  EXPECT_FALSE(watch.IsContained("letters", kStart + seconds(30)));
}

TEST(CrashWatch, CrashesFarApartContainNoQueue) {
  CrashWatch watch;
  for (int i = 0; i < 10; ++i) {
    watch.OnCrash("letters", 1, kStart + i * seconds(20));
    EXPECT_FALSE(watch.IsContained("letters", kStart + i * seconds(20)));
  }
}

}  // namespace
}  // namespace agatepass::pool
