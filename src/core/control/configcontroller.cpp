#include "core/control/configcontroller.h"

#include "config/declarationparser.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

namespace {

constexpr Milliseconds PullTimeout = 1_s;
constexpr std::size_t MaxPullCandidates = 8;
/// Maximum number of removed sections that are tracked; beyond it the oldest delta base is raised.
constexpr std::size_t MaxRemovedSections = 1024;

} // namespace

ConfigController::ConfigController(const ControlHooks &hooks)
    : m_hooks(hooks)
{
}

void ConfigController::handleDocument(const ConfigDocument &document)
{
    if (document.revision < m_document.revision) {
        m_hooks.countEvent(ControlEvent::LowerRevisionIgnored);
        return;
    }
    if (document.revision > m_document.revision) {
        apply(document);
    }
}

bool ConfigController::apply(ConfigDocument document)
{
    auto parsed = parseDeclaration(document.text(),
                                   "revision " + std::to_string(document.revision.value));
    if (!parsed) {
        m_hooks.countEvent(ControlEvent::DeclarationRejected);
        return false;
    }
    parsed.assume_value().revision = document.revision;
    recordChanges(document);
    m_declaration = std::make_shared<const Declaration>(std::move(parsed.assume_value()));
    m_document = std::move(document);
    std::erase_if(m_pullCandidates, [this](const PullCandidate &candidate) {
        return candidate.revision <= m_document.revision;
    });
    m_hooks.countEvent(ControlEvent::DeclarationApplied);
    return true;
}

// If several revisions are applied in one step, a changed section gets the last of them. A delta
// may thus contain more sections than needed, but never fewer.
void ConfigController::recordChanges(const ConfigDocument &next)
{
    if (m_document.revision == Revision{} || m_removedRevisions.size() > MaxRemovedSections) {
        m_oldestDeltaBase = next.revision;
        m_changedRevisions.clear();
        m_removedRevisions.clear();
        return;
    }
    for (const auto &[name, text] : next.sections) {
        const auto old = m_document.sections.find(name);
        if (old == m_document.sections.end() || old->second != text) {
            m_changedRevisions[name] = next.revision;
            m_removedRevisions.erase(name);
        }
    }
    for (const auto &[name, text] : m_document.sections) {
        if (!next.sections.contains(name)) {
            m_removedRevisions[name] = next.revision;
            m_changedRevisions.erase(name);
        }
    }
}

void ConfigController::handlePeerRevision(Endpoint peer, Revision revision, Milliseconds now,
                                          ControlActions &actions)
{
    if (revision <= m_document.revision) {
        return;
    }
    std::erase_if(m_pullCandidates,
                  [peer](const PullCandidate &candidate) { return candidate.peer == peer; });
    if (m_pullCandidates.size() == MaxPullCandidates) {
        m_pullCandidates.erase(m_pullCandidates.begin());
    }
    m_pullCandidates.push_back({peer, revision});
    if (!m_pullPeer) {
        pullFromBestCandidate(now, actions);
    }
}

void ConfigController::pullFromBestCandidate(Milliseconds now, ControlActions &actions)
{
    m_pullPeer.reset();
    if (m_pullCandidates.empty()) {
        return;
    }
    const auto best = std::max_element(m_pullCandidates.begin(), m_pullCandidates.end(),
                                       [](const PullCandidate &a, const PullCandidate &b) {
                                           return a.revision <= b.revision;
                                       });
    m_pullPeer = best->peer;
    m_pullDeadline = now + PullTimeout;
    // A peer that does not reply is asked again only after its next announcement or probe.
    m_pullCandidates.erase(best);
    const Revision knownRevision = m_needsFullDocument ? Revision{} : m_document.revision;
    actions.emplace_back(makeRequest(*m_pullPeer, ConfigPull{knownRevision}));
}

ConfigDelta ConfigController::makeDelta(const ConfigPull &pull) const
{
    ConfigDelta delta;
    delta.revision = m_document.revision;
    delta.base = pull.knownRevision;
    delta.change = m_document.change;
    delta.contentHash = m_document.contentHash();
    if (pull.knownRevision >= m_document.revision) {
        return delta;
    }
    const bool isFull = pull.knownRevision == Revision{} || pull.knownRevision < m_oldestDeltaBase;
    if (isFull) {
        delta.base = Revision{};
        for (const auto &[name, text] : m_document.sections) {
            delta.changed.push_back({name, text});
        }
        return delta;
    }
    for (const auto &[name, revision] : m_changedRevisions) {
        if (revision > pull.knownRevision) {
            delta.changed.push_back({name, m_document.sections.at(name)});
        }
    }
    for (const auto &[name, revision] : m_removedRevisions) {
        if (revision > pull.knownRevision) {
            delta.removed.push_back(name);
        }
    }
    return delta;
}

void ConfigController::handleDelta(Endpoint peer, const ConfigDelta &delta, Milliseconds now,
                                   ControlActions &actions)
{
    if (m_pullPeer != peer) {
        return;
    }
    m_pullPeer.reset();
    if (delta.revision < m_document.revision) {
        m_hooks.countEvent(ControlEvent::LowerRevisionIgnored);
    } else if (delta.revision > m_document.revision && !applyDelta(delta) && !m_needsFullDocument) {
        // The peer's history differs from the local one: pull its full document.
        m_needsFullDocument = true;
        m_pullCandidates.push_back({peer, delta.revision});
        pullFromBestCandidate(now, actions);
        return;
    }
    m_needsFullDocument = false;
    pullFromBestCandidate(now, actions);
}

bool ConfigController::applyDelta(const ConfigDelta &delta)
{
    const bool isFull = delta.base == Revision{};
    if (!isFull && delta.base != m_document.revision) {
        return false;
    }
    ConfigDocument next;
    next.revision = delta.revision;
    next.change = delta.change;
    if (!isFull) {
        next.sections = m_document.sections;
    }
    for (const std::string &name : delta.removed) {
        next.sections.erase(name);
    }
    for (const ConfigSection &section : delta.changed) {
        next.sections[section.name] = section.text;
    }
    return next.contentHash() == delta.contentHash && apply(std::move(next));
}

void ConfigController::handleFailure(Endpoint peer, Milliseconds now, ControlActions &actions)
{
    if (m_pullPeer == peer) {
        pullFromBestCandidate(now, actions);
    }
}

void ConfigController::tick(Milliseconds now, ControlActions &actions)
{
    if (m_pullPeer && now >= m_pullDeadline) {
        pullFromBestCandidate(now, actions);
    }
}

} // namespace damaskhall
