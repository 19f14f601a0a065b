#include "decisions/crash_suspects.h"

#include <algorithm>
#include <tuple>

#include "base/hash.h"

namespace fireflyspar::decisions {
namespace {

using base::steady_instant;

// Levels of an end; see the header.
constexpr int kHadRunWell = 0;
constexpr int kWasUnknown = 1;
constexpr int kWasSuspected = 2;
constexpr int kWasOnTrial = kWithheldLevel;

bool IsLive(const server_end& end) { return !end.is_cleared; }

// Returns the highest level of an end that counts; nothing if none does.
std::optional<int> LevelOf(const suspect& known) {
  std::optional<int> level;
  for (const server_end& each : known.ends) {
    if (IsLive(each)) level = std::max(level.value_or(each.level), each.level);
  }
  return level;
}

steady_instant LastEnd(const suspect& known) {
  steady_instant last{};
  for (const server_end& each : known.ends) last = std::max(last, each.at);
  return last;
}

// Returns the level of an end under the run, given what is known by now: ends
// that were cleared while it ran don't count against it.
int LevelAfter(const suspect& known, const suspect_run& run) {
  const bool is_tried_again = run.admission.state == suspicion::kOnTrial &&
                              known.held.term > 0 && !known.held.is_lifted;
  if (is_tried_again) return kWasOnTrial;
  std::optional<int> level;
  for (const server_end& each : known.ends) {
    const auto& noted = run.admission.known_ends;
    const bool was_known = std::ranges::find(noted, each.server) != noted.end();
    if (was_known && IsLive(each)) {
      level = std::max(level.value_or(each.level), each.level);
    }
  }
  if (level) return std::min(*level + 1, kWasOnTrial);
  return run.had_run_well ? kHadRunWell : kWasUnknown;
}

// Adds the end, of which the highest levels stay, or joins it with what is
// known of the same end. Returns whether that changed anything.
bool AddEnd(suspect& known, const server_end& end) {
  const auto found =
      std::ranges::find(known.ends, end.server, &server_end::server);
  if (found != known.ends.end()) {
    const bool is_news =
        end.level > found->level || (end.is_cleared && !found->is_cleared);
    found->level = std::max(found->level, end.level);
    found->is_cleared = found->is_cleared || end.is_cleared;
    found->at = std::min(found->at, end.at);
    return is_news;
  }
  known.ends.push_back(end);
  if (known.ends.size() <= kMaxSuspectEnds) return true;
  const auto rank = [](const server_end& each) {
    return std::tuple(IsLive(each), each.level, each.at);
  };
  known.ends.erase(std::ranges::min_element(known.ends, {}, rank));
  return true;
}

bool Add(std::set<std::string, std::less<>>& to, const std::string& version) {
  if (to.size() >= kMaxSuspectVersions) return false;
  return to.insert(version).second;
}

bool AddAll(std::set<std::string, std::less<>>& to,
            const std::set<std::string, std::less<>>& from) {
  const std::size_t before = to.size();
  for (const std::string& each : from) Add(to, each);
  return to.size() != before;
}

bool MergeHeld(suspension& known, const suspension& theirs) {
  if (theirs.term != known.term) {
    const bool is_later = theirs.term > known.term;
    if (is_later) known = theirs;
    return is_later;
  }
  bool is_news = theirs.is_lifted && !known.is_lifted;
  known.is_lifted = known.is_lifted || theirs.is_lifted;
  is_news |= AddAll(known.ended_versions, theirs.ended_versions);
  is_news |= AddAll(known.sound_versions, theirs.sound_versions);
  known.until = std::max(known.until, theirs.until);
  return is_news;
}

void ClearAll(suspect& known) {
  for (server_end& each : known.ends) each.is_cleared = true;
}

}  // namespace

bool IsHeld(const suspect& known, steady_instant now) {
  return known.held.term > 0 && !known.held.is_lifted && now < known.held.until;
}

suspicion Judge(const suspect& known, std::string_view version,
                steady_instant now) {
  const suspension& held = known.held;
  if (IsHeld(known, now)) {
    if (held.ended_versions.contains(version)) return suspicion::kWithheld;
    return held.sound_versions.contains(version) ? suspicion::kNone
                                                 : suspicion::kOnTrial;
  }
  const bool has_expired = held.term > 0 && !held.is_lifted;
  if (has_expired) return suspicion::kOnTrial;
  const int level = LevelOf(known).value_or(kHadRunWell);
  if (level >= kWasSuspected) return suspicion::kOnTrial;
  return level == kWasUnknown ? suspicion::kSuspected : suspicion::kNone;
}

const suspect* crash_suspects::Find(std::string_view service,
                                    const request_identity& identity) const {
  const auto [first, last] = suspects_.equal_range(identity.head_hash);
  const auto found = std::find_if(first, last, [&](const auto& each) {
    return each.second.identity == identity && each.second.service == service;
  });
  return found == last ? nullptr : &found->second;
}

suspect_admission crash_suspects::Admit(const suspect* known,
                                        std::string_view version,
                                        steady_instant now) {
  if (known == nullptr) return {};
  suspect_admission admission{.state = Judge(*known, version, now)};
  for (const server_end& each : known->ends) {
    if (IsLive(each)) admission.known_ends.push_back(each.server);
  }
  return admission;
}

suspect& crash_suspects::FindOrAdd(std::string_view service,
                                   const request_identity& identity) {
  const auto [first, last] = suspects_.equal_range(identity.head_hash);
  const auto found = std::find_if(first, last, [&](const auto& each) {
    return each.second.identity == identity && each.second.service == service;
  });
  if (found != last) return found->second;
  MakeRoom();
  suspect added{.identity = identity, .service = std::string(service)};
  return suspects_.emplace(identity.head_hash, std::move(added))->second;
}

// Deletes the suspect of which least is known if there is no room for another.
void crash_suspects::MakeRoom() {
  if (suspects_.size() < options_.max_suspects) return;
  const auto rank = [](const suspects_by_hash::value_type& each) {
    const suspect& known = each.second;
    const bool is_held = known.held.term > 0 && !known.held.is_lifted;
    return std::tuple(is_held, LevelOf(known), LastEnd(known));
  };
  suspects_.erase(std::ranges::min_element(suspects_, {}, rank));
}

const suspect& crash_suspects::OnServerEnd(const suspect_run& run,
                                           steady_instant now) {
  suspect& known = FindOrAdd(run.service, run.identity);
  const int level = LevelAfter(known, run);
  AddEnd(known, {.server = run.server,
                 .instance = run.instance,
                 .level = level,
                 .at = now});
  if (level < kWasOnTrial) return known;
  if (IsHeld(known, now)) {
    Add(known.held.ended_versions, run.version);
    known.held.sound_versions.erase(run.version);
    return known;
  }
  const int term = known.held.term + 1;
  base::duration hold = options_.first_hold;
  for (int i = 1; i < term && hold < options_.longest_hold; ++i) hold *= 2;
  known.held = {.term = term,
                .ended_versions = {run.version},
                .until = now + std::min(hold, options_.longest_hold)};
  return known;
}

const suspect* crash_suspects::OnGoodEnd(const suspect_run& run,
                                         steady_instant now) {
  const suspect* const found = Find(run.service, run.identity);
  if (found == nullptr) return nullptr;
  suspect& known = FindOrAdd(run.service, run.identity);
  if (IsHeld(known, now)) {
    // What ran well must have begun before the request was withheld.
    const bool is_tried = !known.held.ended_versions.contains(run.version);
    if (is_tried) {
      return Add(known.held.sound_versions, run.version) ? &known : nullptr;
    }
  }
  const bool is_news =
      known.held.term > 0 ? !known.held.is_lifted : LevelOf(known).has_value();
  known.held.is_lifted = known.held.term > 0;
  ClearAll(known);
  return is_news ? &known : nullptr;
}

bool crash_suspects::Merge(const suspect& theirs, steady_instant now) {
  const bool is_outdated = !IsHeld(theirs, now) && theirs.held.term == 0 &&
                           now - LastEnd(theirs) > options_.memory;
  if (is_outdated) return false;
  const bool is_new = Find(theirs.service, theirs.identity) == nullptr;
  suspect& known = FindOrAdd(theirs.service, theirs.identity);
  bool is_news = is_new;
  for (const server_end& each : theirs.ends) is_news |= AddEnd(known, each);
  is_news |= MergeHeld(known.held, theirs.held);
  return is_news;
}

const suspect* crash_suspects::Lift(std::string_view service,
                                    std::string_view digest) {
  const auto found = std::ranges::find_if(suspects_, [&](const auto& each) {
    const suspect& known = each.second;
    return known.service == service && known.identity.digest == digest &&
           known.held.term > 0 && !known.held.is_lifted;
  });
  if (found == suspects_.end()) return nullptr;
  found->second.held.is_lifted = true;
  ClearAll(found->second);
  return &found->second;
}

void crash_suspects::Expire(steady_instant now) {
  std::erase_if(suspects_, [&](const auto& each) {
    const suspect& known = each.second;
    // The number of decisions is kept for a while, so that the next one holds
    // for longer.
    const bool is_decided = known.held.term > 0 && !known.held.is_lifted &&
                            now < known.held.until + options_.longest_hold;
    if (is_decided) return false;
    const base::duration kept =
        LevelOf(known) ? options_.memory : options_.cleared_memory;
    return now - LastEnd(known) > kept;
  });
}

std::vector<const suspect*> crash_suspects::All() const {
  std::vector<const suspect*> all;
  all.reserve(suspects_.size());
  for (const auto& each : suspects_) all.push_back(&each.second);
  return all;
}

std::uint64_t crash_suspects::Fingerprint() const {
  // A sum, so that the order of suspects and ends does not matter.
  std::uint64_t sum = 0;
  for (const auto& [hash, known] : suspects_) {
    const std::string name =
        known.service + '\n' + known.identity.digest + '\n';
    for (const server_end& each : known.ends) {
      sum += base::FastHash(
          name + each.server.first + '\n' + std::to_string(each.server.second) +
          '\n' + std::to_string(each.level) + (each.is_cleared ? "c" : ""));
    }
    std::string held = name + std::to_string(known.held.term) +
                       (known.held.is_lifted ? "l" : "");
    for (const auto& version : known.held.ended_versions) {
      held += "\ne" + version;
    }
    for (const auto& version : known.held.sound_versions) {
      held += "\ns" + version;
    }
    sum += base::FastHash(held);
  }
  return sum;
}

}  // namespace fireflyspar::decisions
