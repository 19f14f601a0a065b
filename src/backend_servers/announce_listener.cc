#include "backend_servers/announce_listener.h"

#include <exception>
#include <nlohmann/json.hpp>

#include "backend_servers/announcement.h"

namespace fireflyspar::backend_servers {
namespace {

base::status Take(gate& target, const std::string& text) {
  const auto heard = ParseAnnouncement(text);
  if (!heard) return heard.Failure();
  return target.Announce(*heard);
}

void Reply(web::http::http_request request, const base::status& taken) {
  if (taken) {
    request.reply(web::http::status_codes::NoContent);
    return;
  }
  const base::answer& row = base::AnswerFor(taken.Failure().Kind());
  const nlohmann::json body = {{"error", row.name},
                               {"detail", taken.Failure().detail}};
  request.reply(
      static_cast<web::http::status_code>(row.http_status),
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      "application/json");
}

}  // namespace

void HandleAnnounce(gate& target, web::http::http_request request) {
  request.extract_string(true).then([&target, request](
                                        const pplx::task<std::string>& body) {
    try {
      Reply(request, Take(target, body.get()));
    } catch (const std::exception& broken) {
      Reply(request, base::Fail(base::error_kind::kBadRequest, broken.what()));
    }
  });
}

}  // namespace fireflyspar::backend_servers
