// The subcommands of the one binary; see base/command.h.
#ifndef FIREFLYSPAR_APP_COMMAND_H_
#define FIREFLYSPAR_APP_COMMAND_H_

#include "base/command.h"

namespace fireflyspar::app {

using base::command;
using base::RunCommand;

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_COMMAND_H_
