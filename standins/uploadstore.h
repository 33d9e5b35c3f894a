#pragma once

#include "contenthash.h"
#include "runlog.h"

#include "core/messages.h"

#include <functional>
#include <map>

/// Uploads that an upstream receives: collects chunks in any order, acknowledges the offset up to
/// which all bytes have arrived and logs each stored upload once. Thread safety: none.
class UploadStore
{
public:
    using Sender = std::function<void(const damaskhall::Frame &)>;

    /// Preconditions: @p toFabric is set; @p log outlives the object.
    UploadStore(RunLogWriter &log, Sender toFabric)
        : m_log(log)
        , m_toFabric(std::move(toFabric))
    {
    }

    void handle(const damaskhall::Forwarded<damaskhall::UploadChunk> &frame)
    {
        const damaskhall::UploadChunk &chunk = frame.inner;
        if (chunk.total > MaxUploadBytes || chunk.offset + chunk.body.size() > chunk.total) {
            return;
        }
        Upload &upload = m_uploads[chunk.token];
        if (!upload.isStored) {
            add(upload, chunk);
        }
        const std::uint64_t acknowledged = upload.isStored ? chunk.total : upload.content.size();
        m_toFabric(damaskhall::UploadAck{chunk.token, frame.caller, acknowledged, upload.isStored});
    }

    void close(const damaskhall::SealedToken &token) { m_uploads.erase(token); }

private:
    struct Upload
    {
        std::string content;
        /// Chunks beyond a gap, by offset.
        std::map<std::uint64_t, std::string> later;
        bool isStored = false;
    };

    static constexpr std::uint64_t MaxUploadBytes = 64ULL * 1024 * 1024;

    void add(Upload &upload, const damaskhall::UploadChunk &chunk)
    {
        upload.later.emplace(chunk.offset, chunk.body);
        for (auto next = upload.later.begin(); next != upload.later.end();) {
            if (next->first > upload.content.size()) {
                break;
            }
            const std::size_t known = upload.content.size() - next->first;
            if (known < next->second.size()) {
                upload.content += next->second.substr(known);
            }
            next = upload.later.erase(next);
        }
        if (upload.content.size() == chunk.total) {
            upload.isStored = true;
            const std::string name = upload.content.substr(0, upload.content.find(':'));
            m_log.stored(name, contentHash(upload.content));
            upload.content.clear();
        }
    }

    RunLogWriter &m_log;
    Sender m_toFabric;
    std::map<damaskhall::SealedToken, Upload> m_uploads;
};
