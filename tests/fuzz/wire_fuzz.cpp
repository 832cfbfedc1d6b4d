// Frames with mutated, cut or random bytes. Guards against a decoder that
// throws, reads outside the message, takes more memory than the frame
// justifies, or returns a value outside its enumeration or its bounds.
#include "wire/wire.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sassafrasquay;

namespace {

using Bytes = std::string;

// A valid frame of each kind, with a text of any length and a signed number of
// any size in it.
FrameContent
MakeContent(size_t aKind, const Bytes& aText, int64_t aNumber)
{
  const auto small = static_cast<uint64_t>(aNumber) % 3;
  RequestHead head;
  head.m_path = aText;
  head.m_headers = { { aText, aText } };
  head.m_remaining = Duration(aNumber);
  head.m_age = Duration(aNumber);
  head.m_latencyObjective = Duration(aNumber);
  head.m_requestId = aText;
  head.m_body = aText;
  const std::vector<FrameContent> contents{
    HelloFrame{ .m_nonce = aText },
    head,
    BodyChunkFrame{ aText },
    ResponseHead{ 200, head.m_headers },
    EndedFrame{ ResultCode::Overloaded, Executed::No },
    ResolveRequest{ {}, small, Duration(aNumber) },
    ResolveReply{ CallState::NeverReceived, ResultCode::Ok, false },
    ConfigResponseFrame{ PublishedConfig{ 1 + small, aText, { aText } } }
  };
  return contents[aKind % contents.size()];
}

bool
IsSpan(Duration aSpan)
{
  return aSpan >= Duration::zero() && aSpan <= kLongestSpan;
}

bool
IsCode(ResultCode aCode)
{
  const auto table = ResultTable();
  return std::any_of(table.begin(), table.end(), [aCode](const auto& aRow) {
    return aRow.m_code == aCode;
  });
}

struct InBounds
{
  bool operator()(const RequestHead& aHead) const
  {
    return IsSpan(aHead.m_age) && IsSpan(aHead.m_remaining) &&
           IsSpan(aHead.m_latencyObjective);
  }
  bool operator()(const EndedFrame& aFrame) const
  {
    return aFrame.m_executed <= Executed::Yes && IsCode(aFrame.m_code);
  }
  bool operator()(const ResolveRequest& aRequest) const
  {
    return IsSpan(aRequest.m_age);
  }
  bool operator()(const ResolveReply& aReply) const
  {
    return aReply.m_state <= CallState::Unknown && IsCode(aReply.m_code);
  }
  template<class Other>
  bool operator()(const Other&) const
  {
    return true;
  }
};

// True when the bytes are refused, or read as a content within its bounds.
bool
DecodesWithinBounds(const Bytes& aBytes, bool& aRead)
{
  PeerFrame frame;
  const std::error_code error = DecodeFrame(aBytes, frame);
  aRead = !error;
  return error ? error == ResultCode::MalformedFrame
               : std::visit(InBounds(), frame.m_content);
}

Bytes
Encode(const FrameContent& aContent)
{
  Bytes bytes;
  EncodeFrame(PeerFrame{ { 1, 2 }, aContent }, bytes);
  return bytes.substr(kFramePrefixBytes);
}

using Mutation = std::pair<uint16_t, uint8_t>; // position and new value

} // namespace

BOOST_AUTO_TEST_SUITE(WireFuzz)

BOOST_AUTO_TEST_SUITE(ADamagedFrameArrives)

BOOST_AUTO_TEST_CASE(ChangedBytesAreRefusedOrReadWithinBounds)
{
  size_t read = 0;
  size_t refused = 0;
  BOOST_TEST(rc::check([&](uint8_t aKind, const Bytes& aText) {
    const auto number = *rc::gen::arbitrary<int64_t>();
    const Bytes whole = Encode(MakeContent(aKind, aText, number));
    const auto mutations = *rc::gen::container<std::vector<Mutation>>(
      600, rc::gen::arbitrary<Mutation>());
    // Most frames with more than a few changes are refused at once.
    for (size_t first = 0; first + 3 <= mutations.size(); ++first) {
      Bytes bytes = whole;
      for (size_t i = first; i < first + 1 + first % 3; ++i) {
        const size_t position = mutations[i].first % bytes.size();
        bytes[position] = static_cast<char>(mutations[i].second);
      }
      bool wasRead = false;
      RC_ASSERT(DecodesWithinBounds(bytes, wasRead));
      ++(wasRead ? read : refused);
    }
  }));
  // A generator that only gives refused frames would prove little.
  BOOST_TEST_MESSAGE(read << " read, " << refused << " refused");
  BOOST_TEST(read > refused / 2);
  BOOST_TEST(refused > 0U);
}

BOOST_AUTO_TEST_CASE(CutFramesAreRefusedOrReadWithinBounds)
{
  BOOST_TEST(rc::check([](uint8_t aKind, const Bytes& aText) {
    const Bytes bytes = Encode(MakeContent(aKind, aText, 2));
    for (size_t size = 0; size < bytes.size(); ++size) {
      bool wasRead = false;
      RC_ASSERT(DecodesWithinBounds(bytes.substr(0, size), wasRead));
    }
  }));
}

BOOST_AUTO_TEST_CASE(RandomBytesAreRefusedOrReadWithinBounds)
{
  BOOST_TEST(rc::check([](const std::vector<uint64_t>& aWords) {
    const Bytes bytes(reinterpret_cast<const char*>(aWords.data()),
                      aWords.size() * sizeof(uint64_t));
    bool wasRead = false;
    RC_ASSERT(DecodesWithinBounds(bytes, wasRead));
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
