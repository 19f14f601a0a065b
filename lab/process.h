// A child process of the lab: the stand-ins and the nodes that an experiment or
// a failure test runs. The product itself starts no process; the lab is not
// shipped and runs on developers' machines only.
#ifndef FIREFLYSPAR_LAB_PROCESS_H_
#define FIREFLYSPAR_LAB_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <span>
#include <string>

#include "base/result.h"

namespace fireflyspar::lab {

class process {
 public:
  // Starts `command` (a path, then arguments) with both outputs appended to
  // `log_file`.
  static base::result<process> Start(std::span<const std::string> command,
                                     const std::string& log_file);

  process(process&& other) noexcept;
  process& operator=(process&& other) noexcept;
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  // Kills the process if it still runs, and waits for it.
  ~process();

  pid_t Pid() const { return pid_; }

  // Sends a signal, as in SIGKILL, SIGSTOP, SIGCONT or SIGTERM.
  void Signal(int number) const;

  // Waits for the end and gives the exit code, or 128 plus the signal.
  int Wait();

  // CPU time used so far, in seconds, and resident memory, in bytes.
  struct usage {
    double cpu_seconds = 0;
    std::size_t resident_bytes = 0;
  };
  usage Usage() const;

 private:
  explicit process(pid_t pid) : pid_(pid) {}

  pid_t pid_ = 0;  // Zero once waited for.
};

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_PROCESS_H_
