#include "agatepass/timeline/log.h"

#include <sstream>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "nlohmann/json.hpp"
#include "spdlog/sinks/ostream_sink.h"

namespace agatepass::timeline {
namespace {

using ::testing::EndsWith;
using ::testing::IsEmpty;

struct CapturedLog {
  explicit CapturedLog(LogFormat format)
      : log({.format = format, .host = base::HostId("uus-a-1")},
            std::make_shared<spdlog::sinks::ostream_sink_st>(this->out)) {}

  std::ostringstream out;
  Log log;
};

TEST(Log, WritesJsonWithFields) {
  CapturedLog captured(LogFormat::kJson);
  captured.log.Write(LogLevel::kInfo, "job \"x\" {accepted}\n",
                     {{"job", "j-7"}});
  const auto line = nlohmann::json::parse(captured.out.str());
  EXPECT_EQ(line.at("message"), "job \"x\" {accepted}\n");
  EXPECT_EQ(line.at("job"), "j-7");
  EXPECT_EQ(line.at("host"), "uus-a-1");
  EXPECT_EQ(line.at("level"), "info");
}

TEST(Log, WritesKeysAndValuesOnOneLine) {
  CapturedLog captured(LogFormat::kKeyValue);
  captured.log.Write(LogLevel::kError, "two\nlines", {{"epoch", "4"}});
  EXPECT_THAT(captured.out.str(),
              EndsWith("level=error host=uus-a-1 message=\"two\\nlines\" "
                       "epoch=4\n"));
}

TEST(Log, ObeysAChangeOfLevel) {
  CapturedLog captured(LogFormat::kJson);
  captured.log.set_level(LogLevel::kError);
  captured.log.Write(LogLevel::kWarning, "hidden");
  EXPECT_THAT(captured.out.str(), IsEmpty());
  captured.log.set_level(LogLevel::kDebug);
  captured.log.Write(LogLevel::kDebug, "shown");
  EXPECT_FALSE(captured.out.str().empty());
}

TEST(RepeatLimit, SuppressesAndCountsPerKey) {
  RepeatLimit limit(2, std::chrono::seconds(10));
  const base::Instant start{};
  EXPECT_TRUE(limit.Judge("store", start).let_through);
  EXPECT_TRUE(limit.Judge("store", start).let_through);
  EXPECT_FALSE(limit.Judge("store", start).let_through);
  EXPECT_FALSE(limit.Judge("store", start).let_through);
  EXPECT_TRUE(limit.Judge("worker", start).let_through);
  const auto later = limit.Judge("store", start + std::chrono::seconds(10));
  EXPECT_TRUE(later.let_through);
  EXPECT_EQ(later.suppressed, 2U);
}

TEST(RepeatLimit, ManyKeysShareOneBeyondTheBound) {
  RepeatLimit limit(1, std::chrono::seconds(10));
  for (size_t key = 0; key < RepeatLimit::kMaxKeys; ++key) {
    EXPECT_TRUE(limit.Judge(std::to_string(key), {}).let_through);
  }
  EXPECT_TRUE(limit.Judge("one more", {}).let_through);
  EXPECT_FALSE(limit.Judge("and another", {}).let_through);
}

}  // namespace
}  // namespace agatepass::timeline
