// Example presets that the operators' tests store and put in force.
#ifndef FIREFLYSPAR_TESTS_OPERATORS_EXAMPLES_H_
#define FIREFLYSPAR_TESTS_OPERATORS_EXAMPLES_H_

#include <string>

#include "config/preset.h"

namespace fireflyspar::operators {

inline config::preset SmallPreset(const std::string& name) {
  return {.name = name,
          .data_centres = {"fukuoka"},
          .services = {{.name = "equipment-history",
                        .versions = {{.version = "v1", .percent = 100}}}},
          .routes = {{.name = "lookup",
                      .path_prefix = "/equipment",
                      .service = "equipment-history",
                      .visible_from = config::visibility::kOutside}}};
}

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_TESTS_OPERATORS_EXAMPLES_H_
