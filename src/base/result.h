#pragma once

#include "base/error.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

namespace damaskhall {

/// Value or Error. Reading the side that is absent ends the process: check has_value() first.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace damaskhall
