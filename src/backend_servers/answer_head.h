// Checks the head of an answer for what its syntax alone does not show: whether
// it is one that HTTP/1.1 allows. All else on a connection is no answer.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_ANSWER_HEAD_H_
#define FIREFLYSPAR_BACKEND_SERVERS_ANSWER_HEAD_H_

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace fireflyspar::backend_servers {

using answer_head = boost::beast::http::response_header<>;

// Returns why the head is that of no answer; no error if it is one. `head` was
// parsed.
boost::system::error_code CheckHead(const answer_head& head);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_ANSWER_HEAD_H_
