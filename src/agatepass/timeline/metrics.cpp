#include "agatepass/timeline/metrics.h"

#include <algorithm>
#include <cmath>

#include "fmt/format.h"

namespace agatepass::timeline {

namespace {

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') escaped += '\\';
    escaped += character;
  }
  return escaped;
}

std::string RenderLabels(Metrics::Labels labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) text += ',';
    text += fmt::format("{}=\"{}\"", name, EscapeLabel(value));
  }
  return text;
}

std::string Braced(std::string_view labels) {
  return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

std::string_view TypeName(const Counter&) { return "counter"; }
std::string_view TypeName(const Gauge&) { return "gauge"; }
std::string_view TypeName(const Distribution&) { return "summary"; }

void RenderValue(std::string& text, std::string_view name,
                 std::string_view labels, const Counter& counter) {
  text += fmt::format("{}{} {}\n", name, Braced(labels), counter.value());
}

void RenderValue(std::string& text, std::string_view name,
                 std::string_view labels, const Gauge& gauge) {
  text += fmt::format("{}{} {}\n", name, Braced(labels), gauge.value());
}

void RenderValue(std::string& text, std::string_view name,
                 std::string_view labels, const Distribution& distribution) {
  for (size_t index = 0; index < kQuantiles.size(); ++index) {
    text += fmt::format("{}{{{}{}quantile=\"{}\"}} {}\n", name, labels,
                        labels.empty() ? "" : ",", kQuantiles[index],
                        distribution.Quantile(index));
  }
  text +=
      fmt::format("{}_sum{} {}\n", name, Braced(labels), distribution.sum());
  text += fmt::format("{}_count{} {}\n", name, Braced(labels),
                      distribution.count());
}

}  // namespace

Distribution::Distribution()
    : accumulator(boost::accumulators::extended_p_square_probabilities =
                      kQuantiles) {}

void Distribution::Add(double sample) {
  if (this->samples < kExactSamples) {
    this->first_samples[this->samples] = sample;
  }
  this->accumulator(sample);
  this->greatest =
      this->samples == 0 ? sample : std::max(this->greatest, sample);
  ++this->samples;
  this->total += sample;
}

double Distribution::Quantile(size_t index) const {
  if (this->samples == 0) return 0;
  if (this->samples > kExactSamples) {
    return boost::accumulators::extended_p_square(this->accumulator)[index];
  }
  std::array<double, kExactSamples> sorted = this->first_samples;
  auto* const end = sorted.begin() + this->samples;
  std::sort(sorted.begin(), end);
  const auto rank = static_cast<size_t>(
      std::ceil(kQuantiles[index] * static_cast<double>(this->samples)));
  return sorted[std::max<size_t>(rank, 1) - 1];
}

Counter& Metrics::AddCounter(std::string_view name, std::string_view help,
                             Labels labels) {
  return this->Add<Counter>(name, help, labels);
}

Gauge& Metrics::AddGauge(std::string_view name, std::string_view help,
                         Labels labels) {
  return this->Add<Gauge>(name, help, labels);
}

Distribution& Metrics::AddDistribution(std::string_view name,
                                       std::string_view help, Labels labels) {
  return this->Add<Distribution>(name, help, labels);
}

template <typename Kind>
Kind& Metrics::Add(std::string_view name, std::string_view help,
                   Labels labels) {
  Family& family = this->families[std::string(name)];
  if (family.help.empty()) family.help = help;
  const bool other_kind =
      !family.values.empty() &&
      !std::holds_alternative<Kind>(family.values.begin()->second);
  if (other_kind) {
    return std::get<Kind>(this->misnamed.emplace_back(Kind()));
  }
  const auto [place, added] =
      family.values.try_emplace(RenderLabels(labels), Kind());
  return std::get<Kind>(place->second);
}

std::string Metrics::RenderPrometheus() const {
  std::string text;
  for (const auto& [name, family] : this->families) {
    const std::string_view type =
        std::visit([](const auto& value) { return TypeName(value); },
                   family.values.begin()->second);
    text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, family.help, name,
                        type);
    std::string greatest;
    for (const auto& [labels, value] : family.values) {
      std::visit(
          [&text, &name = name, &labels = labels](const auto& kind) {
            RenderValue(text, name, labels, kind);
          },
          value);
      if (const auto* found = std::get_if<Distribution>(&value)) {
        greatest +=
            fmt::format("{}_max{} {}\n", name, Braced(labels), found->max());
      }
    }
    if (greatest.empty()) continue;
    text += fmt::format(
        "# HELP {0}_max Greatest sample.\n# TYPE {0}_max "
        "gauge\n{1}",
        name, greatest);
  }
  return text;
}

}  // namespace agatepass::timeline
