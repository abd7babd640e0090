#include "agatepass/control/invocation.h"

#include "agatepass/control/files.h"
#include "fmt/format.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace agatepass::control {
namespace {

using ::testing::HasSubstr;

ParsedArguments Parse(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), {"--gate", "127.0.0.1:7001"});
  return ParseArguments(arguments, "0.1.0", "from-environment");
}

struct Case {
  std::vector<std::string> arguments;
  std::string request;
};

std::string Describe(const base::HttpRequest& request) {
  std::string text(base::HttpMethodName(request.method));
  text += " " + request.path;
  for (const auto& [name, value] : request.query) {
    text += fmt::format(" {}={}", name, value);
  }
  return request.body.empty() ? text : text + " " + request.body;
}

TEST(Invocation, EachCommandIsOneRequestOfTheInterface) {
  const std::vector<Case> cases = {
      {{"job", "j-7"}, "GET /v1/jobs/j-7"},
      {{"jobs", "--team", "t"}, "GET /v1/jobs team=t"},
      {{"cancel", "j-7"}, "DELETE /v1/jobs/j-7"},
      {{"cancel", "--team", "t"}, "DELETE /v1/jobs team=t"},
      {{"why", "j-7/0/1"}, "GET /v1/why/j-7/0/1"},
      {{"settle", "j-7/0/1", "--ran"},
       "POST /v1/tasks/j-7/0/1/settle {\"ran\":true}"},
      {{"settle", "j-7/0/1", "--not-run"},
       "POST /v1/tasks/j-7/0/1/settle {\"ran\":false}"},
      {{"config", "get"}, "GET /v1/config"},
      {{"config", "status"}, "GET /v1/config/status"},
      {{"preset", "list"}, "GET /v1/presets"},
      {{"preset", "use", "peak", "--expected", "4"},
       "PUT /v1/presets/in_force {\"name\":\"peak\",\"expected\":4}"},
      {{"hosts"}, "GET /v1/hosts"},
      {{"workers"}, "GET /v1/workers"},
      {{"upstreams"}, "GET /v1/upstreams"},
      {{"drain"}, "POST /v1/drain"},
      {{"metrics"}, "GET /metrics"},
      {{"timeline", "--id", "j-7"}, "GET /v1/timeline id=j-7 format=text"},
      {{"log-level", "debug"}, "PUT /v1/log_level {\"level\":\"debug\"}"}};
  for (const Case& example : cases) {
    const ParsedArguments parsed = Parse(example.arguments);
    ASSERT_FALSE(parsed.ended) << parsed.output;
    ASSERT_EQ(parsed.invocation.requests.size(), 1U);
    EXPECT_EQ(Describe(parsed.invocation.requests[0]), example.request);
  }
}

TEST(Invocation, WrongCommandLinesEndWithTheReason) {
  EXPECT_EQ(Parse({"job"}).exit_code, kUsageExitCode);
  EXPECT_EQ(Parse({"cancel"}).exit_code, kUsageExitCode);
  EXPECT_EQ(Parse({"settle", "j-7/0/1"}).exit_code, kUsageExitCode);
  EXPECT_THAT(Parse({"job", "../config"}).output, HasSubstr("is not an id"));
  EXPECT_EQ(Parse({"job", "j-7/../../config"}).exit_code, kUsageExitCode);
  EXPECT_THAT(Parse({"--gate", "host:1", "jobs"}).output,
              HasSubstr("not IP:PORT"));
  EXPECT_THAT(Parse({"submit", "/nonexistent"}).output,
              HasSubstr("cannot be read"));
}

TEST(Invocation, HelpAndCompletionNeedNoGate) {
  const std::vector<std::string> help = {"--help"};
  EXPECT_EQ(ParseArguments(help, "0.1.0", "").exit_code, 0);
  const std::vector<std::string> completion = {"completion"};
  const ParsedArguments script = ParseArguments(completion, "0.1.0", "");
  EXPECT_EQ(script.exit_code, 0);
  EXPECT_THAT(script.output, HasSubstr("complete -F"));
}

TEST(Invocation, TheTokenOfTheCommandLineGoesFirst) {
  EXPECT_EQ(Parse({"jobs"}).invocation.token, "from-environment");
  EXPECT_EQ(Parse({"--token", "t", "jobs"}).invocation.token, "t");
}

TEST(Files, SplitsManyJobsIntoParts) {
  std::string text = "[";
  for (size_t job = 0; job < kJobsPerRequest + 1; ++job) {
    text += job == 0 ? "" : ",";
    text += "{\"key\":\"k" + std::to_string(job) + "\"}";
  }
  const auto requests = MakeSubmissions(text + "]");
  ASSERT_TRUE(requests.ok());
  ASSERT_EQ(requests->size(), 2U);
  EXPECT_THAT(requests->at(1).body, HasSubstr("k200"));
}

TEST(Files, AJobWithoutKeyIsRefusedByNumber) {
  const auto requests = MakeSubmissions(R"([{"key":"a"},{"team":"t"}])");
  EXPECT_THAT(std::string(requests.status().message()),
              HasSubstr("job 1 has no \"key\""));
  EXPECT_FALSE(MakeSubmissions(R"({"key":""})").ok());
}

TEST(Files, ReadsTheRevisionOfAText) {
  EXPECT_EQ(RevisionOfText("; revision 12\n[x]\n"), 12U);
  EXPECT_EQ(RevisionOfText("[x]\n"), std::nullopt);
  EXPECT_EQ(RevisionOfText("; revision x\n"), std::nullopt);
}

}  // namespace
}  // namespace agatepass::control
