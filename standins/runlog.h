#pragma once

#include "base/milliseconds.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <utility>

// File that all upstreams of a run append to, one line per occurrence, and that the caller compares
// with what it was told. Lines: "run SERVICE BODY", "stored SERVICE UPLOAD HASH" and, once a
// second, "busy SERVICE UPSTREAM SLOTS BUSY_MS NOW_MS".

class RunLogWriter
{
public:
    RunLogWriter(const std::string &path, std::string service)
        : m_file(path, std::ios::app)
        , m_service(std::move(service))
    {
    }

    void run(const std::string &body) { write("run " + m_service + " " + body); }

    void stored(const std::string &upload, std::uint64_t hash)
    {
        write("stored " + m_service + " " + upload + " " + std::to_string(hash));
    }

    void busy(std::uint64_t upstream, unsigned slots, double busyMs, damaskhall::Milliseconds now)
    {
        std::ostringstream line;
        line << "busy " << m_service << " " << upstream << " " << slots << " " << busyMs << " "
             << now.value;
        write(line.str());
    }

private:
    // One write per line, so that lines of several processes do not mix.
    void write(const std::string &line) { m_file << (line + "\n") << std::flush; }

    std::ofstream m_file;
    std::string m_service;
};

/// Content of the file, by service.
class RunLog
{
public:
    struct Service
    {
        /// Runs by body of the request.
        std::map<std::string, int> runs;
        /// Content hash by upload.
        std::map<std::string, std::uint64_t> stored;
        /// Busy milliseconds per slot and upstream between the first and the last line read.
        std::map<std::uint64_t, double> busyPerSlot;

        /// Highest busy share per slot divided by the mean; zero without work.
        double imbalance() const
        {
            double sum = 0;
            double highest = 0;
            for (const auto &[upstream, busyMs] : busyPerSlot) {
                sum += busyMs;
                highest = std::max(highest, busyMs);
            }
            return sum > 0 ? highest * static_cast<double>(busyPerSlot.size()) / sum : 0;
        }
    };

    /// Reads the file. Busy times count from @p from on.
    RunLog(const std::string &path, damaskhall::Milliseconds from)
    {
        std::ifstream file(path);
        std::string line;
        std::map<std::uint64_t, double> first;
        while (std::getline(file, line)) {
            std::istringstream words(line);
            std::string kind;
            std::string name;
            words >> kind >> name;
            Service &service = m_services[name];
            if (kind == "run") {
                std::string body;
                words >> body;
                ++service.runs[body];
            } else if (kind == "stored") {
                std::string upload;
                std::uint64_t hash = 0;
                words >> upload >> hash;
                service.stored[upload] = hash;
            } else if (kind == "busy") {
                std::uint64_t upstream = 0;
                unsigned slots = 0;
                double busyMs = 0;
                std::int64_t now = 0;
                words >> upstream >> slots >> busyMs >> now;
                if (now >= from.value && slots > 0) {
                    const double start = first.try_emplace(upstream, busyMs).first->second;
                    service.busyPerSlot[upstream] = (busyMs - start) / slots;
                }
            }
        }
    }

    const Service &service(const std::string &name) { return m_services[name]; }

private:
    std::map<std::string, Service> m_services;
};
