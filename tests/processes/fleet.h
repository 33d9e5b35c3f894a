#pragma once

#include "base/endpoint.h"
#include "base/milliseconds.h"
#include "processes/process.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace damaskhall::processes {

/// Row of the caller's final table.
struct TableRow
{
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t doubled = 0;
    std::uint64_t lost = 0;
    std::uint64_t falselyRefused = 0;
    std::uint64_t opened = 0;
    std::uint64_t broken = 0;
    std::uint64_t alive = 0;
};

/// Declaration that a balancer has in force.
struct DeclarationInForce
{
    /// Zero if the balancer did not answer.
    std::uint64_t revision = 0;
    std::string text;
};

/// One data centre of real processes on loopback, with ports of its own.
class Fleet
{
public:
    Fleet();

    /// Starts platform, fabric, @p balancers, four upstreams of the workshop board with speeds of
    /// 4 to 1 and two of the pattern desk. Returns false if they do not serve in time.
    /// Options in @p upstreamFaults are added to the command line of each upstream.
    bool start(int balancers, const std::vector<std::string> &upstreamFaults = {});

    /// Starts a balancer under a new id and waits until it serves. Returns its id, or 0 if it does
    /// not serve in time.
    int addBalancer();
    Process &balancer(int id) { return m_balancers.at(id); }
    Process &upstream(int id) { return m_upstreams.at(id); }
    Process &platform() { return *m_platform; }

    /// Starts callers that hold 20 feeds and offer 40 claims and 2 uploads a second.
    void startCallers(int seconds);
    /// Waits for the callers and returns their table by class.
    std::map<std::string, TableRow> finishCallers();

    /// Runs damaskhallctl against one balancer and returns its exit status.
    int runCtl(int balancer, const std::vector<std::string> &arguments);
    /// Writes a file into the fleet's folder and returns its path.
    std::string writeFile(const std::string &name, const std::string &text) const;
    DeclarationInForce declarationOf(int balancer) const;
    /// Makes the platform return to its keys of @p age ago. Returns false if it did not answer.
    bool restorePlatform(Milliseconds age);

    /// Returns all output of the processes, for failure messages.
    std::string output() const;

private:
    void startBalancer(int id);
    void startUpstream(int id, const std::string &service, int serviceMs);
    bool writeDeclaration();
    bool servesThrough(int balancer) const;
    std::string address(int offset) const;
    std::string file(const std::string &name) const { return m_folder + "/" + name; }

    std::string m_folder;
    std::vector<std::string> m_upstreamFaults;
    std::uint16_t m_basePort;
    std::unique_ptr<Process> m_platform;
    std::unique_ptr<Process> m_fabric;
    std::unique_ptr<Process> m_callers;
    std::map<int, Process> m_balancers;
    std::map<int, Process> m_upstreams;
    int m_callSeconds = 0;
};

} // namespace damaskhall::processes
