// Tests the log output with a reader that stalls.
#include "logging/logging.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace sassafrasquay;

namespace {

// A pipe that is read only by ReadAll.
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

BOOST_AUTO_TEST_SUITE(with_a_stalled_reader)

// Guards against a write that blocks the node and against unbounded growth of
// the buffer. This case hangs when a write blocks.
BOOST_AUTO_TEST_CASE(drops_and_counts_lines_without_blocking)
{
  LogOutput output(m_ends[1], 10000, 2000);
  for (int i = 0; i < 2000; ++i) { // more than the pipe's capacity
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
  BOOST_TEST(text.size() % 100 == 0U); // whole lines only
}

// Guards against lost warnings and errors when routine lines have filled the
// buffer.
BOOST_AUTO_TEST_CASE(reserves_buffer_space_for_important_lines)
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
