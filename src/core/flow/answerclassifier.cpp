#include "core/flow/answerclassifier.h"

#include <algorithm>

namespace damaskhall {

namespace {

/// Longest refusal. Refusals have up to some 250 bytes, served answers at least 300.
constexpr std::uint32_t MaxRefusalBytes = 280;
/// Longest time of a refusal, as a share of the usual time of a served answer. A refusal takes one
/// or two round trips and no work; a smaller ratio would miss refusals where served answers take
/// 5 ms.
constexpr double MaxRefusalTimeShare = 0.5;
/// Long answers of a route from which its usual time is known.
constexpr std::uint32_t MinLongAnswers = 20;
/// Time without any long answer after which short ones may be the usual ones: upstreams in overload
/// still serve as many requests as they have slots.
constexpr Milliseconds LongAnswerLifetime = 5_s;
/// Share of slow answers that are short above which the size does not tell a refusal.
constexpr double MaxShortShare = 0.1;
/// Weight of one answer in that share: averages over about the last 64.
constexpr double ShortWeight = 1.0 / 64;
/// The quartile moves by this share of itself for each answer, so that some seconds of late answers
/// change it, and single ones do not.
constexpr double QuartileStep = 0.05;
constexpr double Quartile = 0.25;
/// Times are whole milliseconds: a lower value would compare with zero.
constexpr double MinUsualTime = 1.0;

bool leadsToSameServices(const Route &a, const Route &b)
{
    return a.shares.size() == b.shares.size() &&
           std::all_of(a.shares.begin(), a.shares.end(),
                       [&b](const ServiceShare &share) { return routesTo(b, share.service); });
}

} // namespace

AnswerKind AnswerClassifier::classify(const ObservedAnswer &answer, Milliseconds now)
{
    Usual &usual = m_usual[answer.route];
    if (answer.bytes > MaxRefusalBytes) {
        learnLong(usual, answer.duration, now);
        return AnswerKind::Served;
    }
    const bool isUsualKnown =
            usual.longAnswers >= MinLongAnswers && now - usual.lastLongAt <= LongAnswerLifetime;
    const bool isQuick =
            static_cast<double>(answer.duration.value) <= usual.duration * MaxRefusalTimeShare;
    // Quick short answers are not learned: many refusals must not become what is usual.
    if (!isQuick && usual.longAnswers > 0) {
        usual.shortShare += ShortWeight * (1 - usual.shortShare);
    }
    const bool isRefused = isUsualKnown && isQuick && usual.shortShare <= MaxShortShare;
    return isRefused ? AnswerKind::Refused : AnswerKind::Unknown;
}

void AnswerClassifier::learnLong(Usual &usual, Milliseconds duration, Milliseconds now)
{
    const auto sample = static_cast<double>(duration.value);
    if (usual.longAnswers == 0) {
        usual.duration = std::max(sample, MinUsualTime);
    }
    const double step = std::max(usual.duration, MinUsualTime) * QuartileStep;
    if (sample > usual.duration) {
        usual.duration += step * Quartile;
    } else if (sample < usual.duration) {
        usual.duration = std::max(usual.duration - step * (1 - Quartile), MinUsualTime);
    }
    usual.shortShare -= ShortWeight * usual.shortShare;
    usual.lastLongAt = now;
    usual.longAnswers = std::min(usual.longAnswers + 1, MinLongAnswers);
}

void AnswerClassifier::handleRoutes(const RouteTable &previous, const RouteTable &current)
{
    std::erase_if(m_usual, [&](const auto &usual) {
        const Route *before = previous.find(usual.first);
        const Route *after = current.find(usual.first);
        return !after || (before && !leadsToSameServices(*before, *after));
    });
}

} // namespace damaskhall
