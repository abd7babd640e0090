#include "agatepass/settings/host_settings.h"

#include <string>

#include "agatepass/base/result_code.h"
#include "agatepass/settings/ini_reader.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace agatepass::settings {
namespace {

using ::testing::HasSubstr;

constexpr char kWhole[] = R"([host]
id = uus-a-1
data_centre = uus-a
region = uusimaa
[access]
operator_token = secret
[listen]
gate = 127.0.0.1:7001
peers = 127.0.0.1:7002
[platform]
store = 127.0.0.1:7100
host_list = 127.0.0.1:7101
[leases]
owner_lease = 6s
)";

TEST(HostSettings, WholeFileIsRead) {
  const auto settings = ParseHostSettings("a.ini", kWhole);
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->host.value, "uus-a-1");
  EXPECT_EQ(settings->gate.port, 7001);
  EXPECT_EQ(settings->owner_lease, std::chrono::seconds(6));
}

TEST(HostSettings, AllErrorsAreReportedAtOnce) {
  std::string text = kWhole;
  text.replace(text.find("7001"), 4, "x");
  text += "renew_period = 5\ncolour = red\n[log]\nlevel = loud\n";
  const auto settings = ParseHostSettings("a.ini", text);
  ASSERT_EQ(base::ResultCodeOf(settings.status()),
            base::ResultCode::kInvalidRequest);
  const std::string message(settings.status().message());
  EXPECT_THAT(message, HasSubstr("a.ini: [listen] gate = \"127.0.0.1:x\": must "
                                 "be IP:PORT, such as 127.0.0.1:7000"));
  EXPECT_THAT(message, HasSubstr("[leases] renew_period = \"5\": must be a "
                                 "duration from 100ms to 60s, with a unit"));
  EXPECT_THAT(message,
              HasSubstr("[leases] colour = \"red\": is not a known key"));
  EXPECT_THAT(message, HasSubstr("[log] level = \"loud\": must be one of "
                                 "debug, info, warn, error"));
}

TEST(HostSettings, MissingKeysAreNamed) {
  const auto settings = ParseHostSettings("a.ini", "[host]\nid = a\n");
  EXPECT_THAT(std::string(settings.status().message()),
              HasSubstr("a.ini: [host] needs the key \"data_centre\""));
}

TEST(HostSettings, RenewalHasToFitTwiceIntoTheLease) {
  const auto settings =
      ParseHostSettings("a.ini", std::string(kWhole) + "renew_period = 4s\n");
  EXPECT_THAT(std::string(settings.status().message()),
              HasSubstr("must be at most half of owner_lease"));
}

TEST(ParseDuration, NeedsAUnitAndFits) {
  EXPECT_EQ(ParseDuration("2min"), std::chrono::minutes(2));
  EXPECT_EQ(ParseDuration("1.5s"), std::chrono::milliseconds(1500));
  EXPECT_EQ(ParseDuration("0.25ms"), std::chrono::microseconds(250));
  EXPECT_EQ(ParseDuration("1.5.s"), std::nullopt);
  EXPECT_EQ(ParseDuration("nans"), std::nullopt);
  EXPECT_EQ(ParseDuration("1e300s"), std::nullopt);
  EXPECT_EQ(ParseDuration("15"), std::nullopt);
  EXPECT_EQ(ParseDuration("ms"), std::nullopt);
  EXPECT_EQ(ParseDuration("9223372036854775807h"), std::nullopt);
}

}  // namespace
}  // namespace agatepass::settings
