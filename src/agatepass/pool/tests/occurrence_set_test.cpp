#include "agatepass/pool/occurrence_set.h"

#include <cstdint>
#include <limits>
#include <random>
#include <set>

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using Ranges = std::vector<OccurrenceRange>;

TEST(OccurrenceSetTest, MergesRangesThatTouchOrOverlap) {
  OccurrenceSet set;
  set.Add({5, 5});
  set.Add({7, 9});
  EXPECT_EQ(set.ranges(), (Ranges{{5, 5}, {7, 9}}));
  set.Add({6, 6});
  EXPECT_EQ(set.ranges(), (Ranges{{5, 9}}));
  set.Add({0, 20});
  EXPECT_EQ(set.ranges(), (Ranges{{0, 20}}));
  EXPECT_EQ(set.count(), 21U);
}

TEST(OccurrenceSetTest, HoldsTheLargestNumbers) {
  constexpr uint32_t kMax = std::numeric_limits<uint32_t>::max();
  OccurrenceSet set;
  set.Add({0, kMax - 1});
  set.Add({kMax, kMax});
  EXPECT_EQ(set.count(), uint64_t{kMax} + 1);
  EXPECT_EQ(set.FirstMissing(3), uint64_t{kMax} + 1);
  EXPECT_TRUE(set.Contains(kMax));
}

TEST(OccurrenceSetTest, AgreesWithAPlainSet) {
  std::mt19937 random(7);
  OccurrenceSet set;
  std::set<uint32_t> plain;
  for (int i = 0; i < 2000; ++i) {
    const uint32_t first = random() % 500;
    const uint32_t last = first + random() % 4;
    set.Add({first, last});
    for (uint32_t n = first; n <= last; ++n) plain.insert(n);
    ASSERT_EQ(set.count(), plain.size());
    const uint32_t asked = random() % 510;
    ASSERT_EQ(set.Contains(asked), plain.contains(asked));
    uint32_t missing = asked;
    while (plain.contains(missing)) ++missing;
    ASSERT_EQ(set.FirstMissing(asked), missing);
  }
}

}  // namespace
}  // namespace agatepass::pool
