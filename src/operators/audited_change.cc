#include "operators/audited_change.h"

#include "operators/snapshot_store.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;

}  // namespace

base::status BeginChange(const context& ctx, const audit_entry& entry) {
  const auto appended = AppendEntry(ctx, entry);
  if (appended) {
    if (appended->created_segment) DropOldSnapshots(ctx, appended->segment);
    return base::success{};
  }
  // Even if the response to the entry's write was lost, the outcome of the
  // change is certain, since the change was never sent.
  const error_kind kind = appended.Failure().Kind() == error_kind::kResponseLost
                              ? error_kind::kPlatformUnavailable
                              : appended.Failure().Kind();
  return base::Fail(
      kind,
      "nothing was changed, because the audit entry could not be written: " +
          appended.Failure().detail);
}

void EndChange(const context& ctx, const audit_entry& entry,
               const base::failure* failure) {
  if (failure == nullptr) {
    (void)RecordOutcome(ctx, entry.operation_id, audit_outcome::kAccepted, "");
    return;
  }
  if (failure->Kind() == error_kind::kResponseLost) return;
  (void)RecordOutcome(ctx, entry.operation_id, audit_outcome::kRefused,
                      failure->detail);
}

base::result<bool> TookEffectThenReplaced(const context& ctx,
                                          const audit_entry& entry,
                                          const platform::object& now) {
  const auto entries = RecentEntries(ctx);
  if (!entries) return entries.Failure();
  return InferOutcome(entry, now, *entries) == audit_outcome::kAccepted;
}

}  // namespace fireflyspar::operators
