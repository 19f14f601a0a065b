#include "store.h"

#include <algorithm>

namespace fireflyspar::review {
namespace {

using nlohmann::json;

constexpr milliseconds kIdleTime{60'000};

message Answer(int status, const json& body) {
  std::string bytes;
  json::to_cbor(body, bytes);
  message made = MakeResponse(status, std::move(bytes));
  made.headers.emplace_back("Content-Type", "application/cbor");
  return made;
}

std::uint64_t RevisionOf(const json& object) {
  return object["metadata"]["revision"].get<std::uint64_t>();
}

}  // namespace

void store::Serve(const std::string& machine, const endpoint& at) {
  Listen(at, [this, machine](const connection_ptr& from) {
    ServeConnection(machine, from);
  });
}

void store::ServeConnection(const std::string& machine,
                            const connection_ptr& from) {
  {
    const std::scoped_lock lock(mutex_);
    connections_[machine].insert(from);
  }
  for (;;) {
    const auto request = from->Read(steady::now() + kIdleTime);
    if (!request) break;
    const message answer = IsTurnedAway(machine) ? Answer(503, json::object())
                                                 : Execute(*request, machine);
    if (!from->IsOpen() || !from->Write(ToBytes(answer))) break;
  }
  const std::scoped_lock lock(mutex_);
  connections_[machine].erase(from);
}

bool store::IsTurnedAway(const std::string& machine) {
  const std::scoped_lock lock(mutex_);
  return turned_away_.contains(machine);
}

void store::TurnAway(const std::set<std::string>& machines) {
  const std::scoped_lock lock(mutex_);
  turned_away_ = machines;
  for (const std::string& each : machines) {
    for (const connection_ptr& open : connections_[each]) open->Reset();
  }
  changed_.notify_all();
}

void store::ServeAll() {
  const std::scoped_lock lock(mutex_);
  turned_away_.clear();
}

void store::Put(const std::string& kind, const std::string& name,
                const json& spec) {
  const std::scoped_lock lock(mutex_);
  json object = {{"metadata", {{"name", name}}}, {"status", json::object()}};
  const auto known = kinds_[kind].find(name);
  if (known != kinds_[kind].end()) object = known->second;
  object["spec"] = spec;
  Change(kind, std::move(object));
}

std::set<std::string> store::Names(const std::string& kind) {
  const std::scoped_lock lock(mutex_);
  std::set<std::string> names;
  for (const auto& [name, object] : kinds_[kind]) names.insert(name);
  return names;
}

void store::Change(const std::string& kind, json object) {
  object["metadata"]["revision"] = ++revision_;
  if (!object["metadata"].contains("created")) {
    object["metadata"]["created"] = revision_;
  }
  history_.push_back({.revision = revision_, .kind = kind, .object = object});
  const auto name = object["metadata"]["name"].get<std::string>();
  kinds_[kind][name] = std::move(object);
  changed_.notify_all();
}

store::call store::ParseTarget(const std::string& target) {
  call parsed;
  const std::size_t mark = std::min(target.find('?'), target.size());
  std::string path = target.substr(0, mark);
  std::string query = mark < target.size() ? target.substr(mark + 1) : "";
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string word = query.substr(0, end);
    const std::size_t equals = std::min(word.find('='), word.size());
    parsed.query[word.substr(0, equals)] =
        equals < word.size() ? word.substr(equals + 1) : "";
    query.erase(0, end + 1);
  }
  constexpr std::string_view kStatus = "/status";
  if (path.ends_with(kStatus)) {
    parsed.is_status = true;
    path.resize(path.size() - kStatus.size());
  }
  path.erase(0, std::string_view("/objects/").size());
  const std::size_t slash = std::min(path.find('/'), path.size());
  parsed.kind = path.substr(0, slash);
  if (slash < path.size()) parsed.name = path.substr(slash + 1);
  return parsed;
}

message store::Execute(const message& request, const std::string& machine) {
  const call made = ParseTarget(request.Target());
  if (made.query.contains("watch")) return Watch(made, machine);
  const std::scoped_lock lock(mutex_);
  const std::string method = request.Method();
  if (method == "DELETE") return Remove(made);
  if (method != "GET") return Write(request, made);
  if (made.name.empty()) return List(made);
  const auto& objects = kinds_[made.kind];
  const auto found = objects.find(made.name);
  return found == objects.end() ? Answer(404, json::object())
                                : Answer(200, found->second);
}

message store::Watch(const call& made, const std::string& machine) {
  const std::uint64_t from = std::stoull(made.query.at("watch"));
  const auto until =
      steady::now() + milliseconds(std::stoll(made.query.at("wait_ms")));
  std::unique_lock lock(mutex_);
  if (from > revision_) return Answer(410, json::object());
  for (;;) {
    if (turned_away_.contains(machine)) return Answer(503, json::object());
    json events = json::array();
    for (const event& each : history_) {
      if (each.kind != made.kind || each.revision <= from) continue;
      events.push_back({{"object", each.object}, {"deleted", each.is_removal}});
    }
    if (!events.empty() || steady::now() >= until) {
      return Answer(200, {{"events", events}, {"current_rev", revision_}});
    }
    changed_.wait_until(lock, until);
  }
}

message store::List(const call& made) {
  json items = json::array();
  const auto after = made.query.find("after");
  for (const auto& [name, object] : kinds_[made.kind]) {
    if (after != made.query.end() && name <= after->second) continue;
    items.push_back(object);
  }
  return Answer(
      200, {{"items", items}, {"more", false}, {"current_rev", revision_}});
}

message store::Write(const message& request, const call& made) {
  constexpr bool kThrows = false;
  const json body = json::from_cbor(request.body, true, kThrows);
  if (!body.is_object()) return Answer(400, json::object());
  const bool is_new = request.Method() == "POST";
  const std::string name =
      is_new ? body["metadata"]["name"].get<std::string>() : made.name;
  const auto known = kinds_[made.kind].find(name);
  const bool exists = known != kinds_[made.kind].end();
  if (is_new && exists) return Answer(409, known->second);
  if (!is_new && !exists) return Answer(404, json::object());
  const json& metadata = body["metadata"];
  const bool differs = exists && metadata.contains("revision") &&
                       metadata["revision"] != RevisionOf(known->second);
  if (differs) return Answer(409, known->second);
  json object = {{"metadata", {{"name", name}}}, {"status", json::object()}};
  if (exists) object = known->second;
  const char* const part = made.is_status ? "status" : "spec";
  const bool changes = !exists || object[part] != body[part];
  object[part] = body[part];
  if (changes) Change(made.kind, std::move(object));
  return Answer(200, kinds_[made.kind][name]);
}

message store::Remove(const call& made) {
  const auto known = kinds_[made.kind].find(made.name);
  if (known == kinds_[made.kind].end()) return Answer(404, json::object());
  const auto revision = made.query.find("revision");
  const bool differs =
      revision != made.query.end() &&
      std::stoull(revision->second) != RevisionOf(known->second);
  if (differs) return Answer(409, known->second);
  history_.push_back({.revision = ++revision_,
                      .kind = made.kind,
                      .object = known->second,
                      .is_removal = true});
  kinds_[made.kind].erase(known);
  changed_.notify_all();
  return Answer(200, json::object());
}

}  // namespace fireflyspar::review
