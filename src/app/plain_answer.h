// Answers that are for people and monitoring, not for callers.
#ifndef FIREFLYSPAR_APP_PLAIN_ANSWER_H_
#define FIREFLYSPAR_APP_PLAIN_ANSWER_H_

#include <string>
#include <utility>

#include "backend_servers/http.h"

namespace fireflyspar::app {

inline backend_servers::http_response PlainAnswer(
    backend_servers::http::status status, std::string text) {
  backend_servers::http_response answer(status, 11);
  answer.set(backend_servers::http::field::content_type, "text/plain");
  answer.body() = std::move(text);
  answer.prepare_payload();
  return answer;
}

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_PLAIN_ANSWER_H_
