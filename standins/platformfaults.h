#pragma once

#include "base/milliseconds.h"

/// Faults of the stand-in platform that are under way.
struct PlatformFaults
{
    damaskhall::Milliseconds downUntil;
    /// Writes that take effect but are not answered.
    int lostReplies = 0;
    /// Until slowUntil, each call is answered slowBy late.
    damaskhall::Milliseconds slowUntil, slowBy;
    /// Until then, reads return the value before the latest one.
    damaskhall::Milliseconds olderUntil;
};
