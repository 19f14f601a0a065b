// The settings of `fireflyspar node`, in one table that the command line, the
// help and the operators' documentation share.
#ifndef FIREFLYSPAR_APP_NODE_SETTINGS_H_
#define FIREFLYSPAR_APP_NODE_SETTINGS_H_

#include <span>

#include "base/settings.h"

namespace fireflyspar::app {

std::span<const base::setting> NodeSettings();

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_NODE_SETTINGS_H_
