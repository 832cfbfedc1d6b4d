// Finds keys that occur twice in one object. This needs its own parser run,
// because a parsed value only keeps the last of them.
#include "config/fields.h"

#include <boost/json/basic_parser_impl.hpp>
#include <set>

namespace sassafrasquay {

namespace json = boost::json;

namespace {

// Parser callbacks that keep the path of the current position.
class DuplicateKeyHandler
{
public:
  // NOLINTBEGIN(readability-identifier-naming): Boost.JSON sets the names.
  static constexpr size_t max_object_size = size_t(-1);
  static constexpr size_t max_array_size = size_t(-1);
  static constexpr size_t max_key_size = size_t(-1);
  static constexpr size_t max_string_size = size_t(-1);

  using Error = json::error_code;
  using Text = json::string_view;

  bool on_document_begin(Error&) { return true; }
  bool on_document_end(Error&) { return true; }
  bool on_object_begin(Error&) { return BeginContainer(false); }
  bool on_object_end(size_t, Error&) { return EndContainer(); }
  bool on_array_begin(Error&) { return BeginContainer(true); }
  bool on_array_end(size_t, Error&) { return EndContainer(); }
  bool on_key_part(Text aPart, size_t, Error&)
  {
    m_key.append(aPart.data(), aPart.size());
    return true;
  }
  bool on_key(Text aPart, size_t, Error&)
  {
    m_key.append(aPart.data(), aPart.size());
    Level& level = m_levels.back();
    level.m_name = std::exchange(m_key, {});
    if (!level.m_keys.insert(level.m_name).second) {
      m_errors.push_back({ Path(), 0, "occurs twice" });
    }
    return true;
  }
  bool on_string_part(Text, size_t, Error&) { return true; }
  bool on_string(Text, size_t, Error&) { return CountElement(); }
  bool on_number_part(Text, Error&) { return true; }
  bool on_int64(int64_t, Text, Error&) { return CountElement(); }
  bool on_uint64(uint64_t, Text, Error&) { return CountElement(); }
  bool on_double(double, Text, Error&) { return CountElement(); }
  bool on_bool(bool, Error&) { return CountElement(); }
  bool on_null(Error&) { return CountElement(); }
  bool on_comment_part(Text, Error&) { return true; }
  bool on_comment(Text, Error&) { return true; }
  // NOLINTEND(readability-identifier-naming)

  std::vector<ConfigError> m_errors;

private:
  struct Level
  {
    bool m_isArray = false;
    size_t m_index = 0; // of the next element
    std::string m_name; // of the current key
    std::set<std::string> m_keys;
  };

  bool BeginContainer(bool aIsArray)
  {
    m_levels.push_back({ aIsArray, 0, {}, {} });
    return true;
  }
  bool EndContainer()
  {
    m_levels.pop_back();
    return CountElement();
  }
  bool CountElement()
  {
    if (!m_levels.empty()) {
      ++m_levels.back().m_index;
    }
    return true;
  }
  std::string Path() const
  {
    std::string path;
    for (const Level& level : m_levels) {
      if (level.m_isArray) {
        path += '[';
        path += std::to_string(level.m_index);
        path += ']';
      } else {
        path += path.empty() ? "" : ".";
        path += level.m_name;
      }
    }
    return path;
  }

  std::vector<Level> m_levels;
  std::string m_key;
};

} // namespace

std::vector<ConfigError>
FindDuplicateKeys(std::string_view aText, const json::parse_options& aOptions)
{
  json::basic_parser<DuplicateKeyHandler> parser(aOptions);
  json::error_code error; // ParseFleetConfig reports syntax errors
  parser.write_some(false, aText.data(), aText.size(), error);
  return std::move(parser.handler().m_errors);
}

} // namespace sassafrasquay
