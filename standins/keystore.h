#pragma once

#include "base/milliseconds.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

/// Keys of the stand-in platform. Can return to an earlier state, as a store that was restored from
/// a copy: what was written since is gone and its versions are given out again. Thread safety:
/// none.
class KeyStore
{
public:
    struct Value
    {
        std::string value;
        /// Zero: the key does not exist.
        std::uint64_t version = 0;
        /// Value before the latest write.
        std::string older;
    };

    /// Returns the value of @p key, also if it does not exist.
    const Value &value(const std::string &key) { return m_values[key]; }

    /// Writes if the key's version is @p expected; returns whether it was.
    /// Precondition: @p now is not below that of earlier calls.
    bool write(const std::string &key, std::uint64_t expected, std::string text,
               damaskhall::Milliseconds now)
    {
        Value &value = m_values[key];
        if (value.version != expected) {
            return false;
        }
        m_writes.push_back({now, key, value});
        if (m_writes.size() > MaxWrites) {
            m_writes.pop_front();
        }
        value = {std::move(text), value.version + 1, std::move(value.value)};
        return true;
    }

    /// Undoes the writes after @p time, of which the last MaxWrites are known, and begins an era.
    void restore(damaskhall::Milliseconds time)
    {
        while (!m_writes.empty() && m_writes.back().at > time) {
            m_values[m_writes.back().key] = std::move(m_writes.back().before);
            m_writes.pop_back();
        }
        ++m_era;
    }

    /// Number of the time between two restorations, from 1.
    std::uint64_t era() const { return m_era; }

private:
    struct Write
    {
        damaskhall::Milliseconds at;
        std::string key;
        Value before;
    };

    /// Bounds the memory of a long run; values have up to 1 MB.
    static constexpr std::size_t MaxWrites = 100;

    std::map<std::string, Value> m_values;
    std::deque<Write> m_writes;
    std::uint64_t m_era = 1;
};
