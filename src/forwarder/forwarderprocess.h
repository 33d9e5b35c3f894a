#pragma once

#include "base/result.h"
#include "config/forwardersettings.h"
#include "core/flow/flowcontroller.h"
#include "forwarder/flowworker.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

namespace damaskhall {

/// Makes one asynchronous call to the platform's store. The handler is called exactly once, after
/// this function has returned.
using StoreCaller =
        std::function<void(const StoreCall &, std::function<void(const StoreReply &)> handler)>;

/// Optional behaviour that a platform asks for. Thread safety: a plain value.
struct ForwarderFeatures
{
    /// New flows may be refused while their service is overloaded.
    bool isAdmissionControlled = false;
};

/// Hooks for the platform that a forwarder runs on. All must be set.
struct ForwarderPlatform
{
    /// Translates the platform's names for features; unknown names are ignored.
    std::function<ForwarderFeatures(const std::vector<std::string> &names)> translateFeatures;
    PacketCodec packetCodec;
    /// Returns a function that calls the store at @p store; the calls run on @p context.
    std::function<StoreCaller(asio::io_context &context, Endpoint store)> makeStoreCaller;
};

/// One flow forwarder process: a control thread, which is the calling thread, and a traffic thread.
/// Thread safety: all calls must come from one thread.
class ForwarderProcess
{
public:
    /// Settings are read from @p settingsFile at startup and on each SIGHUP.
    /// Precondition: all hooks are set.
    ForwarderProcess(std::string settingsFile, ForwarderPlatform platform);
    ~ForwarderProcess();
    ForwarderProcess(const ForwarderProcess &) = delete;
    ForwarderProcess &operator=(const ForwarderProcess &) = delete;

    /// Reads the settings and opens all sockets. Errors: InvalidValue listing all errors in the
    /// settings, System.
    Result<void> start();
    /// Runs until SIGTERM or SIGINT and the graceful shutdown that follows: until traffic has
    /// stopped or the stop limit is near.
    void serve();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

/// Reads and validates a settings file. Errors: NotFound, InvalidValue listing all errors.
/// Thread safety: reentrant.
Result<ForwarderSettings> readForwarderSettings(const std::string &file);

} // namespace damaskhall
