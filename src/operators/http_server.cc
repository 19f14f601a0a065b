#include "operators/http_server.h"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "callers/http_service.h"

namespace fireflyspar::operators {
namespace {

using backend_servers::http_request;
using backend_servers::http_response;
namespace http = backend_servers::http;
namespace net = boost::asio;

handler_response RunHandler(const http_handler& handler,
                            const std::string& body) {
  try {
    return handler.run(body);
  } catch (const std::exception& error) {
    return ErrorResponse(base::Fail(base::error_kind::kInternal, error.what()));
  }
}

// Returns the request's path without its query.
std::string_view PathOf(const http_request& request) {
  const std::string_view target = backend_servers::ToView(request.target());
  return target.substr(0, target.find('?'));
}

handler_response Dispatch(const http_server_options& options,
                          const http_request& request) {
  const std::string_view method =
      backend_servers::ToView(request.method_string());
  const std::string_view path = PathOf(request);
  const auto found =
      std::ranges::find_if(options.handlers, [&](const http_handler& each) {
        return each.method == method && each.path == path;
      });
  if (found == options.handlers.end()) {
    return ErrorResponse(base::Fail(
        base::error_kind::kNotFound,
        "nothing answers " + std::string(method) + " " + std::string(path)));
  }
  const std::string& body = request.body();
  if (body.size() > options.max_body_bytes) {
    return ErrorResponse(
        base::Fail(base::error_kind::kTooLarge,
                   "a body of " + std::to_string(body.size()) +
                       " bytes is over the limit of " +
                       std::to_string(options.max_body_bytes)));
  }
  return RunHandler(*found, body);
}

http_response ToHttp(handler_response made) {
  http_response answer(static_cast<http::status>(made.status), 11);
  answer.set(http::field::content_type,
             backend_servers::ToBeast(made.content_type));
  answer.body() = std::move(made.body);
  answer.prepare_payload();
  return answer;
}

}  // namespace

handler_response ErrorResponse(const base::failure& failure) {
  const base::error_info& row = base::ErrorInfoFor(failure.Kind());
  const nlohmann::json body = {{"error", row.name}, {"detail", failure.detail}};
  return {.status = row.http_status, .body = body.dump() + "\n"};
}

class http_server::state {
 public:
  explicit state(http_server_options options)
      : options_(std::move(options)),
        service_(
            {.workers = kWorkers,
             .listener = {.address = options_.listen_address,
                          .handler = [this](callers::incoming_request& call) {
                            return Handle(call);
                          }}}) {}

  base::status Start() { return service_.Start(); }
  void Stop() { service_.Stop(); }

 private:
  // A handler that takes long delays only the connections of its worker.
  static constexpr int kWorkers = 2;

  net::awaitable<http_response> Handle(const callers::incoming_request& call) {
    co_return ToHttp(Dispatch(options_, call.request));
  }

  http_server_options options_;
  callers::http_service service_;
};

http_server::http_server(http_server_options options)
    : state_(std::make_unique<state>(std::move(options))) {}

http_server::~http_server() { Stop(); }

base::status http_server::Start() { return state_->Start(); }

void http_server::Stop() { state_->Stop(); }

}  // namespace fireflyspar::operators
