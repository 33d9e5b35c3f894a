#include "core/filterchain.h"

#include <cassert>
#include <utility>

namespace damaskhall {

namespace {

using Refused = std::optional<RefusalReason>;

// A balancer that has just started cannot tell which services are declared. It knows no upstream
// either, and this reason lets the caller come back.
Refused filterDeclaration(const AdmissionContext &context)
{
    if (*context.view.declaration == Declaration{}) {
        return RefusalReason::NoUpstream;
    }
    return std::nullopt;
}

Refused filterService(const AdmissionContext &context)
{
    if (!context.view.declaration->findService(context.service)) {
        return RefusalReason::UnknownService;
    }
    return std::nullopt;
}

Refused filterClass(const AdmissionContext &context)
{
    const auto *declared = context.view.declaration->findClass(context.service, context.workClass);
    if (!declared) {
        return RefusalReason::UnknownClass;
    }
    const bool isFeed = declared->kind == WorkKind::Feed;
    if (isFeed != context.opensFeed) {
        return RefusalReason::WrongKind;
    }
    return std::nullopt;
}

Refused filterWorkspace(const AdmissionContext &context)
{
    if (!context.view.declaration->hasWorkspace(context.workspace)) {
        return RefusalReason::UnknownWorkspace;
    }
    return std::nullopt;
}

Refused filterDeadline(const AdmissionContext &context)
{
    if (context.remaining <= 0_ms) {
        return RefusalReason::DeadlinePassed;
    }
    return std::nullopt;
}

Refused filterUpstreams(const AdmissionContext &context)
{
    if (context.liveUpstreams == 0) {
        return RefusalReason::NoUpstream;
    }
    return std::nullopt;
}

} // namespace

void FilterChain::append(Filter filter)
{
    assert(filter);
    m_filters.push_back(std::move(filter));
}

std::optional<RefusalReason> FilterChain::run(const AdmissionContext &context) const
{
    for (const Filter &filter : m_filters) {
        if (const Refused refused = filter(context)) {
            return refused;
        }
    }
    return std::nullopt;
}

FilterChain FilterChain::forAdmission()
{
    FilterChain chain;
    chain.append(filterDeclaration);
    chain.append(filterService);
    chain.append(filterClass);
    chain.append(filterWorkspace);
    chain.append(filterDeadline);
    chain.append(filterUpstreams);
    return chain;
}

} // namespace damaskhall
