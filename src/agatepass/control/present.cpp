#include "agatepass/control/present.h"

#include <algorithm>
#include <vector>

#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::control {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kCodesPerClass = 10;
constexpr int kFirstErrorStatus = 400;

std::string CellText(const Json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_null()) return "-";
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<std::string> ColumnsOf(const Json& rows) {
  std::vector<std::string> columns;
  for (const Json& row : rows) {
    for (const auto& [name, value] : row.items()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

bool IsTable(const Json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(),
                     [](const Json& row) { return row.is_object(); });
}

std::string RenderTable(const Json& rows) {
  std::string text;
  std::vector<std::string> lines(rows.size() + 1);
  for (const std::string& column : ColumnsOf(rows)) {
    std::vector<std::string> cells = {column};
    for (const Json& row : rows) {
      cells.push_back(row.contains(column) ? CellText(row[column]) : "-");
    }
    size_t width = 0;
    for (const auto& cell : cells) width = std::max(width, cell.size());
    for (size_t line = 0; line < lines.size(); ++line) {
      lines[line] += fmt::format("{:<{}}  ", cells[line], width);
    }
  }
  for (std::string& line : lines) {
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

std::string RenderObject(const Json& object) {
  std::string text;
  for (const auto& [name, value] : object.items()) {
    if (IsTable(value)) {
      text += fmt::format("{}:\n{}", name, RenderTable(value));
    } else if (value.is_array() && value.empty()) {
      text += fmt::format("{}: none\n", name);
    } else {
      text += fmt::format("{}: {}\n", name, CellText(value));
    }
  }
  return text;
}

std::string RenderConfiguration(const Json& json) {
  return fmt::format("; revision {}\n{}",
                     CellText(json.value("revision", Json())),
                     json.value("text", std::string()));
}

Json ParseObject(std::string_view body) {
  Json json = Json::parse(body, nullptr, false);
  return json.is_object() ? json : Json::object();
}

std::string TextOf(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() ? std::string() : CellText(*found);
}

}  // namespace

int ExitCodeOf(base::ResultCode code) {
  const auto number = static_cast<int>(code);
  return number / kCodesPerClass * kCodesPerClass;
}

base::ResultCode ResultCodeOfOutcome(const base::HttpOutcome& outcome) {
  switch (outcome.delivery) {
    case base::Delivery::kNotSent:
      return base::ResultCode::kPeerUnreachable;
    case base::Delivery::kUnknown:
      return base::ResultCode::kOutcomeUnknown;
    case base::Delivery::kAnswered:
      break;
  }
  const Json json = ParseObject(outcome.answer.body);
  if (const auto code = base::ParseResultCode(TextOf(json, "code")); code) {
    return *code;
  }
  return outcome.answer.status < kFirstErrorStatus
             ? base::ResultCode::kOk
             : base::ResultCode::kInternal;
}

std::string RenderFailure(const base::HttpOutcome& outcome) {
  const auto& info = base::DescribeResultCode(ResultCodeOfOutcome(outcome));
  const Json json = ParseObject(outcome.answer.body);
  std::string message = TextOf(json, "message");
  if (outcome.delivery != base::Delivery::kAnswered) {
    message = outcome.fault;
  } else if (message.empty()) {
    message = fmt::format("the entry host answered with status {}",
                          outcome.answer.status);
  }
  std::string text = fmt::format(
      "{} ({}, {}): {}\n{}\n", info.name, static_cast<int>(info.code),
      base::ExecutionName(info.execution), message, info.advice);
  std::string wait = TextOf(json, "retry_after_s");
  if (wait.empty()) {
    wait = base::FindHeader(outcome.answer.headers, "Retry-After");
  }
  if (!wait.empty()) text += fmt::format("Try again after {} s.\n", wait);
  return text;
}

std::string RenderAnswer(std::string_view body, View view) {
  const Json json = Json::parse(body, nullptr, false);
  if (view == View::kVerbatim || json.is_discarded()) return std::string(body);
  if (view == View::kConfiguration) return RenderConfiguration(json);
  if (IsTable(json)) return RenderTable(json);
  if (!json.is_object()) return CellText(json) + '\n';
  // A list alone needs no heading.
  if (json.size() == 1 && IsTable(json.front())) {
    return RenderTable(json.front());
  }
  return RenderObject(json);
}

}  // namespace agatepass::control
