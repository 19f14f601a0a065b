// What operators do with moves: ask for one, look at them, and take one back.
// A move's outcome is final by one compare-and-set; taking back a move that is
// already done is a conflict, and taking back one that was taken back is fine.
#ifndef FIREFLYSPAR_OPERATORS_MOVE_COMMANDS_H_
#define FIREFLYSPAR_OPERATORS_MOVE_COMMANDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "operators/context.h"
#include "platform/records.h"

namespace fireflyspar::operators {

struct move_request {
  std::string service;
  std::string old_version;
  std::string new_version;
  base::instant start;
  base::instant by;
};

// Fails with kBadRequest when the preset in force does not give the service's
// calls to the old version, and with kConflict when another move of the
// service is under way.
base::result<decisions::move> StartMove(const context& with,
                                        const move_request& request);

base::result<std::vector<decisions::move>> ListMoves(const context& with);

base::result<decisions::move> ShowMove(const context& with,
                                       std::string_view id);

// Fails with kConflict when the move is done already.
base::result<decisions::move> TakeBackMove(const context& with,
                                           std::string_view id);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_MOVE_COMMANDS_H_
