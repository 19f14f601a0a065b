// Lends the body of a request to the message that is sent, so that it is in
// memory once.
#ifndef FIREFLYSPAR_PROXY_BODY_LOAN_H_
#define FIREFLYSPAR_PROXY_BODY_LOAN_H_

#include "backend_servers/http.h"

namespace fireflyspar::proxy {

// Moves the body of one message to another for its lifetime.
class body_loan {
 public:
  body_loan(backend_servers::http_request& owner,
            backend_servers::http_request& borrower)
      : owner_(owner), borrower_(borrower) {
    owner_.body().swap(borrower_.body());
  }
  ~body_loan() { owner_.body().swap(borrower_.body()); }
  body_loan(const body_loan&) = delete;
  body_loan& operator=(const body_loan&) = delete;

 private:
  backend_servers::http_request& owner_;
  backend_servers::http_request& borrower_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_BODY_LOAN_H_
