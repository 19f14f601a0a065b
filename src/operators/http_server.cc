#include "operators/http_server.h"

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"

namespace fireflyspar::operators {
namespace {

namespace http = web::http;
using http::experimental::listener::http_listener;

handler_response RunHandler(const http_handler& handler,
                            const std::string& body) {
  try {
    return handler.run(body);
  } catch (const std::exception& error) {
    return ErrorResponse(base::Fail(base::error_kind::kInternal, error.what()));
  }
}

handler_response Dispatch(const http_server_options& options,
                          const std::string& method, const std::string& path,
                          const std::string& body) {
  const auto found =
      std::ranges::find_if(options.handlers, [&](const http_handler& each) {
        return each.method == method && each.path == path;
      });
  if (found == options.handlers.end()) {
    return ErrorResponse(base::Fail(base::error_kind::kNotFound,
                                    "nothing answers " + method + " " + path));
  }
  if (body.size() > options.max_body_bytes) {
    return ErrorResponse(
        base::Fail(base::error_kind::kTooLarge,
                   "a body of " + std::to_string(body.size()) +
                       " bytes is over the limit of " +
                       std::to_string(options.max_body_bytes)));
  }
  return RunHandler(*found, body);
}

void Reply(const http::http_request& request, const handler_response& answer) {
  http::http_response response(static_cast<http::status_code>(answer.status));
  response.set_body(answer.body, answer.content_type);
  // The client may have disconnected, so a failure to send is only logged.
  request.reply(response).then([](const pplx::task<void>& sent) {
    try {
      sent.get();
    } catch (const std::exception& error) {
      base::Log(base::log_level::kDebug, "operators_answer_not_sent",
                {{"why", error.what()}});
    }
  });
}

}  // namespace

handler_response ErrorResponse(const base::failure& failure) {
  const base::error_info& row = base::ErrorInfoFor(failure.Kind());
  const nlohmann::json body = {{"error", row.name}, {"detail", failure.detail}};
  return {.status = row.http_status, .body = body.dump() + "\n"};
}

void SetPoolThreads(int threads) {
  try {
    crossplat::threadpool::initialize_with_threads(
        static_cast<std::size_t>(threads));
  } catch (const std::exception& error) {
    // The pool is already in use, for example in a test with several nodes.
    base::Log(base::log_level::kDebug, "pool_size_not_set",
              {{"why", error.what()}});
  }
}

class http_server::state {
 public:
  explicit state(http_server_options options) : options_(std::move(options)) {}

  base::status Start() {
    const std::string uri = "http://" + options_.listen_address.ToText();
    try {
      listener_ = std::make_unique<http_listener>(uri);
      listener_->support(
          [this](const http::http_request& request) { Handle(request); });
      listener_->open().wait();
    } catch (const std::exception& error) {
      return base::Fail(base::error_kind::kBadSettings,
                        "cannot listen on " + uri + ": " + error.what());
    }
    return base::success{};
  }

  void Stop() {
    if (!listener_) return;
    try {
      listener_->close().wait();
    } catch (const std::exception& error) {
      base::Log(base::log_level::kDebug, "operators_port_not_closed",
                {{"why", error.what()}});
    }
    listener_.reset();
  }

 private:
  void Handle(http::http_request request) {
    request.extract_string(true).then(
        [this, request](const pplx::task<std::string>& read) {
          try {
            Reply(request, Dispatch(options_, request.method(),
                                    request.relative_uri().path(), read.get()));
          } catch (const std::exception& error) {
            Reply(request, ErrorResponse(base::Fail(
                               base::error_kind::kBadRequest, error.what())));
          }
        });
  }

  http_server_options options_;
  std::unique_ptr<http_listener> listener_;
};

http_server::http_server(http_server_options options)
    : state_(std::make_unique<state>(std::move(options))) {}

http_server::~http_server() { Stop(); }

base::status http_server::Start() { return state_->Start(); }

void http_server::Stop() { state_->Stop(); }

}  // namespace fireflyspar::operators
