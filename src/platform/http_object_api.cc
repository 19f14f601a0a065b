#include "platform/http_object_api.h"

#include <cpprest/base_uri.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "backend_servers/blocking_client.h"

namespace fireflyspar::platform {
namespace {

using backend_servers::blocking_answer;
using backend_servers::exchange_outcome;
using backend_servers::http_request;
using base::error_kind;
using std::chrono::milliseconds;
namespace http = backend_servers::http;

constexpr std::size_t kMaxValueBytes = 1'000'000;
// Request line, host and length.
constexpr std::int64_t kRequestHeaderBytes = 150;

// A list holds many values.
constexpr backend_servers::answer_memory_options kAnswers{
    .max_bytes = 134'217'728, .max_body_bytes = 67'108'864};

constexpr unsigned kOk = 200;
constexpr unsigned kFirstServerErrorStatus = 500;

struct call_counters {
  base::counter& get;
  base::counter& put;
  base::counter& list;
  base::counter& watch;
  base::counter& remove;
  base::counter& rate_limited;
  base::counter& sent;
  base::counter& received;
};

call_counters MakeCounters(base::metrics& metrics) {
  constexpr std::string_view kCalls = "fireflyspar_platform_calls_total";
  constexpr std::string_view kBytes = "fireflyspar_control_bytes_total";
  return {
      .get = metrics.Counter(kCalls, R"(call="get")"),
      .put = metrics.Counter(kCalls, R"(call="put")"),
      .list = metrics.Counter(kCalls, R"(call="list")"),
      .watch = metrics.Counter(kCalls, R"(call="watch")"),
      .remove = metrics.Counter(kCalls, R"(call="remove")"),
      .rate_limited =
          metrics.Counter("fireflyspar_platform_calls_held_back_total"),
      .sent = metrics.Counter(kBytes, R"(seam="platform",direction="sent")"),
      .received =
          metrics.Counter(kBytes, R"(seam="platform",direction="received")"),
  };
}

base::failure FailureOf(const blocking_answer& answer,
                        std::string_view subject) {
  const std::string detail =
      "platform answered " + std::to_string(answer.status) + " for " +
      std::string(subject) + ": " + answer.body.substr(0, 200);
  switch (answer.status) {
    case 404:
      return base::Fail(error_kind::kNotFound, detail);
    case 409:
      return base::Fail(error_kind::kConflict, detail);
    case 413:
      return base::Fail(error_kind::kTooLarge, detail);
    case 429:
      return base::Fail(error_kind::kPlatformOverRate, detail);
    default:
      return base::Fail(answer.status >= 500 ? error_kind::kPlatformUnavailable
                                             : error_kind::kInternal,
                        detail);
  }
}

base::failure FailureOfRead(const blocking_answer& failed) {
  return base::Fail(failed.end == exchange_outcome::kCancelled
                        ? error_kind::kCancelled
                        : error_kind::kPlatformUnavailable,
                    failed.detail);
}

// Only a request that was not sent proves that nothing was written.
base::failure FailureOfWrite(const blocking_answer& failed) {
  return base::Fail(failed.sent ? error_kind::kResponseLost
                                : error_kind::kPlatformUnavailable,
                    failed.detail);
}

object ReadObject(const nlohmann::json& from) {
  return {.key = from.at("key").get<std::string>(),
          .version = from.at("version").get<std::uint64_t>(),
          .value = from.at("value").get<std::string>()};
}

// Parses the body as JSON and converts it with `read`; fails if it has another
// form.
template <typename T, typename Read>
base::result<T> Decode(const blocking_answer& answer, std::string_view subject,
                       Read read) {
  try {
    return read(nlohmann::json::parse(answer.body));
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(
        error_kind::kMalformedMessage,
        "platform's answer for " + std::string(subject) + ": " + error.what());
  }
}

std::vector<object> ReadObjects(const nlohmann::json& from) {
  std::vector<object> objects;
  std::ranges::transform(from.at("objects"), std::back_inserter(objects),
                         ReadObject);
  std::ranges::sort(objects, {}, &object::key);
  return objects;
}

std::string PathOf(std::string_view key) {
  return "/objects/" + web::uri::encode_data_string(std::string(key));
}

std::string QueryOf(std::string_view prefix) {
  return "prefix=" + web::uri::encode_data_string(std::string(prefix));
}

class http_object_client {
 public:
  explicit http_object_client(const http_object_api_options& options)
      : options_(options), counters_(MakeCounters(*options.metrics)) {}

  base::result<object> Get(std::string_view key) {
    return Read<object>(counters_.get, PathOf(key), key, milliseconds{0},
                        ReadObject);
  }

  base::result<std::vector<object>> List(std::string_view prefix) {
    return Read<std::vector<object>>(counters_.list,
                                     "/objects?" + QueryOf(prefix), prefix,
                                     milliseconds{0}, ReadObjects);
  }

  base::result<std::vector<object>> Watch(std::string_view prefix,
                                          std::uint64_t after,
                                          milliseconds wait) {
    const std::string target = "/watch?" + QueryOf(prefix) +
                               "&after=" + std::to_string(after) +
                               "&wait_ms=" + std::to_string(wait.count());
    return Read<std::vector<object>>(counters_.watch, target, prefix, wait,
                                     ReadObjects);
  }

  base::result<std::uint64_t> Put(std::string_view key, std::string_view value,
                                  std::uint64_t if_version) {
    if (value.size() > kMaxValueBytes) {
      return base::Fail(error_kind::kTooLarge,
                        std::string(key) + " would have " +
                            std::to_string(value.size()) + " bytes; at most " +
                            std::to_string(kMaxValueBytes) + " are allowed");
    }
    return Write<std::uint64_t>(
        counters_.put, http::verb::put, key, std::string(value), if_version,
        [](const nlohmann::json& from) {
          return from.at("version").get<std::uint64_t>();
        });
  }

  base::status Remove(std::string_view key, std::uint64_t if_version) {
    return Write<base::success>(
        counters_.remove, http::verb::delete_, key, "", if_version,
        [](const nlohmann::json&) { return base::success{}; });
  }

  void Interrupt() { client_.Interrupt(); }

 private:
  template <typename T, typename Decoder>
  base::result<T> Read(base::counter& calls, const std::string& target,
                       std::string_view subject, milliseconds wait,
                       Decoder decoder) {
    if (options_.budget != nullptr && !options_.budget->TryAcquireRead()) {
      return RateLimited(subject);
    }
    ++calls;
    const blocking_answer answer =
        Call(http_request(http::verb::get, target, 11),
             {.to = options_.platform_address,
              .timeout = wait + options_.timeout,
              .is_idempotent = true});
    if (answer.end != exchange_outcome::kAnswered) return FailureOfRead(answer);
    if (answer.status != kOk) return FailureOf(answer, subject);
    return Decode<T>(answer, subject, decoder);
  }

  template <typename T, typename Decoder>
  base::result<T> Write(base::counter& calls, http::verb method,
                        std::string_view key, std::string value,
                        std::uint64_t if_version, Decoder decoder) {
    if (options_.budget != nullptr && !options_.budget->TryAcquireWrite()) {
      return RateLimited(key);
    }
    ++calls;
    counters_.sent += static_cast<std::int64_t>(value.size());
    http_request request(method, PathOf(key), 11);
    request.set(http::field::if_match, std::to_string(if_version));
    if (method == http::verb::put) {
      request.set(http::field::content_type, "application/octet-stream");
      request.body() = std::move(value);
    }
    const blocking_answer answer =
        Call(std::move(request),
             {.to = options_.platform_address, .timeout = options_.timeout});
    if (answer.end != exchange_outcome::kAnswered) {
      return FailureOfWrite(answer);
    }
    if (answer.status >= kFirstServerErrorStatus) {
      return base::Fail(error_kind::kResponseLost,
                        FailureOf(answer, key).detail);
    }
    if (answer.status != kOk) return FailureOf(answer, key);
    return Decode<T>(answer, key, decoder);
  }

  base::failure RateLimited(std::string_view subject) {
    ++counters_.rate_limited;
    return base::Fail(error_kind::kPlatformOverRate,
                      "this process is over its own budget of calls, at " +
                          std::string(subject));
  }

  blocking_answer Call(http_request request,
                       const backend_servers::blocking_call_options& options) {
    counters_.sent += kRequestHeaderBytes +
                      static_cast<std::int64_t>(request.target().size());
    blocking_answer answer = client_.Call(options, std::move(request));
    counters_.received +=
        static_cast<std::int64_t>(answer.head_bytes + answer.body.size());
    return answer;
  }

  const http_object_api_options options_;
  call_counters counters_;
  backend_servers::blocking_client client_{kAnswers};
};

}  // namespace

object_api MakeHttpObjectApi(const http_object_api_options& options) {
  const auto client = std::make_shared<http_object_client>(options);
  return {
      .get = [client](std::string_view key) { return client->Get(key); },
      .put =
          [client](std::string_view key, std::string_view value,
                   std::uint64_t if_version) {
            return client->Put(key, value, if_version);
          },
      .list =
          [client](std::string_view prefix) { return client->List(prefix); },
      .watch =
          [client](std::string_view prefix, std::uint64_t after,
                   milliseconds wait) {
            return client->Watch(prefix, after, wait);
          },
      .remove =
          [client](std::string_view key, std::uint64_t if_version) {
            return client->Remove(key, if_version);
          },
      .interrupt = [client] { client->Interrupt(); },
  };
}

}  // namespace fireflyspar::platform
