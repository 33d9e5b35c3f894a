#pragma once

namespace damaskhall {

/// Limits retries to a share of the accepted requests, so that retries cannot amplify an overload.
/// Thread safety: none.
class RetryBudget
{
public:
    /// Adds the retry allowance of one accepted request.
    void onRequestTaken();
    /// Returns whether a retry is allowed, and deducts it from the budget if so.
    bool tryAcquire();

private:
    double m_allowance = 0;
};

} // namespace damaskhall
