#include "store.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>

namespace fireflyspar::review {
namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/objects/";
constexpr std::string_view kStatusSuffix = "/status";

// The objects of one page of a list.
constexpr std::size_t kPageSize = 500;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

std::uint64_t ToNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string DecodeName(std::string_view encoded) {
  constexpr int kHexBase = 16;
  std::string name;
  for (std::size_t at = 0; at < encoded.size(); ++at) {
    const bool is_escape = encoded[at] == '%' && at + 2 < encoded.size();
    if (!is_escape) {
      name.push_back(encoded[at]);
      continue;
    }
    unsigned byte = 0;
    const std::string_view digits = encoded.substr(at + 1, 2);
    std::from_chars(digits.data(), digits.data() + digits.size(), byte,
                    kHexBase);
    name.push_back(static_cast<char>(byte));
    at += 2;
  }
  return name;
}

http_message Reply(int status, const json& document) {
  return {.status = status,
          .headers = {{"Content-Type", "application/cbor"}},
          .body = EncodeBody(document)};
}

// Returns the revision that a write depends on; nothing if it names none.
std::optional<std::uint64_t> ConditionOf(const http_message& request,
                                         const json& body) {
  const auto in_query = ParameterOf(request, "revision");
  if (in_query) return ToNumber(*in_query);
  if (!body.is_object() || !body.contains("metadata")) return std::nullopt;
  const json& metadata = body["metadata"];
  const bool has = metadata.is_object() && metadata.contains("revision") &&
                   metadata["revision"].is_number_unsigned();
  if (!has) return std::nullopt;
  return metadata["revision"].get<std::uint64_t>();
}

template <typename object_type>
json ToJson(const std::string& name, const object_type& from) {
  return {{"metadata",
           {{"name", name},
            {"revision", from.revision},
            {"created", from.created},
            {"finalizers", json::array()},
            {"is_deleting", false}}},
          {"spec", from.spec},
          {"status", from.status}};
}

}  // namespace

json DecodeBody(const std::string& body) {
  const json document = json::from_cbor(body, true, false);
  return document.is_discarded() ? json() : document;
}

std::string EncodeBody(const json& document) {
  std::string bytes;
  json::to_cbor(document, bytes);
  return bytes;
}

store::store(const endpoint& address)
    : server_(address,
              [this](const http_message& request) { return Answer(request); }) {
}

void store::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  changed_.notify_all();
  server_.Stop();
}

void store::Write(const std::string& kind, const std::string& name,
                  const json& spec) {
  const std::lock_guard lock(mutex_);
  object& written = kinds_[kind][name];
  if (written.spec == spec) return;
  written.spec = spec;
  Publish(kind, name, false);
}

std::vector<std::string> store::Names(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> names;
  for (const auto& [name, each] : kinds_[kind]) names.push_back(name);
  return names;
}

void store::Publish(const std::string& kind, const std::string& name,
                    bool is_removal) {
  object& changed = kinds_[kind][name];
  changed.revision = ++revision_;
  if (changed.created == 0) changed.created = revision_;
  events_.push_back({.revision = revision_,
                     .kind = kind,
                     .content = {{"object", ToJson(name, changed)},
                                 {"deleted", is_removal}}});
  if (is_removal) kinds_[kind].erase(name);
  changed_.notify_all();
}

void store::SetAnswerTime(milliseconds least, milliseconds most) {
  const std::lock_guard lock(mutex_);
  least_answer_time_ = least;
  most_answer_time_ = most;
}

json store::Status(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = kinds_[kind].find(name);
  return found == kinds_[kind].end() ? json() : found->second.status;
}

milliseconds store::DrawAnswerTime() {
  const std::lock_guard lock(mutex_);
  std::uniform_int_distribution<std::int64_t> times(least_answer_time_.count(),
                                                    most_answer_time_.count());
  return milliseconds(times(random_));
}

http_message store::Answer(const http_message& request) {
  http_message answer = AnswerAtOnce(request);
  std::this_thread::sleep_for(DrawAnswerTime());
  return answer;
}

http_message store::AnswerAtOnce(const http_message& request) {
  std::string path = PathOf(request);
  if (!path.starts_with(kPrefix)) return Reply(kNotFound, json::object());
  path.erase(0, kPrefix.size());
  const bool is_status = path.ends_with(kStatusSuffix);
  if (is_status) path.resize(path.size() - kStatusSuffix.size());
  const std::size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const std::string name = slash == std::string::npos
                               ? std::string()
                               : DecodeName(path.substr(slash + 1));
  if (request.method == "GET") return Get(request, kind, name);
  if (request.method == "DELETE") return Remove(request, kind, name);
  return Change(request, kind, name, is_status);
}

http_message store::Get(const http_message& request, const std::string& kind,
                        const std::string& name) {
  const auto watched = ParameterOf(request, "watch");
  if (watched) return Watch(request, kind, ToNumber(*watched));
  if (name.empty()) return List(request, kind);
  const std::lock_guard lock(mutex_);
  const auto found = kinds_[kind].find(name);
  if (found == kinds_[kind].end()) return Reply(kNotFound, json::object());
  return Reply(kOk, ToJson(name, found->second));
}

http_message store::List(const http_message& request, const std::string& kind) {
  const std::string after =
      DecodeName(ParameterOf(request, "after").value_or(""));
  const std::lock_guard lock(mutex_);
  const objects_by_name& objects = kinds_[kind];
  json items = json::array();
  auto each = objects.upper_bound(after);
  for (; each != objects.end() && items.size() < kPageSize; ++each) {
    items.push_back(ToJson(each->first, each->second));
  }
  return Reply(kOk, {{"items", items},
                     {"more", each != objects.end()},
                     {"current_rev", revision_}});
}

http_message store::Watch(const http_message& request, const std::string& kind,
                          std::uint64_t revision) {
  const milliseconds wait(
      ToNumber(ParameterOf(request, "wait_ms").value_or("0")));
  std::unique_lock lock(mutex_);
  json events = json::array();
  const auto has_events = [&] {
    for (const event& each : events_) {
      const bool is_new = each.revision > revision && each.kind == kind;
      if (is_new) events.push_back(each.content);
    }
    return is_stopped_ || !events.empty();
  };
  changed_.wait_for(lock, wait, has_events);
  return Reply(kOk, {{"events", events}, {"current_rev", revision_}});
}

http_message store::Change(const http_message& request, const std::string& kind,
                           const std::string& name_in_path, bool is_status) {
  const json body = DecodeBody(request.body);
  if (!body.is_object()) return Reply(kBadRequest, json::object());
  const bool is_creation = request.method == "POST";
  const std::string name =
      is_creation ? body["metadata"].value("name", "") : name_in_path;
  const auto condition = ConditionOf(request, body);
  const std::lock_guard lock(mutex_);
  const auto found = kinds_[kind].find(name);
  const bool is_there = found != kinds_[kind].end();
  if (is_creation && is_there) {
    return Reply(kConflict, ToJson(name, found->second));
  }
  if (!is_creation && !is_there) return Reply(kNotFound, json::object());
  if (is_there && condition && *condition != found->second.revision) {
    return Reply(kConflict, ToJson(name, found->second));
  }
  object& written = kinds_[kind][name];
  json& part = is_status ? written.status : written.spec;
  const json next = body.value(is_status ? "status" : "spec", json());
  const bool is_changed = is_creation || part != next;
  part = next;
  if (is_changed) Publish(kind, name, false);
  return Reply(kOk, ToJson(name, written));
}

http_message store::Remove(const http_message& request, const std::string& kind,
                           const std::string& name) {
  const auto condition = ConditionOf(request, json());
  const std::lock_guard lock(mutex_);
  const auto found = kinds_[kind].find(name);
  if (found == kinds_[kind].end()) return Reply(kNotFound, json::object());
  if (condition && *condition != found->second.revision) {
    return Reply(kConflict, ToJson(name, found->second));
  }
  Publish(kind, name, true);
  return Reply(kOk, json::object());
}

}  // namespace fireflyspar::review
