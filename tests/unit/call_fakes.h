// Ends of a call for tests: a body without bytes and a sink that keeps nothing.
#pragma once

#include "call/call.h"

namespace sassafrasquay {

class EmptyBody : public BodySource
{
public:
  asio::awaitable<BodyChunk> Read() override { co_return BodyChunk(); }
};

class DiscardingSink : public ResponseSink
{
public:
  asio::awaitable<std::error_code> WriteHead(ResponseHead /*aHead*/) override
  {
    co_return std::error_code();
  }
  asio::awaitable<std::error_code> WriteBody(std::string_view /*aBytes*/,
                                             bool /*aLast*/) override
  {
    co_return std::error_code();
  }
};

} // namespace sassafrasquay
