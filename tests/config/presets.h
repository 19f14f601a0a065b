// Presets for tests: large ones of a given size, and a rapidcheck generator of
// arbitrary valid ones.
#ifndef FIREFLYSPAR_TESTS_CONFIG_PRESETS_H_
#define FIREFLYSPAR_TESTS_CONFIG_PRESETS_H_

#include <rapidcheck.h>

#include <string>

#include "config/preset.h"

namespace fireflyspar::config {

// Returns a valid preset with `services` services, each with two versions and
// two routes.
preset LargePreset(int services);

// Generates arbitrary valid presets. Every field takes every kind of value that
// it may have.
rc::Gen<preset> ArbitraryPreset();

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_TESTS_CONFIG_PRESETS_H_
