// Remembers what the gates of other instances told of their servers: limits,
// and which are leaving. A gate that is restarted has forgotten it and learns
// it again from the offers of routers; a server that leaves is not offered
// requests whatever its gate and its entry in the store still say.
#ifndef FIREFLYSPAR_PROXY_NOTICE_BOOK_H_
#define FIREFLYSPAR_PROXY_NOTICE_BOOK_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "decisions/server_directory.h"
#include "proxy/gate_messages.h"

namespace fireflyspar::proxy {

class notice_book {
 public:
  // Records what a gate told with an answer; nullopt: nothing is out of the
  // ordinary now.
  void Put(std::string_view instance, const std::optional<told_notices>& told);

  // Returns what was told of the start of the server that the entry names.
  std::optional<told_notices> Find(const decisions::server_entry& entry) const;

  bool IsLeaving(const decisions::server_entry& entry) const;

  // Deletes what does not apply to the entries that are known now.
  void KeepOnly(const decisions::server_directory& directory);

 private:
  std::map<std::string, told_notices, std::less<>> told_;  // By instance.
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_NOTICE_BOOK_H_
