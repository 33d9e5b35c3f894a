#include "core/frametext.h"

#include <array>
#include <string_view>
#include <type_traits>

namespace damaskhall {

namespace {

// Index: the alternative's index in Frame.
constexpr std::array<std::string_view, std::variant_size_v<Frame>> FrameNames = {
        "Open",
        "FeedData",
        "Keepalive",
        "Reserve",
        "Execute",
        "Cancel",
        "AnswerAck",
        "UploadChunk",
        "Close",
        "OpenReply",
        "Permit",
        "Answer",
        "Refusal",
        "Push",
        "KeepaliveReply",
        "UploadAck",
        "Forwarded FeedData",
        "Forwarded Keepalive",
        "Forwarded UploadChunk",
        "Forwarded Close",
        "UpstreamRequest",
        "UpstreamCancel",
        "UpstreamReplyAck",
        "Probe",
        "UpstreamReply",
        "ProbeReply",
        "Relayed Open",
        "Relayed Reserve",
        "Relayed Execute",
        "Relayed Cancel",
        "Relayed AnswerAck",
        "UploadFinished",
};

constexpr std::array<std::string_view, 5> StatusNames = {"ok", "shed", "draining", "cancelled",
                                                         "expired"};

class Line
{
public:
    explicit Line(const TokenText &tokenText)
        : m_tokenText(tokenText)
    {
    }

    template <typename Value>
    void add(std::string_view key, const Value &value)
    {
        m_text += " " + std::string(key) + "=";
        if constexpr (std::is_convertible_v<Value, std::string_view>) {
            m_text += value;
        } else {
            m_text += std::to_string(value);
        }
    }

    void addToken(std::string_view key, const SealedToken &token)
    {
        if (!token.empty()) {
            add(key, m_tokenText(token));
        }
    }

    const std::string &text() const { return m_text; }

private:
    const TokenText &m_tokenText;
    std::string m_text;
};

void append(Line &line, const Open &m)
{
    line.add("flow", m.flow.value);
}

void append(Line &line, const FeedData &m)
{
    line.addToken("token", m.token);
    line.add("bytes", m.body.size());
}

void append(Line &line, const Keepalive &m)
{
    line.addToken("token", m.token);
    line.add("acknowledged", m.acknowledged);
}

void append(Line &line, const Reserve &m)
{
    line.add("request", m.request.value);
    line.add("remaining", m.remaining.value);
    line.add("waited", m.waited.value);
}

void append(Line &line, const Execute &m)
{
    line.add("request", m.request.value);
    line.addToken("permit", m.permit);
}

void append(Line &line, const Cancel &m)
{
    line.add("request", m.request.value);
    line.addToken("permit", m.permit);
}

void append(Line &line, const AnswerAck &m)
{
    line.add("request", m.request.value);
    line.addToken("permit", m.permit);
}

void append(Line &line, const UploadChunk &m)
{
    line.addToken("token", m.token);
    line.add("offset", m.offset);
    line.add("bytes", m.body.size());
    line.add("total", m.total);
}

void append(Line &line, const Close &m)
{
    line.addToken("token", m.token);
}

void append(Line &line, const OpenReply &m)
{
    line.add("subject", m.subject);
    line.addToken("token", m.token);
}

void append(Line &line, const Permit &m)
{
    line.add("request", m.request.value);
    line.addToken("permit", m.permit);
}

void append(Line &line, const Answer &m)
{
    line.add("request", m.request.value);
    line.add("outcome", m.outcome == Outcome::Done ? "done" : "unknown");
    line.add("fragment", std::to_string(m.fragment + 1) + "/" + std::to_string(m.fragmentCount));
}

void append(Line &line, const Refusal &m)
{
    line.add("subject", m.subject);
    line.add("reason", toString(m.reason));
    line.add("retry_after", m.retryAfter.value);
    line.addToken("permit", m.permit);
}

void append(Line &line, const Push &m)
{
    line.addToken("token", m.token);
    line.add("sequence", m.sequence);
}

void append(Line &line, const KeepaliveReply &m)
{
    line.addToken("token", m.token);
    line.add("last", m.lastSequence);
}

void append(Line &line, const UploadAck &m)
{
    line.addToken("token", m.token);
    line.add("acknowledged", m.acknowledged);
    line.add("stored", m.stored ? "yes" : "no");
}

void append(Line &line, const UpstreamRequest &m)
{
    line.add("attempt", m.attempt.value);
    line.add("remaining", m.remaining.value);
}

void append(Line &line, const UpstreamCancel &m)
{
    line.add("attempt", m.attempt.value);
}

void append(Line &line, const UpstreamReplyAck &m)
{
    line.add("attempt", m.attempt.value);
}

void append(Line &line, const Probe &m)
{
    line.add("nonce", m.nonce);
}

void append(Line &line, const UpstreamReply &m)
{
    line.add("attempt", m.attempt.value);
    line.add("status", StatusNames.at(static_cast<std::size_t>(m.status)));
    line.add("fragment", std::to_string(m.fragment + 1) + "/" + std::to_string(m.fragmentCount));
}

void append(Line &line, const ProbeReply &m)
{
    line.add("upstream", m.upstream.value);
    line.add("draining", m.draining ? "yes" : "no");
    line.add("slots", m.slotsInUse);
    line.add("connections", m.connections);
}

void append(Line &line, const UploadFinished &m)
{
    line.addToken("token", m.token);
}

template <typename Inner>
void append(Line &line, const Forwarded<Inner> &m)
{
    append(line, m.inner);
}

template <typename Inner>
void append(Line &line, const Relayed<Inner> &m)
{
    append(line, m.inner);
    line.add("hops", m.hops);
}

} // namespace

std::string describe(const Frame &frame, const TokenText &tokenText)
{
    Line line(tokenText);
    std::visit([&line](const auto &message) { append(line, message); }, frame);
    return std::string(FrameNames.at(frame.index())) + line.text();
}

} // namespace damaskhall
