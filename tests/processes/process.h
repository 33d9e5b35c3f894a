#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace damaskhall::processes {

/// Child process that is killed with its handle.
class Process
{
public:
    /// Starts a program of this build. Output is appended to @p outputFile.
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &outputFile);
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    ~Process();

    pid_t id() const { return m_pid; }
    void signal(int number) const;
    /// Waits for the end and returns the exit status, or -1 if it was killed by a signal or did
    /// not end within @p seconds.
    int wait(int seconds);
    /// Kills the process and waits for its end.
    void kill();

private:
    pid_t m_pid = 0;
};

} // namespace damaskhall::processes
