#include "core/flow/spillover.h"

#include <utility>

namespace damaskhall {

Spillover::Spillover(DataCentreId dataCentre, bool isEnabled, TransitionHook reportTransition)
    : m_dataCentre(dataCentre)
    , m_isEnabled(isEnabled)
    , m_reportTransition(std::move(reportTransition))
    , m_load(dataCentre)
{
}

void Spillover::handleView(const FlowView &view)
{
    if (!m_isEnabled) {
        return;
    }
    m_dataCentres.clear();
    for (const UpstreamRecord &record : view.upstreams()) {
        m_dataCentres[record.entry.service].insert(record.entry.dataCentre);
    }
}

void Spillover::recordAnswer(const FlowView &view, UpstreamKey upstream, double refusalFactor,
                             const ObservedAnswer &answer, AnswerKind kind, Milliseconds now)
{
    const UpstreamRecord *record = m_isEnabled ? view.find(upstream) : nullptr;
    if (record) {
        m_load.record({record->entry.service, record->entry.dataCentre, answer.route, kind,
                       answer.duration, 1.0 / refusalFactor},
                      now);
    }
}

void Spillover::tick(const FlowView &view, Milliseconds now)
{
    if (!view.isUsable()) {
        return;
    }
    for (const auto &[service, dataCentres] : m_dataCentres) {
        std::vector<SpillController::Remote> remotes;
        for (const DataCentreId dataCentre : dataCentres) {
            if (dataCentre != m_dataCentre) {
                remotes.push_back({dataCentre, view.candidates(service, dataCentre).size(),
                                   m_load.find(service, dataCentre, now)});
            }
        }
        const auto own = m_load.find(service, m_dataCentre, now);
        m_controller.update(service, own, remotes);
        const bool isSpilling = m_controller.share(service) > 0;
        if (isSpilling == m_spilling.contains(service)) {
            continue;
        }
        if (isSpilling) {
            m_spilling.insert(service);
        } else {
            m_spilling.erase(service);
        }
        if (m_reportTransition) {
            m_reportTransition(view.routes().serviceName(service), isSpilling,
                               own.value_or(LoadEstimate{}));
        }
    }
}

std::optional<DataCentreId> Spillover::choose(ServiceId service, const RandomSource &random) const
{
    return m_controller.choose(service, random);
}

void Spillover::countFlow(DataCentreId dataCentre, std::optional<DataCentreId> preferred)
{
    if (dataCentre != m_dataCentre) {
        ++(dataCentre == preferred ? m_spilledFlows : m_otherRemoteFlows);
    }
}

void Spillover::addStatus(CapacityStatus &status, const FlowView &view, Milliseconds now) const
{
    status.spilledFlows = m_spilledFlows;
    status.otherRemoteFlows = m_otherRemoteFlows;
    if (!view.isUsable()) {
        return;
    }
    for (const auto &[service, dataCentres] : m_dataCentres) {
        const std::string name = view.routes().serviceName(service);
        status.spills.push_back({name, m_controller.share(service)});
        for (const DataCentreId dataCentre : dataCentres) {
            if (const auto load = m_load.find(service, dataCentre, now)) {
                status.loads.push_back({name, dataCentre, dataCentre == m_dataCentre,
                                        load->refusalShare, load->slowdown, load->age});
            }
        }
    }
}

} // namespace damaskhall
