// Presets of any size, and rapidcheck's generator of valid ones.
#ifndef FIREFLYSPAR_TESTS_CONFIG_PRESETS_H_
#define FIREFLYSPAR_TESTS_CONFIG_PRESETS_H_

#include <rapidcheck.h>

#include <string>

#include "config/preset.h"

namespace fireflyspar::config {

// A valid preset with `services` services, two versions and two routes each.
preset LargePreset(int services);

// Any valid preset: every field takes every kind of value that it may have.
rc::Gen<preset> AnyPreset();

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_TESTS_CONFIG_PRESETS_H_
