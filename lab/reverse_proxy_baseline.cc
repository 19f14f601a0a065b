#include "lab/reverse_proxy_baseline.h"

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

// Returns a port that is free now, or zero if there is none. The library's
// listener does not report which port it got when it binds to port 0.
std::uint16_t FreePort() {
  const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in wanted{};
  wanted.sin_family = AF_INET;
  wanted.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof wanted;
  auto* generic = reinterpret_cast<sockaddr*>(&wanted);
  const bool bound = ::bind(handle, generic, size) == 0 &&
                     ::getsockname(handle, generic, &size) == 0;
  ::close(handle);
  return bound ? ntohs(wanted.sin_port) : 0;
}

void ForwardRequest(web::http::client::http_client& client,
                    const http_request& request) {
  http_request forwarded(request.method());
  forwarded.set_request_uri(request.relative_uri());
  client.request(forwarded)
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

class reverse_proxy_baseline::state {
 public:
  explicit state(const base::address& target)
      : address_({.ip = "127.0.0.1", .port = FreePort()}),
        client_("http://" + target.ToText()),
        listener_("http://" + address_.ToText()) {
    listener_.support([this](const http_request& request) {
      ForwardRequest(client_, request);
    });
    listener_.open().wait();
  }
  ~state() { listener_.close().wait(); }

  base::address Address() const { return address_; }

 private:
  base::address address_;
  web::http::client::http_client client_;
  web::http::experimental::listener::http_listener listener_;
};

reverse_proxy_baseline::reverse_proxy_baseline(const base::address& target)
    : state_(std::make_unique<state>(target)) {}
reverse_proxy_baseline::~reverse_proxy_baseline() = default;

base::address reverse_proxy_baseline::Address() const {
  return state_->Address();
}

}  // namespace fireflyspar::lab
