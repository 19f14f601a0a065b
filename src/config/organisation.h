// The customers of the operators, as the configuration names them.
#ifndef FIREFLYSPAR_CONFIG_ORGANISATION_H_
#define FIREFLYSPAR_CONFIG_ORGANISATION_H_

#include <span>
#include <string>
#include <vector>

namespace fireflyspar::config {

// Limit on the requests of an organisation over all instances together: a rate,
// and as many more at once after a pause.
struct organisation_limit {
  double requests_per_second = 0;  // Zero: no limit.
  double burst = 0;

  bool IsLimited() const { return requests_per_second > 0; }
  bool operator==(const organisation_limit&) const = default;
};

// An organisation's requests carry one of its keys. It may have none left.
struct organisation {
  std::string name;
  std::vector<std::string> keys;
  int priority = 0;  // Goes before the priority of the route; 0 is the highest.
  organisation_limit limit;
};

// Returns the errors of the list as a whole, without any key: names that stand
// twice, and keys that several organisations have.
std::vector<std::string> FindConflicts(
    std::span<const organisation> organisations);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_ORGANISATION_H_
