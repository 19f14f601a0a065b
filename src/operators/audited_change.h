// Makes a change between its entry in the audit trail and the note of its
// outcome.
#ifndef FIREFLYSPAR_OPERATORS_AUDITED_CHANGE_H_
#define FIREFLYSPAR_OPERATORS_AUDITED_CHANGE_H_

#include <functional>
#include <string>

#include "operators/audit_trail.h"

namespace fireflyspar::operators {

// Writes the pending entry. On failure nothing is to be changed, and the
// failure says so; whether the entry itself is there does not matter then.
base::status BeginChange(const context& with, const audit_entry& entry);

// Notes what came of it; a change whose outcome isn't known stays pending.
void EndChange(const context& with, const audit_entry& entry,
               const base::failure* failure);

// Whether the change took effect and another then replaced it. Asked after a
// lost answer, when another's value stands in the change's place: every change
// notes beforehand which value it found, so the trail knows.
base::result<bool> WasReplaced(const context& with, const audit_entry& entry,
                               const platform::object& now);

template <typename T>
base::result<T> Audited(const context& with, const audit_entry& entry,
                        const std::function<base::result<T>()>& change) {
  const auto begun = BeginChange(with, entry);
  if (!begun) return begun.Failure();
  base::result<T> made = change();
  EndChange(with, entry, made ? nullptr : &made.Failure());
  return made;
}

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_AUDITED_CHANGE_H_
