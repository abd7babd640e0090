#include <algorithm>
#include <set>
#include <sstream>

#include "agatepass/base/result_code.h"
#include "agatepass/config/configuration.h"
#include "agatepass/config/section_reader.h"
#include "boost/property_tree/ini_parser.hpp"
#include "fmt/format.h"
#include "fmt/ranges.h"

namespace agatepass::config {
namespace {

using boost::property_tree::ptree;

constexpr size_t kLongestName = 64;
constexpr std::string_view kSectionKinds =
    "must be [presets], [team NAME], [workload NAME], [separation NAME], "
    "[service NAME] or [preset NAME]";

bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' ||
         character == '_' || character == '.';
}

bool IsName(std::string_view name) {
  return !name.empty() && name.size() <= kLongestName &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

/** Reads the sections of one text. */
class Parser {
 public:
  ParsedConfiguration Parse(std::string_view text) {
    ptree tree;
    std::istringstream stream{std::string(text)};
    try {
      boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& fault) {
      this->Complain(fmt::format("line {}", fault.line()), "", "",
                     fault.message());
      return std::move(this->parsed);
    }
    for (const auto& [name, section] : tree) this->ReadSection(name, section);
    this->CheckTeams();
    this->CheckWorkloads();
    this->CheckSeparations();
    this->CheckPresets();
    return std::move(this->parsed);
  }

 private:
  void Complain(std::string section, std::string key, std::string value,
                std::string allowed) {
    this->parsed.errors.push_back({.section = std::move(section),
                                   .key = std::move(key),
                                   .value = std::move(value),
                                   .allowed = std::move(allowed)});
  }

  template <typename Fields>
  Fields ReadFields(const std::string& name, const ptree& section) {
    Fields fields;
    SectionReader reader(name, section, this->parsed.errors);
    VisitFields(reader, fields);
    reader.ReportUnknownKeys();
    return fields;
  }

  void ReadSection(const std::string& name, const ptree& section) {
    Configuration& into = this->parsed.configuration;
    if (name == "presets") {
      SectionReader reader(name, section, this->parsed.errors);
      reader.Text("in_force", into.in_force);
      reader.ReportUnknownKeys();
      return;
    }
    const size_t blank = name.find(' ');
    const std::string kind = name.substr(0, blank);
    const std::string own =
        blank == std::string::npos ? "" : name.substr(blank + 1);
    if (kind == "team") {
      into.teams[base::TeamId(own)] = this->ReadFields<Team>(name, section);
    } else if (kind == "workload") {
      into.workloads[base::WorkloadId(own)] =
          this->ReadFields<Workload>(name, section);
    } else if (kind == "separation") {
      into.separations[own] = this->ReadFields<SeparationRule>(name, section);
    } else if (kind == "service") {
      into.services[base::ServiceId(own)] =
          this->ReadFields<Service>(name, section);
    } else if (kind == "preset") {
      into.presets[own] = this->ReadFields<Preset>(name, section);
    } else {
      this->Complain(name, "", section.data(), std::string(kSectionKinds));
      return;
    }
    if (!IsName(own)) {
      this->Complain(name, "", "",
                     fmt::format("needs a name of 1 to {} letters, digits, "
                                 "\"-\", \"_\" or \".\"",
                                 kLongestName));
    }
  }

  void CheckTeams() {
    std::map<std::string, base::TeamId> owners;
    for (const auto& [id, team] : this->parsed.configuration.teams) {
      if (team.token.empty()) continue;
      const auto [owner, added] = owners.emplace(team.token, id);
      if (added) continue;
      this->Complain("team " + id.value, "token", "",
                     fmt::format("must differ from that of team \"{}\"",
                                 owner->second.value));
    }
  }

  void CheckWorkloads() {
    const Configuration& configuration = this->parsed.configuration;
    for (const auto& [id, workload] : configuration.workloads) {
      if (configuration.teams.contains(workload.team)) continue;
      this->Complain("workload " + id.value, "team", workload.team.value,
                     "must name a [team NAME] of this configuration");
    }
  }

  void CheckSeparations() {
    for (const auto& [name, rule] : this->parsed.configuration.separations) {
      if (rule.labels.size() >= 2) continue;
      this->Complain("separation " + name, "labels",
                     fmt::format("{}", fmt::join(rule.labels, ", ")),
                     "must list at least 2 labels, with commas");
    }
  }

  void CheckPresets() {
    const Configuration& configuration = this->parsed.configuration;
    if (configuration.presets.contains(configuration.in_force)) return;
    std::vector<std::string> names;
    for (const auto& [name, preset] : configuration.presets) {
      names.push_back(name);
    }
    this->Complain(
        "presets", "in_force", configuration.in_force,
        names.empty()
            ? "must name a preset; add a section [preset NAME]"
            : fmt::format("must be one of {}", fmt::join(names, ", ")));
  }

  ParsedConfiguration parsed;
};

}  // namespace

std::string ConfigurationError::ToString() const {
  if (this->key.empty()) {
    return fmt::format("[{}]: {}", this->section, this->allowed);
  }
  if (this->value.empty()) {
    return fmt::format("[{}] {}: {}", this->section, this->key, this->allowed);
  }
  return fmt::format("[{}] {} = \"{}\": {}", this->section, this->key,
                     this->value, this->allowed);
}

absl::Status ParsedConfiguration::status() const {
  if (this->errors.empty()) return absl::OkStatus();
  std::string text;
  for (const ConfigurationError& error : this->errors) {
    if (!text.empty()) text += '\n';
    text += error.ToString();
  }
  return base::ErrorStatus(base::ResultCode::kInvalidRequest, text);
}

ParsedConfiguration ParseConfiguration(std::string_view text) {
  return Parser().Parse(text);
}

}  // namespace agatepass::config
