#include "metrics/metrics.h"

#include "metrics/distribution.h"

#include <array>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

namespace damaskhall {

namespace {

// Index: the enumeration's value.
constexpr std::array<std::string_view, CoreEventCount> EventNames = {
        "flow_opened", "request_taken", "request_answered",        "request_unknown",
        "target_met",  "target_missed", "reservation_handed_over", "late_reply_dropped",
};

constexpr std::array<std::string_view, ControlEventCount> ControlEventNames = {
        "lower_revision_ignored",
        "declaration_rejected",
        "declaration_applied",
        "message_refused",
        "version_refused",
        "member_suspected",
        "member_died",
        "instance_id_taken",
        "list_entry_refused",
};

constexpr std::array<std::string_view, CoreSampleCount> SampleMetrics = {
        "damaskhall_queue_wait_milliseconds",
        "damaskhall_answer_time_milliseconds",
};

using Key = std::pair<ServiceId, ClassId>;

struct Series
{
    std::array<std::uint64_t, RefusalReasonCount> refusals{};
    std::array<std::uint64_t, RetryReasonCount> retries{};
    std::array<std::uint64_t, CoreEventCount> events{};
    std::array<std::unique_ptr<Distribution>, CoreSampleCount> samples;
};

struct Names
{
    std::string service;
    std::string workClass;
};

std::string labelsOf(const Names &names)
{
    return "service=\"" + names.service + "\",class=\"" + names.workClass + "\"";
}

const MetricInfo &infoOf(std::string_view name)
{
    for (const MetricInfo &info : metricInfos()) {
        if (info.name == name) {
            return info;
        }
    }
    return metricInfos().front();
}

void writeHeader(std::ostream &out, std::string_view name)
{
    const MetricInfo &info = infoOf(name);
    out << "# HELP " << info.name << " " << info.help << "\n";
    out << "# TYPE " << info.name << " " << info.type << "\n";
}

} // namespace

std::string_view toString(CoreEvent event)
{
    return EventNames.at(static_cast<std::size_t>(event));
}

std::string_view toString(ControlEvent event)
{
    return ControlEventNames.at(static_cast<std::size_t>(event));
}

const std::vector<MetricInfo> &metricInfos()
{
    static const std::vector<MetricInfo> infos = {
            {"damaskhall_refusals_total", "counter", "Work refused or packets dropped, by reason."},
            {"damaskhall_retries_total", "counter", "Repeated sends, by reason."},
            {"damaskhall_events_total", "counter", "Other occurrences, by event."},
            {"damaskhall_control_events_total", "counter",
             "Occurrences of the control plane, by event."},
            {"damaskhall_queue_wait_milliseconds", "summary",
             "Time from the arrival of a reservation to its permit."},
            {"damaskhall_answer_time_milliseconds", "summary",
             "Time from the arrival of a request to its answer."},
            {"damaskhall_revision", "gauge", "Revision of the declaration in force."},
            {"damaskhall_members", "gauge", "Balancers of the data centre, by state."},
            {"damaskhall_upstreams", "gauge", "Upstreams of the data centre, by state."},
            {"damaskhall_waiting", "gauge", "Reservations in the queues of this dispatcher."},
            {"damaskhall_in_progress", "gauge", "Permitted and sent requests and open uploads."},
            {"damaskhall_platform_reachable", "gauge",
             "0 while calls to the platform fail, else 1."},
            {"damaskhall_leaving", "gauge", "1 while this balancer stops gracefully, else 0."},
            {"damaskhall_evacuated", "gauge", "1 while the own data centre is evacuated, else 0."},
    };
    return infos;
}

struct Metrics::Private
{
    explicit Private(Clock metricsClock)
        : clock(std::move(metricsClock))
        , unlabelled(&series[{}])
    {
    }

    // Precondition: the mutex is held.
    Series &find(ServiceId service, ClassId workClass)
    {
        const Key key{service, workClass};
        if (const auto found = series.find(key); found != series.end()) {
            return found->second;
        }
        return names.contains(key) ? series[key] : *unlabelled;
    }

    template <std::size_t Count, typename Name>
    void writeCounters(std::ostream &out, std::string_view metric, std::string_view label,
                       std::array<std::uint64_t, Count> Series::*counters, Name nameOf) const
    {
        writeHeader(out, metric);
        for (const auto &[key, entry] : series) {
            for (std::size_t i = 0; i < Count; ++i) {
                const std::uint64_t value = (entry.*counters).at(i);
                // Only the series without labels shows zeros: there are too many others.
                if (value > 0 || &entry == unlabelled) {
                    out << metric << "{" << label << "=\"" << nameOf(i) << "\","
                        << labelsOf(namesOf(key)) << "} " << value << "\n";
                }
            }
        }
    }

    void writeControlEvents(std::ostream &out) const
    {
        constexpr std::string_view Metric = "damaskhall_control_events_total";
        writeHeader(out, Metric);
        for (std::size_t i = 0; i < controlEvents.size(); ++i) {
            out << Metric << "{event=\"" << ControlEventNames.at(i) << "\"} " << controlEvents.at(i)
                << "\n";
        }
    }

    void writeSummary(std::ostream &out, std::size_t sample) const
    {
        const std::string_view metric = SampleMetrics.at(sample);
        writeHeader(out, metric);
        for (const auto &[key, entry] : series) {
            const auto &distribution = entry.samples.at(sample);
            if (!distribution) {
                continue;
            }
            printDistribution(out, metric, labelsOf(namesOf(key)), *distribution, clock.now());
        }
    }

    Names namesOf(const Key &key) const
    {
        const auto found = names.find(key);
        return found == names.end() ? Names{} : found->second;
    }

    Clock clock;
    mutable std::mutex mutex;
    std::array<std::uint64_t, ControlEventCount> controlEvents{};
    std::map<Key, Names> names;
    /// References to elements stay valid while others are added.
    std::map<Key, Series> series;
    Series *unlabelled;
};

Metrics::Metrics(Clock clock)
    : m_d(std::make_unique<Private>(std::move(clock)))
{
}

Metrics::~Metrics() = default;

void Metrics::setDeclaration(const Declaration &declaration)
{
    std::map<Key, Names> names;
    for (const ServiceDeclaration &service : declaration.services) {
        // Some refusals know the service only.
        names[{service.id, {}}] = {service.name, ""};
        for (const ClassDeclaration &declared : service.classes) {
            names[{service.id, declared.id}] = {service.name, declared.name};
        }
    }
    const std::lock_guard lock(m_d->mutex);
    m_d->names = std::move(names);
    std::erase_if(m_d->series, [this](const auto &entry) {
        return &entry.second != m_d->unlabelled && !m_d->names.contains(entry.first);
    });
}

void Metrics::countRefusal(RefusalReason reason, ServiceId service, ClassId workClass)
{
    const std::lock_guard lock(m_d->mutex);
    ++m_d->find(service, workClass).refusals.at(static_cast<std::size_t>(reason));
}

void Metrics::countRetry(RetryReason reason, ServiceId service, ClassId workClass)
{
    const std::lock_guard lock(m_d->mutex);
    ++m_d->find(service, workClass).retries.at(static_cast<std::size_t>(reason));
}

void Metrics::countEvent(CoreEvent event, ServiceId service, ClassId workClass)
{
    const std::lock_guard lock(m_d->mutex);
    ++m_d->find(service, workClass).events.at(static_cast<std::size_t>(event));
}

void Metrics::countControlEvent(ControlEvent event)
{
    const std::lock_guard lock(m_d->mutex);
    ++m_d->controlEvents.at(static_cast<std::size_t>(event));
}

void Metrics::observe(CoreSample sample, ServiceId service, ClassId workClass,
                      Milliseconds duration)
{
    const Milliseconds now = m_d->clock.now();
    const std::lock_guard lock(m_d->mutex);
    auto &distribution = m_d->find(service, workClass).samples.at(static_cast<std::size_t>(sample));
    if (!distribution) {
        distribution = std::make_unique<Distribution>();
    }
    distribution->add(duration, now);
}

std::string Metrics::text(const std::vector<GaugeValue> &gauges) const
{
    std::ostringstream out;
    {
        const std::lock_guard lock(m_d->mutex);
        m_d->writeCounters(out, "damaskhall_refusals_total", "reason", &Series::refusals,
                           [](auto i) { return toString(static_cast<RefusalReason>(i)); });
        m_d->writeCounters(out, "damaskhall_retries_total", "reason", &Series::retries,
                           [](auto i) { return toString(static_cast<RetryReason>(i)); });
        m_d->writeCounters(out, "damaskhall_events_total", "event", &Series::events,
                           [](auto i) { return toString(static_cast<CoreEvent>(i)); });
        m_d->writeControlEvents(out);
        for (std::size_t sample = 0; sample < SampleMetrics.size(); ++sample) {
            m_d->writeSummary(out, sample);
        }
    }
    std::string_view lastName;
    for (const GaugeValue &gauge : gauges) {
        if (gauge.name != lastName) {
            writeHeader(out, gauge.name);
            lastName = gauge.name;
        }
        out << gauge.name << (gauge.labels.empty() ? "" : "{" + gauge.labels + "}") << " "
            << gauge.value << "\n";
    }
    return out.str();
}

std::vector<ClassTargets> Metrics::targets() const
{
    const std::lock_guard lock(m_d->mutex);
    std::vector<ClassTargets> targets;
    for (const auto &[key, entry] : m_d->series) {
        const auto met = entry.events.at(static_cast<std::size_t>(CoreEvent::TargetMet));
        const auto missed = entry.events.at(static_cast<std::size_t>(CoreEvent::TargetMissed));
        if (met + missed > 0) {
            targets.push_back({key.first, key.second, met, missed});
        }
    }
    return targets;
}

void connectMetrics(CoreHooks &hooks, Metrics &metrics)
{
    hooks.countRefusal = [&metrics](RefusalReason reason, ServiceId service, ClassId workClass) {
        metrics.countRefusal(reason, service, workClass);
    };
    hooks.countRetry = [&metrics](RetryReason reason, ServiceId service, ClassId workClass) {
        metrics.countRetry(reason, service, workClass);
    };
    hooks.countEvent = [&metrics](CoreEvent event, ServiceId service, ClassId workClass) {
        metrics.countEvent(event, service, workClass);
    };
    hooks.observe = [&metrics](CoreSample sample, ServiceId service, ClassId workClass,
                               Milliseconds duration) {
        metrics.observe(sample, service, workClass, duration);
    };
}

} // namespace damaskhall
