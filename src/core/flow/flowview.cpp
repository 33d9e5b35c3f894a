#include "core/flow/flowview.h"

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>
#include <xxhash.h>

namespace damaskhall {

namespace {

/// Replaces a computed cookie of zero, which would mean "no cookie".
constexpr std::uint32_t ZeroCookieSubstitute = 0x5eed5eed;
const std::vector<std::uint32_t> NoCandidates;

std::uint32_t upstreamCookieHash(UpstreamId upstream)
{
    return XXH32(&upstream.value, sizeof(upstream.value), 0);
}

// Hash in the cookies of earlier versions, which differ between the incarnations of an upstream.
// Open flows carry them while the balancers are upgraded.
std::uint32_t incarnationCookieHash(UpstreamKey upstream)
{
    const std::array<std::uint64_t, 2> words = {upstream.id.value, upstream.born.value};
    return XXH32(words.data(), sizeof(words), 0);
}

std::uint32_t routeCookieHash(Endpoint route)
{
    const std::uint64_t word = std::uint64_t{route.address} << 16 | route.port;
    return XXH32(&word, sizeof(word), 1);
}

} // namespace

FlowCookie flowCookie(UpstreamId upstream, Endpoint route)
{
    const std::uint32_t cookie = upstreamCookieHash(upstream) ^ routeCookieHash(route);
    return {cookie == 0 ? ZeroCookieSubstitute : cookie};
}

FlowView::FlowView(std::shared_ptr<const RouteTable> routes, std::vector<UpstreamRecord> records,
                   bool isCurrent, std::set<DataCentreId> evacuated)
    : m_routes(std::move(routes))
    , m_records(std::move(records))
    , m_isCurrent(isCurrent)
    , m_evacuated(std::move(evacuated))
{
    for (std::uint32_t i = 0; i < m_records.size(); ++i) {
        const UpstreamRecord &record = m_records[i];
        const bool isReady = record.health == UpstreamHealth::Ready ||
                             record.health == UpstreamHealth::Unconfirmed;
        if (isReady && isEvacuated(record.entry.dataCentre)) {
            m_evacuatedServices.insert(record.entry.service);
        } else if (isReady) {
            Candidates &candidates = m_candidates[record.entry.service];
            candidates.all.push_back(i);
            candidates.byDataCentre[record.entry.dataCentre].push_back(i);
        }
    }
    indexCookies();
}

void FlowView::indexCookies()
{
    m_cookies.reserve(2 * m_records.size());
    std::optional<UpstreamId> last;
    std::uint32_t current = 0;
    for (const UpstreamRecord &record : m_records) {
        const UpstreamKey key = record.entry.key;
        if (last != key.id) {
            last = key.id;
            current = static_cast<std::uint32_t>(findCurrent(key.id) - m_records.data());
            m_cookies.push_back({upstreamCookieHash(key.id), current});
        }
        m_cookies.push_back({incarnationCookieHash(key), current});
    }
    std::sort(m_cookies.begin(), m_cookies.end(),
              [](const CookieIndex &a, const CookieIndex &b) { return a.base < b.base; });
}

const UpstreamRecord *FlowView::find(UpstreamKey key) const
{
    const auto found = std::lower_bound(m_records.begin(), m_records.end(), key,
                                        [](const UpstreamRecord &record, UpstreamKey wanted) {
                                            return record.entry.key < wanted;
                                        });
    return found != m_records.end() && found->entry.key == key ? &*found : nullptr;
}

const UpstreamRecord *FlowView::findHolder(UpstreamKey key) const
{
    const UpstreamRecord *record = find(key);
    return record && record->health != UpstreamHealth::Replaced ? record : findCurrent(key.id);
}

const UpstreamRecord *FlowView::findCurrent(UpstreamId id) const
{
    auto found = std::lower_bound(m_records.begin(), m_records.end(), id,
                                  [](const UpstreamRecord &record, UpstreamId wanted) {
                                      return record.entry.key.id < wanted;
                                  });
    // The states are in descending order: one with an entry goes before one without.
    const UpstreamRecord *current = nullptr;
    for (; found != m_records.end() && found->entry.key.id == id; ++found) {
        if (!current || found->health <= current->health) {
            current = &*found;
        }
    }
    return current;
}

// Other programs may register entries of the same number, and hashes may collide.
bool FlowView::isBetterMatch(const UpstreamRecord &record, const UpstreamRecord &other,
                             Endpoint route) const
{
    const Route *declared = m_routes->find(route);
    const auto rank = [&](const UpstreamRecord &candidate) {
        const ServiceId service = candidate.entry.service;
        // The states are in descending order.
        return std::tuple(declared && routesTo(*declared, service),
                          m_routes->serviceNames.contains(service),
                          -static_cast<int>(candidate.health));
    };
    return rank(record) > rank(other);
}

const UpstreamRecord *FlowView::findByCookie(FlowCookie cookie, Endpoint route) const
{
    const std::uint32_t original = cookie.value == ZeroCookieSubstitute ? 0 : cookie.value;
    for (const std::uint32_t value : {cookie.value, original}) {
        const std::uint32_t base = value ^ routeCookieHash(route);
        auto found = std::lower_bound(
                m_cookies.begin(), m_cookies.end(), base,
                [](const CookieIndex &index, std::uint32_t wanted) { return index.base < wanted; });
        const UpstreamRecord *match = nullptr;
        for (; found != m_cookies.end() && found->base == base; ++found) {
            const UpstreamRecord &record = m_records[found->record];
            if (!match || isBetterMatch(record, *match, route)) {
                match = &record;
            }
        }
        if (match) {
            return match;
        }
    }
    return nullptr;
}

const std::vector<std::uint32_t> &FlowView::candidates(ServiceId service) const
{
    const auto found = m_candidates.find(service);
    return found == m_candidates.end() ? NoCandidates : found->second.all;
}

const std::vector<std::uint32_t> &FlowView::candidates(ServiceId service,
                                                       DataCentreId dataCentre) const
{
    const auto found = m_candidates.find(service);
    if (found == m_candidates.end()) {
        return NoCandidates;
    }
    const auto own = found->second.byDataCentre.find(dataCentre);
    return own == found->second.byDataCentre.end() ? NoCandidates : own->second;
}

} // namespace damaskhall
