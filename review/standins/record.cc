#include "record.h"

#include <array>
#include <iomanip>

namespace fireflyspar::review {

void record::Add(fact_kind kind, const std::string& request_id,
                 const std::string& subject, int status) {
  constexpr std::array kNames = {"sent", "answered", "arrived", "run", "note"};
  const std::scoped_lock lock(mutex_);
  facts_.push_back({.kind = kind,
                    .at_s = Now(),
                    .request_id = request_id,
                    .subject = subject,
                    .status = status});
  file_ << std::fixed << std::setprecision(4) << facts_.back().at_s << ' '
        << kNames.at(static_cast<std::size_t>(kind)) << ' ' << request_id << ' '
        << subject;
  if (kind == fact_kind::kAnswered) file_ << ' ' << status;
  file_ << '\n' << std::flush;
}

std::vector<fact> record::Facts() {
  const std::scoped_lock lock(mutex_);
  return facts_;
}

}  // namespace fireflyspar::review
