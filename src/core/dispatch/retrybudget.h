#pragma once

namespace damaskhall {

/// Limits retries to a share of the requests taken, so that retries cannot multiply an overload.
/// Thread safety: none.
class RetryBudget
{
public:
    /// Adds the allowance of one request.
    void onRequestTaken();
    /// Returns whether a retry is allowed, and takes it from the budget if so.
    bool take();

private:
    double m_allowance = 0;
};

} // namespace damaskhall
