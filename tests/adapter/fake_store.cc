#include "fake_store.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "../free_address.h"
#include "platform/body.h"

namespace fireflyspar::platform {
namespace {

using backend_servers::http_request;
using backend_servers::http_response;
using nlohmann::json;
using std::chrono::milliseconds;
namespace http = backend_servers::http;

// Interval at which a waiting watch checks the history.
constexpr milliseconds kPollInterval{2};

std::uint64_t RevisionOf(const json& object) {
  return object["metadata"]["revision"].get<std::uint64_t>();
}

}  // namespace

fake_store::fake_store(net::io_context& loop)
    : loop_(loop), address_(tests::FreeAddress()) {
  listener_ = std::make_unique<proxy::listener>(
      loop.get_executor(),
      proxy::listener_options{
          .address = address_,
          .handler = [this](proxy::served_call& call) { return Serve(call); }});
  const base::status started = listener_->Start();
  if (!started) throw std::runtime_error(started.Failure().detail);
}

http_response fake_store::Answer(unsigned status, const json& body) const {
  http_response answer(http::int_to_status(status), 11);
  answer.set(http::field::content_type, kBodyType);
  std::string bytes = EncodeBody(body);
  for (const odd_value& each : odd_values_) {
    const std::string encoded = EncodeBody(each.placeholder);
    for (std::size_t at = bytes.find(encoded); at != std::string::npos;
         at = bytes.find(encoded, at + each.bytes.size())) {
      bytes.replace(at, encoded.size(), each.bytes);
    }
  }
  answer.body() = std::move(bytes);
  answer.prepare_payload();
  return answer;
}

std::uint64_t fake_store::PutBytes(const std::string& kind,
                                   const std::string& name,
                                   const std::string& spec) {
  const std::string placeholder =
      "placeholder " + std::to_string(odd_values_.size());
  odd_values_.push_back({.placeholder = placeholder, .bytes = spec});
  return Put(kind, name, placeholder);
}

std::uint64_t fake_store::Put(const std::string& kind, const std::string& name,
                              const json& spec) {
  const auto known = Find(kind, name);
  json object = known.value_or(
      json{{"metadata", {{"name", name}}}, {"status", json::object()}});
  object["spec"] = spec;
  return Store(kind, std::move(object));
}

void fake_store::Remove(const std::string& kind, const std::string& name) {
  history_.push_back({.revision = ++revision_,
                      .kind = kind,
                      .object = kinds_[kind][name],
                      .is_removal = true});
  kinds_[kind].erase(name);
}

std::optional<json> fake_store::Find(const std::string& kind,
                                     const std::string& name) const {
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) return std::nullopt;
  const auto found = objects->second.find(name);
  if (found == objects->second.end()) return std::nullopt;
  return found->second;
}

std::uint64_t fake_store::Store(const std::string& kind, json object) {
  object["metadata"]["revision"] = ++revision_;
  if (!object["metadata"].contains("created")) {
    object["metadata"]["created"] = revision_;
  }
  history_.push_back({.revision = revision_, .kind = kind, .object = object});
  const auto name = object["metadata"]["name"].get<std::string>();
  kinds_[kind][name] = std::move(object);
  return revision_;
}

fake_store::call_parts fake_store::Parse(std::string_view target) {
  call_parts parts;
  const std::size_t mark = std::min(target.find('?'), target.size());
  std::string path(target.substr(0, mark));
  std::string_view query = target.substr(std::min(mark + 1, target.size()));
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view word = query.substr(0, end);
    const std::size_t equals = std::min(word.find('='), word.size());
    parts.query[std::string(word.substr(0, equals))] =
        word.substr(std::min(equals + 1, word.size()));
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  constexpr std::string_view kStatus = "/status";
  if (path.ends_with(kStatus)) {
    parts.is_status = true;
    path.resize(path.size() - kStatus.size());
  }
  path.erase(0, std::string_view("/objects/").size());
  const std::size_t slash = std::min(path.find('/'), path.size());
  parts.kind = path.substr(0, slash);
  parts.name = path.substr(std::min(slash + 1, path.size()));
  return parts;
}

void fake_store::RestoreCopy() {
  kinds_ = copy_.kinds;
  revision_ = copy_.revision;
  std::erase_if(history_, [this](const event& each) {
    return each.revision > revision_;
  });
  ++era_;
}

net::awaitable<http_response> fake_store::Serve(proxy::served_call& call) {
  http_response answer = co_await Execute(call);
  answer.set("Store-Era", std::to_string(era_));
  co_return answer;
}

net::awaitable<http_response> fake_store::Execute(proxy::served_call& call) {
  const std::string target(backend_servers::ToView(call.request.target()));
  targets_.push_back(target);
  if (refusals_left_ > 0) {
    --refusals_left_;
    co_return Answer(refusal_, json::object());
  }
  const call_parts parts = Parse(target);
  http_response answer;
  if (parts.query.contains("watch")) {
    answer = co_await Watch(parts);
  } else if (call.request.method() == http::verb::delete_) {
    answer = Delete(parts);
  } else if (call.request.method() != http::verb::get) {
    answer = Write(call.request, parts);
  } else if (parts.name.empty()) {
    answer = List(parts);
  } else {
    const auto found = Find(parts.kind, parts.name);
    answer = found ? Answer(200, *found) : Answer(404, json::object());
  }
  const bool is_write = call.request.method() != http::verb::get;
  if (is_write && loses_answer_) {
    loses_answer_ = false;
    net::steady_timer silent(loop_, std::chrono::hours(1));
    boost::system::error_code ignored;
    co_await silent.async_wait(
        net::redirect_error(net::use_awaitable, ignored));
  }
  co_return answer;
}

net::awaitable<http_response> fake_store::Watch(call_parts parts) {
  const std::uint64_t from = std::stoull(parts.query["watch"]);
  const auto until = std::chrono::steady_clock::now() +
                     milliseconds(std::stoll(parts.query["wait_ms"]));
  const bool has_history = from >= forgotten_until_ && from <= revision_;
  if (!has_history) co_return Answer(410, json::object());
  const std::uint64_t begun_in = era_;
  for (;;) {
    if (era_ != begun_in) co_return Answer(503, json::object());
    json events = json::array();
    for (const event& each : history_) {
      if (each.kind != parts.kind || each.revision <= from) continue;
      events.push_back({{"object", each.object}, {"deleted", each.is_removal}});
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= until) {
      co_return Answer(200, {{"events", events}, {"current_rev", revision_}});
    }
    net::steady_timer timer(loop_, kPollInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
  }
}

http_response fake_store::List(const call_parts& parts) const {
  json items = json::array();
  bool has_more = false;
  const auto objects = kinds_.find(parts.kind);
  const auto after = parts.query.find("after");
  if (objects != kinds_.end()) {
    for (const auto& [name, object] : objects->second) {
      if (after != parts.query.end() && name <= after->second) continue;
      has_more = items.size() >= page_size_;
      if (has_more) break;
      items.push_back(object);
    }
  }
  return Answer(
      200, {{"items", items}, {"more", has_more}, {"current_rev", revision_}});
}

http_response fake_store::Write(const http_request& request,
                                const call_parts& parts) {
  const json body = DecodeBody(request.body());
  if (!body.is_object()) return Answer(400, json::object());
  const bool is_new = request.method() == http::verb::post;
  const std::string name =
      is_new ? body["metadata"]["name"].get<std::string>() : parts.name;
  const auto known = Find(parts.kind, name);
  if (is_new && known) return Answer(409, *known);
  if (!is_new && !known) return Answer(404, json::object());
  const json& metadata = body["metadata"];
  const bool differs = known && metadata.contains("revision") &&
                       metadata["revision"] != RevisionOf(*known);
  if (differs) return Answer(409, *known);
  json object = known.value_or(
      json{{"metadata", {{"name", name}}}, {"status", json::object()}});
  const char* const part = parts.is_status ? "status" : "spec";
  const bool changes = !known || object[part] != body[part];
  object[part] = body[part];
  if (changes) Store(parts.kind, object);
  return Answer(is_new ? 201 : 200, *Find(parts.kind, name));
}

http_response fake_store::Delete(const call_parts& parts) {
  const auto known = Find(parts.kind, parts.name);
  if (!known) return Answer(404, json::object());
  const auto revision = parts.query.find("revision");
  const bool differs = revision != parts.query.end() &&
                       std::stoull(revision->second) != RevisionOf(*known);
  if (differs) return Answer(409, *known);
  Remove(parts.kind, parts.name);
  return Answer(200, json::object());
}

}  // namespace fireflyspar::platform
