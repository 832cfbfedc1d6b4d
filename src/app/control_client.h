// Sends one request to a node's control address.
#pragma once

#include "core/core.h"

#include <boost/system/error_code.hpp>

namespace sassafrasquay {

struct ControlRequest
{
  Endpoint m_control;
  Duration m_timeout{ std::chrono::seconds(5) };
  std::string m_path;
  std::string m_body; // empty: GET, else POST
};

struct ControlResponse
{
  boost::system::error_code m_error; // no complete response
  unsigned m_status = 0;
  std::string m_body;
};

// Blocks until the response is complete.
ControlResponse
SendToControl(const ControlRequest& aRequest);

} // namespace sassafrasquay
