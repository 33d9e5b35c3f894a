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

/// Keeps the declaration in force. Only higher revisions are applied, from whatever source.
/// Thread safety: none; the declaration it returns is immutable.
class ConfigController
{
public:
    /// Precondition: all hooks are set.
    explicit ConfigController(const ControlHooks &hooks);

    /// Takes a document from the platform. A lower revision is ignored and counted.
    void handleDocument(const ConfigDocument &document);
    /// Takes the revision that @p peer (a control endpoint) has in force; pulls a higher one.
    void noteRevision(Endpoint peer, Revision revision, Milliseconds now, ControlActions &actions);
    /// Returns the answer to a peer's pull.
    ConfigDelta answer(const ConfigPull &pull) const;
    void handleDelta(Endpoint peer, const ConfigDelta &delta, Milliseconds now,
                     ControlActions &actions);
    void handleFailure(Endpoint peer, Milliseconds now, ControlActions &actions);
    void tick(Milliseconds now, ControlActions &actions);

    Revision revision() const { return m_document.revision; }
    const ConfigDocument &document() const { return m_document; }
    /// Never null.
    const std::shared_ptr<const Declaration> &declaration() const { return m_declaration; }

private:
    struct Candidate
    {
        Endpoint peer;
        Revision revision;
    };

    bool apply(ConfigDocument document);
    bool applyDelta(const ConfigDelta &delta);
    void recordChanges(const ConfigDocument &next);
    void pullNext(Milliseconds now, ControlActions &actions);

    ControlHooks m_hooks;
    ConfigDocument m_document;
    std::shared_ptr<const Declaration> m_declaration = std::make_shared<const Declaration>();
    /// Revision at which each section changed last, and at which removed ones went. A delta can be
    /// made from any revision at or above m_deltaBase.
    std::map<std::string, Revision> m_changedAt;
    std::map<std::string, Revision> m_removedAt;
    Revision m_deltaBase;
    /// Peers that have a higher revision, newest offer last.
    std::vector<Candidate> m_candidates;
    std::optional<Endpoint> m_pullPeer;
    Milliseconds m_pullUntil;
    bool m_needsFull = false;
};

} // namespace damaskhall
