// Runs a change together with its audit entry: writes the entry before the
// change and records the outcome after it.
#ifndef FIREFLYSPAR_OPERATORS_AUDITED_CHANGE_H_
#define FIREFLYSPAR_OPERATORS_AUDITED_CHANGE_H_

#include <functional>
#include <string>

#include "operators/audit_trail.h"

namespace fireflyspar::operators {

// Writes the pending entry. If this fails, the change must not be made, and the
// failure's text says so; it then doesn't matter whether the entry was stored.
base::status BeginChange(const context& ctx, const audit_entry& entry);

// Records the outcome of the change: accepted if `failure` is null, otherwise
// refused. A change whose outcome is unknown (kResponseLost) stays pending.
void EndChange(const context& ctx, const audit_entry& entry,
               const base::failure* failure);

// Returns whether the change took effect and another change then replaced it.
// Needed after a lost response, when the object holds another operation's
// value. The trail shows it, since every change records beforehand which value
// it found.
base::result<bool> TookEffectThenReplaced(const context& ctx,
                                          const audit_entry& entry,
                                          const platform::object& now);

// Runs `change` between BeginChange and EndChange and returns its result.
template <typename T>
base::result<T> RunAudited(const context& ctx, const audit_entry& entry,
                           const std::function<base::result<T>()>& change) {
  const auto begun = BeginChange(ctx, entry);
  if (!begun) return begun.Failure();
  base::result<T> made = change();
  EndChange(ctx, entry, made ? nullptr : &made.Failure());
  return made;
}

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_AUDITED_CHANGE_H_
