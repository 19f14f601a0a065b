#include "backend_servers/listening_check.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

namespace fireflyspar::backend_servers {

net::awaitable<bool> IsConnectionRefused(connection_pool& pool,
                                         base::address to,
                                         std::chrono::milliseconds timeout) {
  auto fresh = std::make_unique<connection>(pool.Executor());
  fresh->stream.expires_after(timeout);
  boost::system::error_code error;
  co_await fresh->stream.async_connect(
      ToEndpoint(to), net::redirect_error(net::use_awaitable, error));
  if (error) co_return error == net::error::connection_refused;
  boost::system::error_code ignored;
  ignored = fresh->stream.socket().set_option(tcp::no_delay(true), ignored);
  fresh->stream.expires_never();
  pool.Release(to, std::move(fresh));
  co_return false;
}

net::awaitable<bool> IsConnectionRefused(net::any_io_executor executor,
                                         base::address to,
                                         std::chrono::milliseconds timeout) {
  connection_pool pool(std::move(executor));
  const bool is_refused =
      co_await IsConnectionRefused(pool, std::move(to), timeout);
  co_return is_refused;
}

}  // namespace fireflyspar::backend_servers
