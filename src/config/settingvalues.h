#pragma once

#include "base/endpoint.h"

#include <string>
#include <vector>

namespace damaskhall {

// Readers of setting values, shared by the settings of all programs. Each returns false if the
// text is not as expected. Thread safety: reentrant.

bool readEndpoint(const std::string &text, Endpoint &endpoint);
/// Reads addresses separated by commas.
bool readEndpoints(const std::string &text, std::vector<Endpoint> &endpoints);
/// Accepts debug, info, warn and error.
bool readLogLevel(const std::string &text, std::string &level);
/// Accepts a finite decimal number.
bool readNumber(const std::string &text, double &number);
/// Splits at commas and removes blanks.
std::vector<std::string> splitList(const std::string &text);

} // namespace damaskhall
