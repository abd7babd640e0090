#include "agatepass/control/files.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

#include "agatepass/base/result_code.h"
#include "agatepass/base/text.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::control {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view kRevisionMark = "; revision ";

absl::Status Invalid(std::string_view message) {
  return base::ErrorStatus(base::ResultCode::kInvalidRequest, message);
}

absl::Status CheckJob(const Json& job, size_t index) {
  if (!job.is_object()) {
    return Invalid(fmt::format("job {} is not a JSON object", index));
  }
  const auto key = job.find("key");
  if (key == job.end() || !key->is_string() ||
      key->get<std::string>().empty()) {
    return Invalid(fmt::format(
        "job {} has no \"key\": give each job a text that stays the same when "
        "it is submitted again",
        index));
  }
  return absl::OkStatus();
}

base::HttpRequest Submission(const Json& body) {
  return {.method = base::HttpMethod::kPost,
          .path = "/v1/jobs",
          .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

}  // namespace

absl::StatusOr<std::string> ReadTextFile(const std::string& path) {
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(path);
  if (!file) {
    return base::ErrorStatus(base::ResultCode::kNotFound,
                             fmt::format("file \"{}\" cannot be read", path));
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

absl::StatusOr<std::vector<base::HttpRequest>> MakeSubmissions(
    std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) return Invalid("the text is not valid JSON");
  const bool wrapped = json.is_object() && json.contains("jobs");
  const Json& jobs = wrapped ? json["jobs"] : json;
  if (jobs.is_object()) {
    if (absl::Status status = CheckJob(jobs, 0); !status.ok()) return status;
    return std::vector{Submission(jobs)};
  }
  if (!jobs.is_array() || jobs.empty()) {
    return Invalid("expected a job, or an array of at least one job");
  }
  std::vector<base::HttpRequest> requests;
  Json part = Json::array();
  for (size_t index = 0; index < jobs.size(); ++index) {
    if (absl::Status status = CheckJob(jobs[index], index); !status.ok()) {
      return status;
    }
    part.push_back(jobs[index]);
    if (part.size() < kJobsPerRequest && index + 1 < jobs.size()) continue;
    requests.push_back(Submission({{"jobs", std::move(part)}}));
    part = Json::array();
  }
  return requests;
}

std::optional<uint64_t> RevisionOfText(std::string_view text) {
  if (!text.starts_with(kRevisionMark)) return std::nullopt;
  text.remove_prefix(kRevisionMark.size());
  return base::ParseNumber<uint64_t>(
      base::TrimBlanks(text.substr(0, text.find('\n'))));
}

}  // namespace agatepass::control
