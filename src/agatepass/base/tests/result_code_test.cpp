#include "agatepass/base/result_code.h"

#include <fstream>
#include <sstream>

#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

TEST(ResultCode, StatusCarriesItsCode) {
  for (const ResultCodeInfo& row : ResultCodeTable()) {
    const absl::Status status = ErrorStatus(row.code, "job \"j-1\" is odd");
    if (status.ok()) continue;
    EXPECT_EQ(ResultCodeOf(status), row.code) << row.name;
  }
}

TEST(ResultCode, NumbersRiseAndNamesParse) {
  int previous = -1;
  for (const ResultCodeInfo& row : ResultCodeTable()) {
    EXPECT_GT(static_cast<int>(row.code), previous);
    previous = static_cast<int>(row.code);
    EXPECT_EQ(ParseResultCode(row.name), row.code);
  }
}

TEST(ResultCode, UnreachableStoreIsNotARefusal) {
  const ResultCodeInfo& unreachable =
      DescribeResultCode(ResultCode::kStoreUnreachable);
  const ResultCodeInfo& refused =
      DescribeResultCode(ResultCode::kRefusedByRule);
  EXPECT_TRUE(unreachable.retry_can_help);
  EXPECT_FALSE(refused.retry_can_help);
  EXPECT_NE(unreachable.status_code, refused.status_code);
}

TEST(ResultCode, PageHoldsTheTable) {
  std::ifstream file(AGATEPASS_SOURCE_DIR "/docs/RESULT_CODES.md");
  std::stringstream page;
  page << file.rdbuf();
  EXPECT_NE(page.str().find(RenderResultCodeTable()), std::string::npos)
      << "docs/RESULT_CODES.md does not hold this table:\n"
      << RenderResultCodeTable();
}

}  // namespace
}  // namespace agatepass::base
