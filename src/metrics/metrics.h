#pragma once

#include "base/clock.h"
#include "config/declaration.h"
#include "core/control/controlhooks.h"
#include "core/corehooks.h"
#include "core/reasons.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace damaskhall {

/// Description of one metric for the text form and docs/metrics.md.
struct MetricInfo
{
    std::string_view name;
    /// "counter", "gauge" or "summary".
    std::string_view type;
    std::string_view help;
};

/// Value of a metric that is read when the text is produced.
struct GaugeValue
{
    std::string_view name;
    /// Labels such as 'state="alive"'; may be empty.
    std::string labels;
    double value = 0;
};

/// Requests of one class that met or missed their target since the process started.
struct ClassTargets
{
    ServiceId service;
    ClassId workClass;
    std::uint64_t met = 0;
    std::uint64_t missed = 0;
};

/// Returns the name of an event in lower case with underscores. Thread safety: reentrant.
std::string_view toString(CoreEvent event);
/// Returns the name of an event in lower case with underscores. Thread safety: reentrant.
std::string_view toString(ControlEvent event);

/// Returns every metric of a balancer. Thread safety: reentrant.
const std::vector<MetricInfo> &metricInfos();

/// Counters and distributions of one process, by service and class.
///
/// Services and classes that are not declared are counted without labels, so that foreign packets
/// cannot make the number of series grow.
/// Thread safety: any thread. Counting takes a mutex that is contended only while the text is
/// produced, and allocates only at the first count of a class.
class Metrics
{
public:
    explicit Metrics(Clock clock);
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Sets the names of services and classes. Counts of classes that are no longer declared are
    /// dropped.
    void setDeclaration(const Declaration &declaration);

    void countRefusal(RefusalReason reason, ServiceId service, ClassId workClass);
    void countRetry(RetryReason reason, ServiceId service, ClassId workClass);
    void countEvent(CoreEvent event, ServiceId service, ClassId workClass);
    void countControlEvent(ControlEvent event);
    void observe(CoreSample sample, ServiceId service, ClassId workClass, Milliseconds duration);

    /// Returns all metrics and @p gauges in the Prometheus text format, version 0.0.4.
    std::string text(const std::vector<GaugeValue> &gauges) const;

    /// Returns the targets met and missed of every class with at least one.
    std::vector<ClassTargets> targets() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

/// Sets the counting hooks of @p hooks to @p metrics, which must outlive their use.
void connectMetrics(CoreHooks &hooks, Metrics &metrics);

} // namespace damaskhall
