// At most one move of a service at a time. Each move is an object of its own,
// so two operators could start two at once; both therefore first change one
// object for each service, reserved_moves/SERVICE, by compare-and-set. It names
// the move that may run.
#ifndef FIREFLYSPAR_OPERATORS_MOVE_RESERVATION_H_
#define FIREFLYSPAR_OPERATORS_MOVE_RESERVATION_H_

#include <string_view>

#include "operators/context.h"
#include "platform/records.h"

namespace fireflyspar::operators {

inline constexpr std::string_view kReservationPrefix = "reserved_moves/";

// Reserves the move's service for it. Fails with kConflict, naming the other
// move, while another one that isn't final has it. Where that other move was
// reserved but never created, because its operator crashed or is slow, it is
// created here as taken back, so that it can't start any more.
base::status ReserveService(const context& with, const decisions::move& value);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_MOVE_RESERVATION_H_
