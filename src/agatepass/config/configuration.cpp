#include "agatepass/config/configuration.h"

#include "agatepass/base/result_code.h"
#include "agatepass/config/field_list.h"
#include "agatepass/settings/ini_reader.h"
#include "fmt/format.h"
#include "fmt/ranges.h"

namespace agatepass::config {
namespace {

/** One key with its text. */
struct RenderedField {
  std::string key;
  std::string value;
  bool secret = false;
};

using RenderedSections = std::map<std::string, std::vector<RenderedField>>;

/** A FieldVisitor that writes. */
class SectionWriter {
 public:
  void Text(std::string_view key, const std::string& value) {
    this->Add(key, value);
  }
  void Secret(std::string_view key, const std::string& value) {
    this->Add(key, value);
    this->fields.back().secret = true;
  }
  void Number(std::string_view key, int64_t value, const Bounds<int64_t>&) {
    this->Add(key, fmt::format("{}", value));
  }
  void Limit(std::string_view key, int64_t value) {
    this->Add(key,
              value == kUnlimited ? "unlimited" : fmt::format("{}", value));
  }
  void Real(std::string_view key, double value, const Bounds<double>&) {
    this->Add(key, fmt::format("{}", value));
  }
  void Flag(std::string_view key, bool value) {
    this->Add(key, value ? "yes" : "no");
  }
  void Span(std::string_view key, base::Duration value,
            const Bounds<base::Duration>&) {
    this->Add(key, settings::RenderDuration(value));
  }
  void List(std::string_view key, const std::vector<std::string>& value) {
    this->Add(key, fmt::format("{}", fmt::join(value, ", ")));
  }
  template <typename Enum>
  void Choice(std::string_view key, Enum value,
              std::span<const std::string_view> names) {
    this->Add(key, std::string(names[static_cast<size_t>(value)]));
  }

  std::vector<RenderedField> fields;

 private:
  void Add(std::string_view key, std::string value) {
    this->fields.push_back(
        {.key = std::string(key), .value = std::move(value)});
  }
};

std::string NameOf(const std::string& name) { return name; }

template <typename Tag>
std::string NameOf(const base::Identifier<Tag>& id) {
  return id.value;
}

template <typename Map>
void RenderMap(std::string_view kind, const Map& map,
               RenderedSections& sections) {
  for (const auto& [name, fields] : map) {
    auto copy = fields;
    SectionWriter writer;
    VisitFields(writer, copy);
    sections[fmt::format("{} {}", kind, NameOf(name))] =
        std::move(writer.fields);
  }
}

RenderedSections RenderSections(const Configuration& configuration) {
  RenderedSections sections;
  sections["presets"] = {{.key = "in_force", .value = configuration.in_force}};
  RenderMap("team", configuration.teams, sections);
  RenderMap("workload", configuration.workloads, sections);
  RenderMap("separation", configuration.separations, sections);
  RenderMap("service", configuration.services, sections);
  RenderMap("preset", configuration.presets, sections);
  return sections;
}

void DescribeSection(const std::string& name,
                     const std::vector<RenderedField>& before,
                     const std::vector<RenderedField>& after,
                     std::vector<std::string>& lines) {
  // Both list the same keys in the same order.
  for (size_t i = 0; i < before.size(); ++i) {
    if (before[i].value == after[i].value) continue;
    if (before[i].secret) {
      lines.push_back(fmt::format("[{}] {}: changed", name, before[i].key));
    } else {
      lines.push_back(fmt::format("[{}] {}: {} -> {}", name, before[i].key,
                                  before[i].value, after[i].value));
    }
  }
}

}  // namespace

std::string RenderConfiguration(const Configuration& configuration) {
  std::string text;
  for (const auto& [name, fields] : RenderSections(configuration)) {
    text += fmt::format("{}[{}]\n", text.empty() ? "" : "\n", name);
    for (const RenderedField& field : fields) {
      text += fmt::format("{} = {}\n", field.key, field.value);
    }
  }
  return text;
}

std::vector<std::string> DescribeDifference(const Configuration& before,
                                            const Configuration& after) {
  const RenderedSections old_sections = RenderSections(before);
  const RenderedSections new_sections = RenderSections(after);
  std::vector<std::string> lines;
  for (const auto& [name, fields] : old_sections) {
    if (const auto now = new_sections.find(name); now != new_sections.end()) {
      DescribeSection(name, fields, now->second, lines);
    } else {
      lines.push_back(fmt::format("[{}] removed", name));
    }
  }
  for (const auto& [name, fields] : new_sections) {
    if (!old_sections.contains(name)) {
      lines.push_back(fmt::format("[{}] added", name));
    }
  }
  return lines;
}

absl::Status UsePreset(std::string_view name, Configuration& configuration) {
  if (configuration.presets.contains(std::string(name))) {
    configuration.in_force = name;
    return absl::OkStatus();
  }
  std::vector<std::string> names;
  for (const auto& [known, preset] : configuration.presets) {
    names.push_back(known);
  }
  return base::ErrorStatus(
      base::ResultCode::kNotFound,
      fmt::format("preset \"{}\" does not exist; there are {}", name,
                  fmt::join(names, ", ")));
}

std::string_view PriorityName(Priority priority) {
  return kPriorityNames[static_cast<size_t>(priority)];
}

std::string_view WorkloadKindName(WorkloadKind kind) {
  return kWorkloadKindNames[static_cast<size_t>(kind)];
}

}  // namespace agatepass::config
