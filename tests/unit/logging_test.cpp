// Guards the log's output against a reader that does not keep up.
#include "logging/logging.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace sassafrasquay;

namespace {

// A pipe whose reading end is read only on demand.
struct PipeFixture
{
  std::array<int, 2> m_ends{};

  PipeFixture() { BOOST_REQUIRE(::pipe(m_ends.data()) == 0); }
  ~PipeFixture()
  {
    ::close(m_ends[0]);
    ::close(m_ends[1]);
  }

  std::string ReadAll()
  {
    std::string text;
    std::array<char, 4096> bytes;
    ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    while (true) {
      const auto count = ::read(m_ends[0], bytes.data(), bytes.size());
      if (count <= 0) {
        return text;
      }
      text.append(bytes.data(), static_cast<size_t>(count));
    }
  }
};

const std::string kLine(99, 'x');

} // namespace

BOOST_FIXTURE_TEST_SUITE(logging, PipeFixture)

BOOST_AUTO_TEST_SUITE(a_reader_that_stops_reading)

// Guards against a write that blocks the node, and against a buffer that grows
// without bound. This case hangs when a write blocks.
BOOST_AUTO_TEST_CASE(costs_lines_that_are_counted)
{
  LogOutput output(m_ends[1], 10000, 2000);
  for (int i = 0; i < 2000; ++i) { // more than a pipe holds
    output.Add(kLine + "\n", false);
    output.Flush();
  }
  const uint64_t dropped = output.TakeDropped();
  BOOST_TEST(dropped > 0U);
  BOOST_TEST(output.TakeDropped() == 0U);
  std::string text = ReadAll();
  for (std::string more = text; !more.empty(); more = ReadAll()) {
    output.Flush();
    text += more == text ? "" : more;
  }
  BOOST_TEST(text.size() % 100 == 0U); // whole lines, in order
}

// Guards against failures that are missing from the log because routine lines
// have filled the buffer.
BOOST_AUTO_TEST_CASE(does_not_cost_the_important_lines_first)
{
  LogOutput output(-1, 1000, 300); // nothing can be written
  for (int i = 0; i < 20; ++i) {
    output.Add(kLine + "\n", false);
  }
  BOOST_TEST(output.TakeDropped() == 13U);
  for (int i = 0; i < 3; ++i) {
    output.Add(kLine + "\n", true);
  }
  BOOST_TEST(output.TakeDropped() == 0U);
  output.Add(kLine + "\n", true);
  BOOST_TEST(output.TakeDropped() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
