#include "proxy/suspect_json.h"

#include <algorithm>
#include <string>

namespace fireflyspar::proxy {
namespace {

using decisions::server_end;
using decisions::suspect;
using decisions::suspension;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kDigestDigits = 32;
constexpr std::size_t kMaxNameBytes = 256;
constexpr int kMaxLevel = 3;
constexpr int kMaxTerm = 1000;
constexpr milliseconds kMaxSpan = std::chrono::hours(24);

// Reads the members of an object. Ok() stays false once one was missing or did
// not fit.
class member_reader {
 public:
  explicit member_reader(const json& from) : from_(from) {
    ok_ = from.is_object();
  }

  bool Ok() const { return ok_; }
  void Fail() { ok_ = false; }

  std::string Text(const char* key) {
    const json* const found = Find(key);
    const bool fits =
        found != nullptr && found->is_string() &&
        found->get_ref<const std::string&>().size() <= kMaxNameBytes;
    if (!fits) ok_ = false;
    return fits ? found->get<std::string>() : std::string();
  }

  std::int64_t Number(const char* key, std::int64_t least, std::int64_t most) {
    const json* const found = Find(key);
    const bool is_number = found != nullptr && found->is_number_integer();
    const auto number = is_number ? found->get<std::int64_t>() : 0;
    if (!is_number || number < least || number > most) ok_ = false;
    return number;
  }

  bool Flag(const char* key) { return Number(key, 0, 1) != 0; }

  const json::array_t& List(const char* key, std::size_t most) {
    static const json::array_t none;
    const json* const found = Find(key);
    const bool fits =
        found != nullptr && found->is_array() && found->size() <= most;
    if (!fits) ok_ = false;
    return fits ? found->get_ref<const json::array_t&>() : none;
  }

  std::set<std::string, std::less<>> Names(const char* key, std::size_t most) {
    std::set<std::string, std::less<>> names;
    for (const json& each : List(key, most)) {
      const bool fits =
          each.is_string() &&
          each.get_ref<const std::string&>().size() <= kMaxNameBytes;
      if (fits) {
        names.insert(each.get<std::string>());
      } else {
        ok_ = false;
      }
    }
    return names;
  }

 private:
  const json* Find(const char* key) {
    if (!from_.is_object()) return nullptr;
    const auto found = from_.find(key);
    return found == from_.end() ? nullptr : &*found;
  }

  const json& from_;
  bool ok_ = true;
};

std::int64_t Milliseconds(base::steady_instant::duration span) {
  const auto whole = std::chrono::duration_cast<milliseconds>(span);
  return std::clamp(whole, milliseconds(0), kMaxSpan).count();
}

json ToJson(const server_end& end, base::steady_instant now) {
  return {{"server", end.server.first},
          {"born_ms", end.server.second},
          {"instance", end.instance},
          {"level", end.level},
          {"cleared", end.is_cleared ? 1 : 0},
          {"age_ms", Milliseconds(now - end.at)}};
}

std::optional<server_end> ParseEnd(const json& from, base::steady_instant now) {
  member_reader members(from);
  server_end end;
  end.server.first = members.Text("server");
  end.server.second = members.Number("born_ms", 0, INT64_MAX);
  end.instance = members.Text("instance");
  end.level = static_cast<int>(members.Number("level", 0, kMaxLevel));
  end.is_cleared = members.Flag("cleared");
  end.at = now - milliseconds(members.Number("age_ms", 0, kMaxSpan.count()));
  if (!members.Ok()) return std::nullopt;
  return end;
}

}  // namespace

json ToJson(const suspect& known, base::steady_instant now) {
  json ends = json::array();
  for (const server_end& each : known.ends) ends.push_back(ToJson(each, now));
  return {{"head", known.identity.head_hash},
          {"digest", known.identity.digest},
          {"service", known.service},
          {"ends", std::move(ends)},
          {"term", known.held.term},
          {"lifted", known.held.is_lifted ? 1 : 0},
          {"ended_versions", known.held.ended_versions},
          {"sound_versions", known.held.sound_versions},
          {"left_ms", Milliseconds(known.held.until - now)}};
}

std::optional<suspect> ParseSuspect(const json& from,
                                    base::steady_instant now) {
  member_reader members(from);
  suspect known;
  known.identity.digest = members.Text("digest");
  known.service = members.Text("service");
  const auto head = from.is_object() ? from.find("head") : from.end();
  if (head == from.end() || !head->is_number_unsigned()) return std::nullopt;
  known.identity.head_hash = head->get<std::uint64_t>();
  for (const json& each : members.List("ends", decisions::kMaxSuspectEnds)) {
    const auto end = ParseEnd(each, now);
    if (!end) return std::nullopt;
    known.ends.push_back(*end);
  }
  suspension& held = known.held;
  held.term = static_cast<int>(members.Number("term", 0, kMaxTerm));
  held.is_lifted = members.Flag("lifted");
  held.ended_versions =
      members.Names("ended_versions", decisions::kMaxSuspectVersions);
  held.sound_versions =
      members.Names("sound_versions", decisions::kMaxSuspectVersions);
  held.until =
      now + milliseconds(members.Number("left_ms", 0, kMaxSpan.count()));
  const bool fits = members.Ok() && !known.service.empty() &&
                    known.identity.digest.size() == kDigestDigits;
  if (!fits) return std::nullopt;
  return known;
}

}  // namespace fireflyspar::proxy
