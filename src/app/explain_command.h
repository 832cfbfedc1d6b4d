// The command "explain": asks a node what it would do with a request.
#pragma once

#include "explain/explain.h"

#include <iosfwd>

namespace sassafrasquay {

struct ExplainCommandSettings
{
  Endpoint m_control; // of the entry node
  Duration m_timeout{ std::chrono::seconds(5) };
  ExplainQuery m_query;
  bool m_json = false; // print the node's response unchanged
};

// Prints the explanation. Returns the exit code: 0, or 1 when the node does not
// respond or does not accept the query.
int
RunExplain(const ExplainCommandSettings& aSettings,
           std::ostream& aOut,
           std::ostream& aErr);

} // namespace sassafrasquay
