#pragma once

#include "admin/nodestatus.h"
#include "platform/declarationstore.h"

#include <functional>
#include <map>
#include <string>

namespace damaskhall {

struct AdminRequest
{
    /// "GET" or "POST".
    std::string method;
    std::string path;
    /// Decoded parameters of the query.
    std::map<std::string, std::string> query;
    std::string body;
};

struct AdminReply
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// What the operators' interface shows and changes.
struct AdminHooks
{
    /// Called on any thread.
    std::function<NodeStatus()> status;
    /// Returns the text of GET /metrics. Called on any thread.
    std::function<std::string()> metricsText;
    /// Reports an operator's change and its outcome.
    std::function<void(const ChangeRequest &, const ChangeResult &)> reportChange;
};

/// Operators' interface without its transport:
/// - GET /status, /declaration (in force here) and /metrics never call the platform;
/// - GET /stored (in the platform) and /history, POST /apply and /settle do.
/// Thread safety: isQuick() requests on any thread; the others on one thread at a time, as they use
/// the store.
class AdminApi
{
public:
    /// Preconditions: all hooks are set; @p store outlives this.
    AdminApi(AdminHooks hooks, DeclarationStore &store);

    /// Returns whether handle() answers @p request without a call to the platform.
    static bool isQuick(const AdminRequest &request);

    /// Never throws: whatever is wrong with @p request is told in the reply.
    AdminReply handle(const AdminRequest &request);

private:
    AdminReply declaration() const;
    AdminReply stored();
    AdminReply history();
    AdminReply apply(const AdminRequest &request);
    AdminReply settle(const AdminRequest &request);
    Revision inForce() const;

    AdminHooks m_hooks;
    DeclarationStore &m_store;
};

} // namespace damaskhall
