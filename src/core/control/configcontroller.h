#pragma once

#include "base/milliseconds.h"
#include "config/declaration.h"
#include "core/control/configdocument.h"
#include "core/control/controlaction.h"
#include "core/control/controlhooks.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace damaskhall {

/// Holds the declaration in force. Applies only higher revisions, whatever their source. Thread
/// safety: none; the declaration it returns is immutable.
class ConfigController
{
public:
    /// Precondition: all hooks are set.
    explicit ConfigController(const ControlHooks &hooks);

    /// Handles a document from the platform. A lower revision is ignored and counted.
    void handleDocument(const ConfigDocument &document);
    /// Handles the revision that @p peer (a control endpoint) has in force; pulls a higher one.
    void handlePeerRevision(Endpoint peer, Revision revision, Milliseconds now,
                            ControlActions &actions);
    /// Returns the reply to a peer's ConfigPull.
    ConfigDelta makeDelta(const ConfigPull &pull) const;
    void handleDelta(Endpoint peer, const ConfigDelta &delta, Milliseconds now,
                     ControlActions &actions);
    void handleFailure(Endpoint peer, Milliseconds now, ControlActions &actions);
    void tick(Milliseconds now, ControlActions &actions);

    Revision revision() const { return m_document.revision; }
    const ConfigDocument &document() const { return m_document; }
    /// Never null.
    const std::shared_ptr<const Declaration> &declaration() const { return m_declaration; }

private:
    struct PullCandidate
    {
        Endpoint peer;
        Revision revision;
    };

    bool apply(ConfigDocument document);
    bool applyDelta(const ConfigDelta &delta);
    void recordChanges(const ConfigDocument &next);
    void pullFromBestCandidate(Milliseconds now, ControlActions &actions);

    ControlHooks m_hooks;
    ConfigDocument m_document;
    std::shared_ptr<const Declaration> m_declaration = std::make_shared<const Declaration>();
    /// Revision at which each section last changed, and at which each removed section was removed.
    /// A delta can be made from any revision at or above m_oldestDeltaBase.
    std::map<std::string, Revision> m_changedRevisions;
    std::map<std::string, Revision> m_removedRevisions;
    Revision m_oldestDeltaBase;
    /// Peers that reported a higher revision, latest report last.
    std::vector<PullCandidate> m_pullCandidates;
    std::optional<Endpoint> m_pullPeer;
    Milliseconds m_pullDeadline;
    bool m_needsFullDocument = false;
};

} // namespace damaskhall
