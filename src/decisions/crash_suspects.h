// Remembers under which requests backend servers ended, and decides which of
// them must not run any more. The field calls such a request a query of death.
//
// All that a server runs when it ends is in the same position, and nearly all
// of it is innocent. What tells them apart is what happens next, so an end
// counts for more the more was known when the request was let in:
//
//   level 1  nothing was known: the request is suspected. It may go on; all
//            routers offer it to the same gate first.
//   level 2  it was suspected: it is put on trial. It runs at one gate at a
//            time, and no other suspect runs beside it there.
//   level 3  it was on trial: it is withheld from all servers.
//
// Requests in flight at many servers that end at the same moment therefore
// reach level 1, however many servers there were. A run to a good end clears
// all ends that are known then. A request that had run well at the gate shortly
// before its first end gets a level less: the most frequent requests are in
// flight whenever a server ends.
//
// What several processes know merges to the same whatever the order: ends are
// keyed by the start of the server, and decisions are numbered.
#ifndef FIREFLYSPAR_DECISIONS_CRASH_SUSPECTS_H_
#define FIREFLYSPAR_DECISIONS_CRASH_SUSPECTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/hooks.h"
#include "decisions/request_identity.h"

namespace fireflyspar::decisions {

// Bounds of what is kept of one request.
inline constexpr std::size_t kMaxSuspectEnds = 8;
inline constexpr std::size_t kMaxSuspectVersions = 8;

// The level of an end after which a request is withheld; see above.
inline constexpr int kWithheldLevel = 3;

// A start of a server: its id and the Unix time of the start in milliseconds.
using server_start = std::pair<std::string, std::int64_t>;

// The end of a server under a request.
struct server_end {
  server_start server;
  std::string instance;     // Whose gate saw it.
  int level = 0;            // See above.
  bool is_cleared = false;  // The request ran to a good end afterwards.
  base::steady_instant at;

  bool operator==(const server_end&) const = default;
};

// The decision that a request is withheld.
struct suspension {
  int term = 0;  // Counts the decisions on this request; 0: none.
  bool is_lifted = false;
  // Versions of the service that ended under it, and that ran it well since.
  // Any other version has yet to be tried.
  std::set<std::string, std::less<>> ended_versions;
  std::set<std::string, std::less<>> sound_versions;
  base::steady_instant until;

  bool operator==(const suspension&) const = default;
};

// A request under which servers of a service ended.
struct suspect {
  request_identity identity;
  std::string service;
  std::vector<server_end> ends;
  suspension held;

  bool operator==(const suspect&) const = default;
};

enum class suspicion {
  kNone,       // It may run anywhere.
  kSuspected,  // It may run anywhere, best at the gate that would try it.
  kOnTrial,    // It may run at one gate, beside no other suspect.
  kWithheld,   // It must not run.
};

// What was known of a request when it was let in.
struct suspect_admission {
  suspicion state = suspicion::kNone;
  std::vector<server_start> known_ends;  // Those that were not cleared.
};

// Where and when a request was let in and how its run ended.
struct suspect_run {
  std::string service;
  std::string version;
  request_identity identity;
  suspect_admission admission;
  server_start server;
  std::string instance;
  // Whether the same request had run well at this gate shortly before.
  bool had_run_well = false;
};

struct crash_suspects_options {
  std::size_t max_suspects = 512;
  // How long a request is withheld the first time; twice as long each time
  // after that, up to `longest_hold`.
  base::duration first_hold = std::chrono::hours(1);
  base::duration longest_hold = std::chrono::hours(24);
  // How long an end counts, and how long a cleared one is remembered.
  base::duration memory = std::chrono::hours(1);
  base::duration cleared_memory = std::chrono::minutes(1);
};

class crash_suspects {
 public:
  explicit crash_suspects(crash_suspects_options options = {})
      : options_(options) {}

  bool IsEmpty() const { return suspects_.empty(); }

  // Returns false if no suspect has this hash; cheap.
  bool MayKnow(std::uint64_t head_hash) const {
    return suspects_.contains(head_hash);
  }

  // Returns the suspect; null if it is not known. Valid until the next change.
  const suspect* Find(std::string_view service,
                      const request_identity& identity) const;

  // Returns what is to be noted of a request that is let in now. `known` may be
  // null.
  static suspect_admission Admit(const suspect* known, std::string_view version,
                                 base::steady_instant now);

  // Records that the server ended under the request. Returns the suspect.
  const suspect& OnServerEnd(const suspect_run& run, base::steady_instant now);

  // Records that the request ran to a good end. Returns the suspect if that
  // changed anything, and null otherwise.
  const suspect* OnGoodEnd(const suspect_run& run, base::steady_instant now);

  // Takes in what another process knows. Returns whether it changed anything.
  bool Merge(const suspect& theirs, base::steady_instant now);

  // Ends the withholding of a request by an operator's decision. Returns the
  // suspect; null if it is not withheld.
  const suspect* Lift(std::string_view service, std::string_view digest);

  // Deletes what does not count any more.
  void Expire(base::steady_instant now);

  std::vector<const suspect*> All() const;

  // Returns a hash of all that Merge can change, for comparison with another
  // process's.
  std::uint64_t Fingerprint() const;

 private:
  using suspects_by_hash = std::multimap<std::uint64_t, suspect>;

  suspect& FindOrAdd(std::string_view service,
                     const request_identity& identity);
  void MakeRoom();

  crash_suspects_options options_;
  suspects_by_hash suspects_;  // By the identity's fast hash.
};

// Returns whether the request is withheld from some version at this time.
bool IsHeld(const suspect& known, base::steady_instant now);

// Returns what holds for the request at servers of the version.
suspicion Judge(const suspect& known, std::string_view version,
                base::steady_instant now);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_CRASH_SUSPECTS_H_
