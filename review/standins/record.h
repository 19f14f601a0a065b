// What clients sent and were answered, and what servers ran: in memory for the
// check, and as lines of record.txt.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_RECORD_H_
#define FIREFLYSPAR_REVIEW_STANDINS_RECORD_H_

#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace fireflyspar::review {

enum class fact_kind { kSent, kAnswered, kArrived, kRun, kNote };

struct fact {
  fact_kind kind = fact_kind::kNote;
  double at_s = 0;         // Since the record began.
  std::string request_id;  // Empty for notes.
  std::string subject;     // The organisation, the server or the note's text.
  int status = 0;          // Of an answer; 0: the connection ended without one.
};

class record {
 public:
  explicit record(const std::string& path)
      : file_(path), begun_(steady::now()) {}

  void Add(fact_kind kind, const std::string& request_id,
           const std::string& subject, int status = 0);
  void Note(const std::string& text) { Add(fact_kind::kNote, "", text); }

  double Now() const {
    return std::chrono::duration<double>(steady::now() - begun_).count();
  }
  std::vector<fact> Facts();

 private:
  std::mutex mutex_;
  std::ofstream file_;
  steady::time_point begun_;
  std::vector<fact> facts_;
};

}  // namespace fireflyspar::review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_RECORD_H_
