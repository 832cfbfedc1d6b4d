// The command "status": queries a node's control address.
#pragma once

#include "core/core.h"

#include <iosfwd>

namespace sassafrasquay {

struct StatusSettings
{
  Endpoint m_control;
  Duration m_timeout{ std::chrono::seconds(5) };
};

// Prints the node's status and one line for each member. Returns the exit code:
// 0, or 1 when the node does not respond.
int
RunStatus(const StatusSettings& aSettings,
          std::ostream& aOut,
          std::ostream& aErr);

} // namespace sassafrasquay
