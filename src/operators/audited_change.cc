#include "operators/audited_change.h"

#include "operators/snapshot_store.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;

}  // namespace

base::status BeginChange(const context& with, const audit_entry& entry) {
  const auto appended = AppendEntry(with, entry);
  if (appended) {
    if (appended->began_segment) DropOldSnapshots(with, appended->segment);
    return base::nothing{};
  }
  // Even if the response to the entry's write was lost, the outcome of the
  // change is certain, since the change was never sent.
  const error_kind kind = appended.Failure().Kind() == error_kind::kAnswerLost
                              ? error_kind::kPlatformUnavailable
                              : appended.Failure().Kind();
  return base::Fail(
      kind,
      "nothing was changed, because the audit entry could not be written: " +
          appended.Failure().detail);
}

void EndChange(const context& with, const audit_entry& entry,
               const base::failure* failure) {
  if (failure == nullptr) {
    (void)NoteOutcome(with, entry.operation_id, audit_outcome::kAccepted, "");
    return;
  }
  if (failure->Kind() == error_kind::kAnswerLost) return;
  (void)NoteOutcome(with, entry.operation_id, audit_outcome::kRefused,
                    failure->detail);
}

base::result<bool> WasReplaced(const context& with, const audit_entry& entry,
                               const platform::object& now) {
  const auto entries = RecentEntries(with);
  if (!entries) return entries.Failure();
  return OutcomeOf(entry, now, *entries) == audit_outcome::kAccepted;
}

}  // namespace fireflyspar::operators
