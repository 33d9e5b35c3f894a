#pragma once

#include "admin/adminapi.h"
#include "base/result.h"

#include <memory>

namespace damaskhall {

/// HTTP server of the operators' interface (RESTinio). Requests that call the platform are handled
/// on a thread of their own, so that the others are answered while the platform is slow or down.
/// There is no authentication: listen on an address that only operators reach.
/// Thread safety: all calls come from one thread.
class AdminServer
{
public:
    /// Precondition: @p api outlives this.
    explicit AdminServer(AdminApi &api);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Opens the socket and starts the threads. Errors: System with Step::OpenSocket.
    Result<void> start(Endpoint listen);

    /// Ends the threads and waits for them, at most for the platform call under way.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
