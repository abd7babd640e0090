/** \file
 * Reads the keys of one INI section into typed values and collects every error.
 */
#ifndef AGATEPASS_CONFIG_SECTION_READER_H_
#define AGATEPASS_CONFIG_SECTION_READER_H_

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/config/configuration.h"
#include "agatepass/config/field_list.h"
#include "boost/property_tree/ptree.hpp"

namespace agatepass::config {

/** A FieldVisitor that reads. Values that are absent or wrong stay as they are.
 */
class SectionReader {
 public:
  /** \param name the section's whole name, for errors.
   * \param tree the section's keys; outlives the reader.
   * \param errors takes what is wrong; outlives the reader. */
  SectionReader(std::string_view name, const boost::property_tree::ptree& tree,
                std::vector<ConfigurationError>& errors)
      : name(name), tree(tree), errors(errors) {}

  void Text(std::string_view key, std::string& value);
  void Secret(std::string_view key, std::string& value);
  void Number(std::string_view key, int64_t& value,
              const Bounds<int64_t>& bounds);
  void Limit(std::string_view key, int64_t& value);
  void Real(std::string_view key, double& value, const Bounds<double>& bounds);
  void Flag(std::string_view key, bool& value);
  void Span(std::string_view key, base::Duration& value,
            const Bounds<base::Duration>& bounds);
  void List(std::string_view key, std::vector<std::string>& value);

  template <typename Enum>
  void Choice(std::string_view key, Enum& value,
              std::span<const std::string_view> names) {
    size_t index = static_cast<size_t>(value);
    this->ChooseIndex(key, index, names);
    value = static_cast<Enum>(index);
  }

  /** Reports keys that were not read, with those that could be meant. */
  void ReportUnknownKeys();

 private:
  const std::string* Find(std::string_view key);
  void ChooseIndex(std::string_view key, size_t& index,
                   std::span<const std::string_view> names);
  void Complain(std::string_view key, std::string_view value,
                std::string allowed);

  std::string name;
  const boost::property_tree::ptree& tree;
  std::vector<ConfigurationError>& errors;
  std::vector<std::string> known;
};

}  // namespace agatepass::config

#endif  // AGATEPASS_CONFIG_SECTION_READER_H_
