#include "lab/relay_baseline.h"

#include <arpa/inet.h>
#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <exception>

namespace fireflyspar::lab {
namespace {

using web::http::http_request;
using web::http::http_response;

// The library can't tell which port it was given, so a free one is found first.
base::address FreeAddress() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(bound);
  const bool is_bound =
      ::bind(socket, reinterpret_cast<sockaddr*>(&bound), size) == 0;
  if (is_bound) {
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
  }
  ::close(socket);
  return {.ip = "127.0.0.1", .port = ntohs(bound.sin_port)};
}

void Relay(web::http::client::http_client& client,
           const http_request& request) {
  http_request onward(request.method());
  onward.set_request_uri(request.relative_uri());
  client.request(onward)
      .then([](const http_response& answer) {
        return answer.extract_vector().then(
            [answer](const std::vector<unsigned char>& body) {
              http_response whole(answer.status_code());
              whole.set_body(body);
              return whole;
            });
      })
      .then([request](const pplx::task<http_response>& done) mutable {
        try {
          request.reply(done.get());
        } catch (const std::exception&) {
          request.reply(web::http::status_codes::BadGateway);
        }
      });
}

}  // namespace

class relay_baseline::state {
 public:
  explicit state(const base::address& target)
      : address_(FreeAddress()),
        client_("http://" + target.ToText()),
        listener_("http://" + address_.ToText()) {
    listener_.support(
        [this](const http_request& request) { Relay(client_, request); });
    listener_.open().wait();
  }
  ~state() { listener_.close().wait(); }

  base::address Address() const { return address_; }

 private:
  base::address address_;
  web::http::client::http_client client_;
  web::http::experimental::listener::http_listener listener_;
};

relay_baseline::relay_baseline(const base::address& target)
    : state_(std::make_unique<state>(target)) {}
relay_baseline::~relay_baseline() = default;

base::address relay_baseline::Address() const { return state_->Address(); }

}  // namespace fireflyspar::lab
