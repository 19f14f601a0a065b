// The lab's HTTP client: sends one request to a node or a stand-in by
// cpprestsdk.
#ifndef FIREFLYSPAR_LAB_HTTP_H_
#define FIREFLYSPAR_LAB_HTTP_H_

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/result.h"

namespace fireflyspar::lab {

struct http_call {
  std::string method = "GET";
  base::address target;
  std::string path = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  std::chrono::milliseconds timeout{5000};
};

struct http_reply {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Sends the request and waits for the answer. Fails with kPeerUnavailable
// unless a complete answer arrives within the timeout.
base::result<http_reply> Request(const http_call& call);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_HTTP_H_
