// Rendezvous hashing: chooses the instances that do a job. Nodes that know the
// same members choose the same instances. When their views differ the job may
// be done twice, which is harmless since everything that jobs produce merges.
#ifndef FIREFLYSPAR_DECISIONS_RENDEZVOUS_H_
#define FIREFLYSPAR_DECISIONS_RENDEZVOUS_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyspar::decisions {

// Returns the first `count` of `node_ids` for the job, best first, or all of
// them when there are fewer. The order of `node_ids` does not matter.
std::vector<std::string> ChooseByRendezvous(
    std::string_view job, std::span<const std::string> node_ids,
    std::size_t count);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_RENDEZVOUS_H_
