#include "metrics/distribution.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <utility>

namespace damaskhall {

namespace {

namespace acc = boost::accumulators;
using Accumulator =
        acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

/// Old samples must not hide a change, so that quantiles cover one window.
constexpr Milliseconds Window = 60_s;
/// The algorithm sorts its first samples, one for each marker, before it gives estimates.
constexpr std::size_t MinSamples = DistributionQuantiles.size() * 2 + 3;

std::unique_ptr<Accumulator> makeAccumulator()
{
    return std::make_unique<Accumulator>(acc::tag::extended_p_square::probabilities =
                                                 DistributionQuantiles);
}

} // namespace

struct Distribution::Private
{
    std::unique_ptr<Accumulator> current = makeAccumulator();
    std::unique_ptr<Accumulator> previous;
    Milliseconds windowStart;
    std::uint64_t count = 0;
    Milliseconds sum;
};

Distribution::Distribution()
    : m_d(std::make_unique<Private>())
{
}

Distribution::~Distribution() = default;

void Distribution::add(Milliseconds duration, Milliseconds now)
{
    if (m_d->count == 0) {
        m_d->windowStart = now;
    }
    if (now - m_d->windowStart >= Window) {
        m_d->previous = std::exchange(m_d->current, makeAccumulator());
        m_d->windowStart = now;
    }
    ++m_d->count;
    m_d->sum += duration;
    (*m_d->current)(static_cast<double>(duration.value));
}

std::uint64_t Distribution::count() const
{
    return m_d->count;
}

Milliseconds Distribution::sum() const
{
    return m_d->sum;
}

std::optional<std::array<double, 3>> Distribution::quantiles(Milliseconds now) const
{
    // The current window is over, although no sample has closed it.
    const bool isOver = now - m_d->windowStart >= Window;
    const Accumulator &window = m_d->previous && !isOver ? *m_d->previous : *m_d->current;
    if (acc::count(window) < MinSamples || now - m_d->windowStart >= Window * 2) {
        return std::nullopt;
    }
    std::array<double, 3> values{};
    for (std::size_t i = 0; i < values.size(); ++i) {
        values.at(i) = acc::extended_p_square(window)[i];
    }
    return values;
}

void printDistribution(std::ostream &out, std::string_view metric, const std::string &label,
                       const Distribution &distribution, Milliseconds now)
{
    const std::string labels = label.empty() ? "" : "{" + label + "}";
    out << metric << "_count" << labels << " " << distribution.count() << "\n"
        << metric << "_sum" << labels << " " << distribution.sum().value << "\n";
    if (const auto quantiles = distribution.quantiles(now)) {
        const std::string before = label.empty() ? "{" : "{" + label + ",";
        for (std::size_t i = 0; i < quantiles->size(); ++i) {
            out << metric << before << "quantile=\"" << DistributionQuantiles.at(i) << "\"} "
                << quantiles->at(i) << "\n";
        }
    }
}

} // namespace damaskhall
