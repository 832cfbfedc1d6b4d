// JSON form of queries and explanations; see docs/OPERATIONS.md.
#pragma once

#include "explain/explain.h"

#include <boost/json/object.hpp>

namespace sassafrasquay {

// Members: host (required), method, path, key or account, body_bytes,
// timeout_ms. Returns nullopt and sets aFault when a member is not valid.
std::optional<ExplainQuery>
ParseExplainQuery(const boost::json::object& aObject, std::string& aFault);
boost::json::object
ToJson(const ExplainQuery& aQuery);

boost::json::object
ToJson(const RequestExplanation& aExplanation);

} // namespace sassafrasquay
