#include "platform/http_object_api.h"

#include <cpprest/http_client.h>

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace fireflyspar::platform {
namespace {

using base::error_kind;
using std::chrono::milliseconds;
using web::http::methods;

constexpr std::size_t kMaxValueBytes = 1'000'000;
// Bytes that cpprestsdk adds to each request: request line, host, user agent
// and length.
constexpr std::int64_t kRequestHeaderBytes = 150;
constexpr std::int64_t kStatusLineBytes = 17;
constexpr std::int64_t kHeaderSeparatorBytes = 4;

struct reply {
  int status = 0;
  std::string body;
};

// A call that failed without an HTTP response.
struct failed_call {
  bool never_connected = false;
  bool interrupted = false;
  std::string detail;
};

// Holds the outcome of one call. It is shared with the call's completion
// handler, which may run after the caller has given up waiting.
struct pending_call {
  std::optional<std::variant<reply, failed_call>> outcome;
};

std::int64_t SizeOf(const web::http::http_response& response) {
  std::int64_t bytes = kStatusLineBytes;
  for (const auto& [name, value] : response.headers()) {
    bytes += static_cast<std::int64_t>(name.size() + value.size()) +
             kHeaderSeparatorBytes;
  }
  return bytes;
}

bool NeverConnected(const std::error_code& code) {
  return code == std::errc::host_unreachable ||
         code == std::errc::network_unreachable ||
         code == std::errc::connection_refused;
}

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

base::failure FailureOf(const reply& answer, std::string_view subject) {
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

base::failure FailureOfRead(const failed_call& broken) {
  return base::Fail(broken.interrupted ? error_kind::kCancelled
                                       : error_kind::kPlatformUnavailable,
                    broken.detail);
}

// Only a connection that was never established proves that nothing was written.
base::failure FailureOfWrite(const failed_call& broken) {
  return base::Fail(broken.never_connected ? error_kind::kPlatformUnavailable
                                           : error_kind::kResponseLost,
                    broken.detail);
}

object ReadObject(const nlohmann::json& from) {
  return {.key = from.at("key").get<std::string>(),
          .version = from.at("version").get<std::uint64_t>(),
          .value = from.at("value").get<std::string>()};
}

// Parses the body as JSON and converts it with `read`; fails if it has another
// form.
template <typename T, typename Read>
base::result<T> Decode(const reply& answer, std::string_view subject,
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

class http_object_client
    : public std::enable_shared_from_this<http_object_client> {
 public:
  explicit http_object_client(const http_object_api_options& options)
      : options_(options),
        uri_("http://" + options.platform_address.ToText()),
        counters_(MakeCounters(*options.metrics)),
        reader_(uri_, Config(options.timeout)) {}

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
        counters_.put, methods::PUT, key, std::string(value), if_version,
        [](const nlohmann::json& from) {
          return from.at("version").get<std::uint64_t>();
        });
  }

  base::status Remove(std::string_view key, std::uint64_t if_version) {
    return Write<base::success>(
        counters_.remove, methods::DEL, key, "", if_version,
        [](const nlohmann::json&) { return base::success{}; });
  }

  void Interrupt() {
    const std::lock_guard lock(mutex_);
    interrupted_ = true;
    changed_.notify_all();
  }

 private:
  using client = web::http::client::http_client;
  using client_config = web::http::client::http_client_config;
  using outcome = std::variant<reply, failed_call>;

  static client_config Config(milliseconds timeout) {
    client_config config;
    config.set_timeout(timeout);
    config.set_max_redirects(0);
    return config;
  }

  template <typename T, typename Decoder>
  base::result<T> Read(base::counter& calls, const std::string& target,
                       std::string_view subject, milliseconds wait,
                       Decoder decoder) {
    if (options_.budget != nullptr && !options_.budget->TryAcquireRead()) {
      return RateLimited(subject);
    }
    ++calls;
    web::http::http_request request(methods::GET);
    request.set_request_uri(target);
    outcome got = wait.count() == 0 ? Call(reader_, request, options_.timeout)
                                    : CallWaiting(request, wait);
    if (const auto* broken = std::get_if<failed_call>(&got)) {
      return FailureOfRead(*broken);
    }
    const reply& answer = std::get<reply>(got);
    if (answer.status != web::http::status_codes::OK) {
      return FailureOf(answer, subject);
    }
    return Decode<T>(answer, subject, decoder);
  }

  // Sends a write over a new connection. If a reused connection breaks before
  // the response, cpprestsdk resends the request by itself, and the second copy
  // of a conditional write would fail with a conflict caused by the first.
  template <typename T, typename Decoder>
  base::result<T> Write(base::counter& calls, const web::http::method& method,
                        std::string_view key, std::string value,
                        std::uint64_t if_version, Decoder decoder) {
    if (options_.budget != nullptr && !options_.budget->TryAcquireWrite()) {
      return RateLimited(key);
    }
    ++calls;
    counters_.sent += static_cast<std::int64_t>(value.size());
    web::http::http_request request(method);
    request.set_request_uri(PathOf(key));
    request.headers().add("If-Match", std::to_string(if_version));
    if (method == methods::PUT) {
      request.set_body(std::move(value), "application/octet-stream");
    }
    client writer(uri_, Config(options_.timeout));
    outcome got = Call(writer, request, options_.timeout);
    if (const auto* broken = std::get_if<failed_call>(&got)) {
      return FailureOfWrite(*broken);
    }
    const reply& answer = std::get<reply>(got);
    if (answer.status >= 500) {
      return base::Fail(error_kind::kResponseLost,
                        FailureOf(answer, key).detail);
    }
    if (answer.status != web::http::status_codes::OK) {
      return FailureOf(answer, key);
    }
    return Decode<T>(answer, key, decoder);
  }

  outcome CallWaiting(web::http::http_request& request, milliseconds wait) {
    const milliseconds limit = wait + options_.timeout;
    client waiting(uri_, Config(limit));
    return Call(waiting, request, limit);
  }

  base::failure RateLimited(std::string_view subject) {
    ++counters_.rate_limited;
    return base::Fail(error_kind::kPlatformOverRate,
                      "this process is over its own budget of calls, at " +
                          std::string(subject));
  }

  // Sends the request and waits up to `limit` for the whole response.
  outcome Call(client& http_client, web::http::http_request& request,
               milliseconds limit) {
    counters_.sent +=
        kRequestHeaderBytes +
        static_cast<std::int64_t>(request.request_uri().to_string().size());
    const auto pending = std::make_shared<pending_call>();
    pplx::cancellation_token_source cancellation;
    try {
      Begin(http_client, request, pending, cancellation);
    } catch (const std::exception& error) {
      return failed_call{.detail = error.what()};
    }
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, limit,
                      [&] { return pending->outcome || interrupted_; });
    if (pending->outcome) return std::move(*pending->outcome);
    const bool interrupted = interrupted_;
    lock.unlock();
    cancellation.cancel();
    return failed_call{
        .interrupted = interrupted,
        .detail = interrupted ? "the process is stopping"
                              : "no answer from the platform within " +
                                    std::to_string(limit.count()) + " ms"};
  }

  void Begin(client& http_client, web::http::http_request& request,
             const std::shared_ptr<pending_call>& pending,
             const pplx::cancellation_token_source& cancellation) {
    const auto self = shared_from_this();
    http_client.request(request, cancellation.get_token())
        .then([self](const web::http::http_response& response) {
          self->counters_.received += SizeOf(response);
          return response.extract_vector().then(
              [status = response.status_code()](
                  const std::vector<unsigned char>& bytes) {
                return reply{.status = status,
                             .body = std::string(bytes.begin(), bytes.end())};
              });
        })
        .then([self, pending](const pplx::task<reply>& finished) {
          self->Finish(*pending, finished);
        });
  }

  void Finish(pending_call& pending, const pplx::task<reply>& finished) {
    outcome got = ToOutcome(finished);
    const std::lock_guard lock(mutex_);
    pending.outcome = std::move(got);
    changed_.notify_all();
  }

  outcome ToOutcome(const pplx::task<reply>& finished) {
    try {
      reply got = finished.get();
      counters_.received += static_cast<std::int64_t>(got.body.size());
      return got;
    } catch (const web::http::http_exception& error) {
      return failed_call{.never_connected = NeverConnected(error.error_code()),
                         .detail = error.what()};
    } catch (const std::exception& error) {
      return failed_call{.detail = error.what()};
    }
  }

  const http_object_api_options options_;
  const web::uri uri_;
  call_counters counters_;
  client reader_;

  std::mutex mutex_;  // Guards the members below and every pending_call.
  std::condition_variable changed_;
  bool interrupted_ = false;
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
