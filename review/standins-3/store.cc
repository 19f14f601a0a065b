#include "store.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace review {
namespace {

// Pause of a waiting watch before it looks again; stale views change without a
// notice.
constexpr milliseconds kWatchPoll{20};

}  // namespace

store::store(const address& at, milliseconds stale_by) : stale_by_(stale_by) {
  server_ = std::make_unique<http_server>(
      at, [this](const request& call) { return Serve(call, false); });
}

void store::ListenAlso(const address& second) {
  second_ = std::make_unique<http_server>(
      second, [this](const request& call) { return Serve(call, true); });
}

store::~store() { Stop(); }

void store::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  changed_.notify_all();
  server_->Stop();
  if (second_) second_->Stop();
}

void store::Put(const std::string& kind, const std::string& name,
                const json& spec) {
  const std::lock_guard lock(mutex_);
  PutPart(kind, name, "spec", spec);
}

void store::SetDown(bool is_down) {
  const std::lock_guard lock(mutex_);
  is_down_ = is_down;
  changed_.notify_all();
}

void store::SetTurnsAway(bool turns_away) {
  const std::lock_guard lock(mutex_);
  turns_away_ = turns_away;
  changed_.notify_all();
}

bool store::Refuses(bool is_second) const {
  return is_down_ || (is_second && turns_away_);
}

json store::Find(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  const objects all = ObjectsAt(kind, steady::now());
  const auto found = all.find(name);
  return found == all.end() ? json() : found->second["spec"];
}

store::call_target store::Parse(std::string target) {
  call_target parsed;
  const std::size_t mark = std::min(target.find('?'), target.size());
  std::string query = target.substr(std::min(mark + 1, target.size()));
  target.resize(mark);
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string word = query.substr(0, end);
    const std::size_t equals = std::min(word.find('='), word.size());
    parsed.query[word.substr(0, equals)] =
        word.substr(std::min(equals + 1, word.size()));
    query.erase(0, end + 1);
  }
  constexpr std::string_view kStatus = "/status";
  if (target.ends_with(kStatus)) {
    parsed.is_status = true;
    target.resize(target.size() - kStatus.size());
  }
  target.erase(0, std::string_view("/objects/").size());
  const std::size_t slash = std::min(target.find('/'), target.size());
  parsed.kind = target.substr(0, slash);
  parsed.name = target.substr(std::min(slash + 1, target.size()));
  return parsed;
}

std::optional<response> store::Serve(const request& call, bool is_second) {
  const call_target target = Parse(std::string(call.target()));
  std::unique_lock lock(mutex_);
  if (is_stopped_) return std::nullopt;
  if (Refuses(is_second)) return MakeAnswer(503, json::object());
  if (call.method() == http::verb::delete_) return Delete(target);
  if (call.method() != http::verb::get) return Write(call, target);
  if (target.query.contains("watch")) return Watch(target, is_second, lock);
  const auto at = SeenAt(target);
  const objects seen = ObjectsAt(target.kind, at);
  if (!target.name.empty()) {
    const auto found = seen.find(target.name);
    return found == seen.end() ? MakeAnswer(404, json::object())
                               : MakeAnswer(200, found->second);
  }
  json items = json::array();
  for (const auto& [name, object] : seen) items.push_back(object);
  return MakeAnswer(
      200,
      {{"items", items}, {"more", false}, {"current_rev", RevisionAt(at)}});
}

response store::Watch(const call_target& target, bool is_second,
                      std::unique_lock<std::mutex>& lock) {
  const std::uint64_t from = std::stoull(target.query.at("watch"));
  const auto until =
      steady::now() + milliseconds(std::stoll(target.query.at("wait_ms")));
  for (;;) {
    if (Refuses(is_second) || is_stopped_) {
      return MakeAnswer(503, json::object());
    }
    const auto at = SeenAt(target);
    json events = json::array();
    for (const change& each : changes_) {
      const bool is_seen =
          each.kind == target.kind && each.revision > from && each.at <= at;
      if (!is_seen) continue;
      events.push_back({{"object", each.object}, {"deleted", each.is_removal}});
    }
    if (!events.empty() || steady::now() >= until) {
      const std::uint64_t current = std::max(from, RevisionAt(at));
      return MakeAnswer(200, {{"events", events}, {"current_rev", current}});
    }
    changed_.wait_for(lock, kWatchPoll);
  }
}

steady::time_point store::SeenAt(const call_target& target) const {
  const bool is_stale = target.query.contains("allow_stale");
  return is_stale ? steady::now() - stale_by_ : steady::now();
}

store::objects store::ObjectsAt(const std::string& kind,
                                steady::time_point at) const {
  objects seen;
  for (const change& each : changes_) {
    if (each.kind != kind || each.at > at) continue;
    const auto name = each.object["metadata"]["name"].get<std::string>();
    if (each.is_removal) {
      seen.erase(name);
    } else {
      seen[name] = each.object;
    }
  }
  return seen;
}

std::uint64_t store::RevisionAt(steady::time_point at) const {
  const auto last =
      std::find_if(changes_.rbegin(), changes_.rend(),
                   [at](const auto& each) { return each.at <= at; });
  return last == changes_.rend() ? 1 : last->revision;
}

void store::Store(const std::string& kind, json object, bool is_removal) {
  object["metadata"]["revision"] = ++revision_;
  if (!object["metadata"].contains("created")) {
    object["metadata"]["created"] = revision_;
  }
  changes_.push_back({.revision = revision_,
                      .at = steady::now(),
                      .kind = kind,
                      .object = std::move(object),
                      .is_removal = is_removal});
  changed_.notify_all();
}

void store::PutPart(const std::string& kind, const std::string& name,
                    const char* part, const json& value) {
  const objects known = ObjectsAt(kind, steady::now());
  const auto found = known.find(name);
  json object = found != known.end() ? found->second
                                     : json{{"metadata", {{"name", name}}},
                                            {"spec", json::object()},
                                            {"status", json::object()}};
  if (found != known.end() && object[part] == value) return;
  object[part] = value;
  Store(kind, std::move(object), false);
}

response store::Write(const request& call, const call_target& target) {
  const json body = ReadBody(call.body());
  if (!body.is_object()) return MakeAnswer(400, json::object());
  const bool is_new = call.method() == http::verb::post;
  const std::string name =
      is_new ? body.at("metadata").at("name").get<std::string>() : target.name;
  const objects known = ObjectsAt(target.kind, steady::now());
  const auto found = known.find(name);
  if (is_new && found != known.end()) return MakeAnswer(409, found->second);
  if (!is_new && found == known.end()) return MakeAnswer(404, json::object());
  const json metadata = body.value("metadata", json::object());
  const bool differs =
      found != known.end() && metadata.contains("revision") &&
      metadata["revision"] != found->second["metadata"]["revision"];
  if (differs) return MakeAnswer(409, found->second);
  const char* const part = target.is_status ? "status" : "spec";
  PutPart(target.kind, name, part, body.at(part));
  return MakeAnswer(is_new ? 201 : 200,
                    ObjectsAt(target.kind, steady::now()).at(name));
}

response store::Delete(const call_target& target) {
  const objects known = ObjectsAt(target.kind, steady::now());
  const auto found = known.find(target.name);
  if (found == known.end()) return MakeAnswer(404, json::object());
  const auto wanted = target.query.find("revision");
  const bool differs =
      wanted != target.query.end() &&
      std::stoull(wanted->second) !=
          found->second["metadata"]["revision"].get<std::uint64_t>();
  if (differs) return MakeAnswer(409, found->second);
  Store(target.kind, found->second, true);
  return MakeAnswer(200, json::object());
}

}  // namespace review
