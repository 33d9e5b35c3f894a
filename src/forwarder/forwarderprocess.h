#pragma once

#include "base/result.h"
#include "config/forwardersettings.h"
#include "core/flow/flowcontroller.h"
#include "forwarder/flowworker.h"

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

namespace damaskhall {

/// Makes one call of the platform's store and passes on the reply, once, later.
using StoreCaller =
        std::function<void(const StoreCall &, std::function<void(const StoreReply &)> handler)>;

/// What a forwarder needs from the platform that it runs on. All hooks must be set.
struct ForwarderPlatform
{
    PacketFormat packets;
    /// Returns the caller of the store at an address; its calls run on the io_context.
    std::function<StoreCaller(asio::io_context &context, Endpoint store)> openStore;
};

/// One flow forwarder: the control thread (the calling one) and a traffic thread.
/// Thread safety: all calls come from one thread.
class ForwarderProcess
{
public:
    /// Reads the settings from @p settingsFile at the start and at each SIGHUP.
    /// Precondition: all hooks are set.
    ForwarderProcess(std::string settingsFile, ForwarderPlatform platform);
    ~ForwarderProcess();
    ForwarderProcess(const ForwarderProcess &) = delete;
    ForwarderProcess &operator=(const ForwarderProcess &) = delete;

    /// Opens all sockets. Errors: InvalidValue with all mistakes of the settings, System.
    Result<void> start();
    /// Serves until SIGTERM or SIGINT and the end of the traffic.
    void serve();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

/// Reads and checks a settings file. Errors: NotFound, InvalidValue with all mistakes.
/// Thread safety: reentrant.
Result<ForwarderSettings> readForwarderSettings(const std::string &file);

} // namespace damaskhall
