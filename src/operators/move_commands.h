// Operators' commands for moves: start one, list and show them, and roll one
// back by hand. A single compare-and-set makes a move's outcome final. Rolling
// back a move that is already done fails with a conflict; rolling back one that
// was rolled back before succeeds.
#ifndef FIREFLYSPAR_OPERATORS_MOVE_COMMANDS_H_
#define FIREFLYSPAR_OPERATORS_MOVE_COMMANDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "operators/context.h"
#include "platform/object_formats.h"

namespace fireflyspar::operators {

struct move_request {
  std::string service;
  std::string old_version;
  std::string new_version;
  base::instant start;
  base::instant complete_by;  // Time by which all calls must have moved.
};

// Starts a move. Fails with kBadRequest if the preset in force gives no calls
// of the service to the old version, and with kConflict while another move of
// the service is in progress.
base::result<decisions::move> StartMove(const context& ctx,
                                        const move_request& request);

base::result<std::vector<decisions::move>> ListMoves(const context& ctx);

base::result<decisions::move> ShowMove(const context& ctx, std::string_view id);

// Rolls the move back. Fails with kConflict if the move is already done.
base::result<decisions::move> RollBackMove(const context& ctx,
                                           std::string_view id);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_MOVE_COMMANDS_H_
