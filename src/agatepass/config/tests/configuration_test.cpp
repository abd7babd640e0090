#include "agatepass/config/configuration.h"

#include <fstream>
#include <sstream>

#include "agatepass/base/result_code.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace agatepass::config {
namespace {

using testing::ElementsAre;

std::string ReadFile(std::string_view path) {
  std::ifstream file(std::string(AGATEPASS_SOURCE_DIR) + "/" +
                     std::string(path));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Configuration ReadExample(std::string_view path) {
  const ParsedConfiguration parsed = ParseConfiguration(ReadFile(path));
  EXPECT_TRUE(parsed.status().ok()) << parsed.status();
  return parsed.configuration;
}

TEST(ConfigurationTest, ExamplesAreValid) {
  const Configuration notices = ReadExample("examples/kaasuverkko.ini");
  EXPECT_EQ(notices.in_force, "ordinary");
  EXPECT_EQ(notices.workloads.at(base::WorkloadId("shutoff-alert")).priority,
            Priority::kUrgent);
  EXPECT_FALSE(
      notices.workloads.at(base::WorkloadId("shutoff-alert")).idempotent);
  EXPECT_EQ(notices.teams.at(base::TeamId("alerts")).quota.millicores,
            kUnlimited);
  EXPECT_EQ(notices.services.at(base::ServiceId("notice-desk")).longest_run,
            std::chrono::seconds(5));

  const Configuration quotes = ReadExample("examples/caroni.ini");
  EXPECT_THAT(quotes.separations.at("estate-from-counter").labels,
              ElementsAre("estate", "counter"));
  EXPECT_EQ(quotes.preset().packing_weight, 3);
}

TEST(ConfigurationTest, RenderedTextReadsBackTheSame) {
  for (const char* path : {"examples/kaasuverkko.ini", "examples/caroni.ini"}) {
    const Configuration configuration = ReadExample(path);
    const ParsedConfiguration back =
        ParseConfiguration(RenderConfiguration(configuration));
    EXPECT_TRUE(back.status().ok()) << back.status();
    EXPECT_EQ(back.configuration, configuration) << path;
  }
}

TEST(ConfigurationTest, AllErrorsAreReportedAtOnce) {
  const ParsedConfiguration parsed =
      ParseConfiguration(ReadFile("src/agatepass/config/tests/golden/bad.ini"));
  EXPECT_EQ(base::ResultCodeOf(parsed.status()),
            base::ResultCode::kInvalidRequest);
  EXPECT_EQ(std::string(parsed.status().message()) + "\n",
            ReadFile("src/agatepass/config/tests/golden/bad.txt"));
}

TEST(ConfigurationTest, MalformedLineIsNamed) {
  const ParsedConfiguration parsed = ParseConfiguration("[presets\n");
  ASSERT_EQ(parsed.errors.size(), 1);
  EXPECT_EQ(parsed.errors[0].section, "line 1");
}

TEST(ConfigurationTest, DuplicateSectionIsRefused) {
  const std::string text = ReadFile("examples/caroni.ini");
  const ParsedConfiguration parsed =
      ParseConfiguration(text + "\n[team counter]\ntoken = another-one\n");
  EXPECT_FALSE(parsed.status().ok());
}

TEST(ConfigurationTest, TextWithoutPresetIsRefused) {
  EXPECT_FALSE(ParseConfiguration("").status().ok());
}

TEST(ConfigurationTest, DifferenceNamesKeysAndHidesSecrets) {
  const Configuration before = ReadExample("examples/caroni.ini");
  Configuration after = before;
  after.teams.at(base::TeamId("counter")).token = "another-secret";
  after.teams.at(base::TeamId("counter")).weight = 5;
  after.workloads.erase(base::WorkloadId("quoter"));
  after.presets["harvest"] = {};
  ASSERT_TRUE(UsePreset("harvest", after).ok());
  EXPECT_THAT(
      DescribeDifference(before, after),
      ElementsAre("[presets] in_force: ordinary -> harvest",
                  "[team counter] token: changed",
                  "[team counter] weight: 4 -> 5", "[workload quoter] removed",
                  "[preset harvest] added"));
  EXPECT_THAT(DescribeDifference(after, after), ElementsAre());
}

TEST(ConfigurationTest, UnknownPresetLeavesTheOldOneInForce) {
  Configuration configuration = ReadExample("examples/caroni.ini");
  const absl::Status status = UsePreset("holiday", configuration);
  EXPECT_EQ(base::ResultCodeOf(status), base::ResultCode::kNotFound);
  EXPECT_NE(status.message().find("ordinary, peak"), absl::string_view::npos);
  EXPECT_EQ(configuration.in_force, "ordinary");
}

}  // namespace
}  // namespace agatepass::config
