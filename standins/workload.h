#pragma once

#include "base/milliseconds.h"
#include "config/declaration.h"

#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>

#include "core/reasons.h"

/// One kind of work that the caller offers, from "SERVICE/CLASS:AMOUNT" or
/// "SERVICE/CLASS:AMOUNT:BYTES".
struct Workload
{
    damaskhall::WorkKind kind = damaskhall::WorkKind::Request;
    std::string service;
    std::string className;
    /// Feeds to hold, or requests or uploads a second.
    double amount = 0;
    std::size_t uploadBytes = 20'000;

    std::string name() const { return service + "/" + className; }

    /// Returns nothing if @p text has another form.
    static std::optional<Workload> parse(damaskhall::WorkKind kind, const std::string &text)
    {
        const auto slash = text.find('/');
        const auto colon = text.find(':', slash == std::string::npos ? 0 : slash);
        if (slash == std::string::npos || colon == std::string::npos) {
            return std::nullopt;
        }
        Workload workload;
        workload.kind = kind;
        workload.service = text.substr(0, slash);
        workload.className = text.substr(slash + 1, colon - slash - 1);
        char *end = nullptr;
        workload.amount = std::strtod(text.c_str() + colon + 1, &end);
        if (*end == ':') {
            workload.uploadBytes = std::strtoul(end + 1, &end, 10);
        }
        if (*end != '\0' || workload.amount <= 0 || workload.uploadBytes == 0) {
            return std::nullopt;
        }
        return workload;
    }
};

/// What happened to the work of one class.
struct ClassTotals
{
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t unknown = 0;
    std::map<damaskhall::RefusalReason, std::uint64_t> refused;
    /// Requests that ran more than once.
    std::uint64_t doubled = 0;
    /// Work without any outcome at the end, and work that was answered and did not take place.
    std::uint64_t lost = 0;
    /// Requests that ran although they were refused.
    std::uint64_t falselyRefused = 0;
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsBroken = 0;

    std::uint64_t refusedSum() const
    {
        std::uint64_t sum = 0;
        for (const auto &[reason, count] : refused) {
            sum += count;
        }
        return sum;
    }
};
