#pragma once

#include "core/admission/admissioncontroller.h"
#include "io/boundedlog.h"

#include <map>
#include <ostream>

namespace damaskhall {

/// Log lines about overloads. Thread safety: none.
class AdmissionLog
{
public:
    /// Precondition: @p log outlives this object.
    explicit AdmissionLog(BoundedLog &log);

    /// Logs what changed since the last report, and one line per second and service in overload.
    void report(const AdmissionReport &report, Milliseconds now);

private:
    struct Service
    {
        bool isOverloaded = false;
        std::uint64_t overloads = 0;
        Milliseconds nextLine;
    };

    BoundedLog &m_log;
    std::map<ServiceId, Service> m_services;
};

/// Prints the metrics of the admission in the Prometheus text format. To bound the text, only some
/// routes have their own counters; all others are aggregated. Thread safety: reentrant.
void printAdmission(std::ostream &out, const AdmissionReport &report);

} // namespace damaskhall
