// Clocks, random numbers, identifiers and endpoints.
#include "core/core.h"

#include <bit>
#include <charconv>
#include <random>

namespace sassafrasquay {

TimePoint
SystemClock::Now() const
{
  return std::chrono::steady_clock::now();
}

WallTime
SystemClock::WallNow() const
{
  return std::chrono::system_clock::now();
}

uint64_t
Random::NextBelow(uint64_t aBound)
{
  if (aBound == 0) {
    return 0;
  }
  // Fixed-point multiplication: the high 64 bits of the product. The bias is
  // negligible for bounds far below 2^64.
  using Wide = unsigned __int128;
  return static_cast<uint64_t>((static_cast<Wide>(Next()) * aBound) >> 64);
}

double
Random::NextDouble()
{
  return static_cast<double>(Next() >> 11) * 0x1.0p-53;
}

SeededRandom::SeededRandom(uint64_t aSeed)
{
  // splitmix64 expands the seed to the whole state.
  uint64_t x = aSeed;
  for (uint64_t& word : m_state) {
    x += 0x9E3779B97F4A7C15ULL;
    uint64_t z = x;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    word = z ^ (z >> 31);
  }
}

uint64_t
SeededRandom::Next()
{
  const uint64_t result = std::rotl(m_state[0] + m_state[3], 23) + m_state[0];
  const uint64_t t = m_state[1] << 17;
  m_state[2] ^= m_state[0];
  m_state[3] ^= m_state[1];
  m_state[1] ^= m_state[2];
  m_state[0] ^= m_state[3];
  m_state[2] ^= t;
  m_state[3] = std::rotl(m_state[3], 45);
  return result;
}

std::unique_ptr<Random>
SeededRandom::Copy() const
{
  return std::make_unique<SeededRandom>(*this);
}

uint64_t
EntropySeed()
{
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

std::string
ToString(const CallId& aId)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(32, '0');
  for (int i = 0; i < 16; ++i) {
    text[15 - i] = kDigits[(aId.m_origin >> (4 * i)) & 15];
    text[31 - i] = kDigits[(aId.m_sequence >> (4 * i)) & 15];
  }
  return text;
}

bool
ParseCallId(std::string_view aText, CallId& aId)
{
  if (aText.size() != 32) {
    return false;
  }
  const char* data = aText.data();
  const auto high = std::from_chars(data, data + 16, aId.m_origin, 16);
  const auto low = std::from_chars(data + 16, data + 32, aId.m_sequence, 16);
  return high.ec == std::errc() && low.ec == std::errc() &&
         high.ptr == data + 16 && low.ptr == data + 32;
}

uint64_t
StableHash(std::string_view aText, uint64_t aSeed)
{
  // The seed is spread over all bits; otherwise a small seed would have the
  // same effect as a change of the first characters.
  uint64_t hash = 0xCBF29CE484222325ULL ^ (aSeed * 0x9E3779B97F4A7C15ULL);
  for (const char c : aText) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001B3ULL;
  }
  // FNV-1a mixes the high bits poorly, so a finalizer is applied.
  hash ^= hash >> 32;
  hash *= 0xD6E8FEB86659FD93ULL;
  return hash ^ (hash >> 32);
}

std::string
ToString(const Endpoint& aEndpoint)
{
  const bool isV6 = aEndpoint.m_address.find(':') != std::string::npos;
  const std::string host =
    isV6 ? "[" + aEndpoint.m_address + "]" : aEndpoint.m_address;
  return host + ":" + std::to_string(aEndpoint.m_port);
}

bool
ParseEndpoint(std::string_view aText, Endpoint& aEndpoint)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view port = aText.substr(colon + 1);
  if (host.front() == '[') {
    if (host.size() < 3 || host.back() != ']') {
      return false;
    }
    host = host.substr(1, host.size() - 2);
  }
  uint16_t value = 0;
  const auto end = port.data() + port.size();
  const auto parsed = std::from_chars(port.data(), end, value);
  if (port.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return false;
  }
  aEndpoint.m_address = std::string(host);
  aEndpoint.m_port = value;
  return true;
}

} // namespace sassafrasquay
