// Ensures that a service has at most one move at a time. Each move is a
// separate object, so two operators could start two moves of a service at once.
// To prevent this, an operator first changes the service's reservation,
// reserved_moves/SERVICE, by compare-and-set. It names the move that may run.
#ifndef FIREFLYSPAR_OPERATORS_MOVE_RESERVATION_H_
#define FIREFLYSPAR_OPERATORS_MOVE_RESERVATION_H_

#include <string_view>

#include "operators/context.h"
#include "platform/object_formats.h"

namespace fireflyspar::operators {

inline constexpr std::string_view kReservationPrefix = "reserved_moves/";

// Reserves the move's service for it. Fails with kConflict, naming the other
// move, while another move that isn't final holds the reservation. If the other
// move was never created, because its operator crashed or is slow, it is
// created here as rolled back, so that it can't start later.
base::status ReserveService(const context& ctx, const decisions::move& value);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_MOVE_RESERVATION_H_
