#include "processes/process.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <utility>

extern char **environ;

namespace damaskhall::processes {

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &outputFile)
{
    const std::string path = std::string(DAMASKHALL_BIN_DIR) + "/" + program;
    std::vector<char *> argv{const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ) != 0) {
        m_pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, 0))
{
}

Process &Process::operator=(Process &&other) noexcept
{
    kill();
    m_pid = std::exchange(other.m_pid, 0);
    return *this;
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

int Process::wait(int seconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (m_pid > 0 && std::chrono::steady_clock::now() < end) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return -1;
}

void Process::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

} // namespace damaskhall::processes
