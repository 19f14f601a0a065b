#include "lab/platform_faults.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace fireflyspar::lab {
namespace {

using nlohmann::json;

template <typename T>
std::function<void(platform_faults&, const json&)> FieldSetter(
    T platform_faults::* field) {
  return [field](platform_faults& faults, const json& value) {
    faults.*field = value.get<T>();
  };
}

const auto& FieldSetters() {
  static const std::map<std::string,
                        std::function<void(platform_faults&, const json&)>>
      fields = {
          {"down", FieldSetter(&platform_faults::down)},
          {"hang", FieldSetter(&platform_faults::hang)},
          {"refuse_ms", FieldSetter(&platform_faults::refuse_ms)},
          {"slow_ms", FieldSetter(&platform_faults::slow_ms)},
          {"lose_answers", FieldSetter(&platform_faults::lose_answers)},
          {"stale_watch", FieldSetter(&platform_faults::stale_watch)},
          {"crossed_watch", FieldSetter(&platform_faults::reordered_watch)},
          {"reads_per_second", FieldSetter(&platform_faults::reads_per_second)},
          {"writes_per_second",
           FieldSetter(&platform_faults::writes_per_second)},
      };
  return fields;
}

}  // namespace

base::result<platform_faults> ParseFaults(std::string_view json_text) {
  platform_faults faults;
  try {
    const json parsed = json::parse(json_text);
    for (const auto& [name, value] : parsed.items()) {
      const auto field = FieldSetters().find(name);
      if (field == FieldSetters().end()) {
        return base::Fail(base::error_kind::kBadRequest,
                          "there is no fault '" + name + "'");
      }
      field->second(faults, value);
    }
  } catch (const json::exception& error) {
    return base::Fail(base::error_kind::kBadRequest, error.what());
  }
  return faults;
}

}  // namespace fireflyspar::lab
