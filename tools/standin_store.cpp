// Stand-in for the platform's store: keyed topics with one partition. Supports
// the calls that nodes make.
//
//   POST /-/log-append?topic=T&part=0
//        appends the records in the body; with at=N only at the end offset N
//   GET  /-/log-read?topic=T&part=0&from=N&waitMs=W
//   GET  /-/log-newest?topic=T&part=0
//   POST /standin/put?topic=T&key=K
//        appends a record with the body as its value
//   POST /standin/drop?topic=T&key=K
//        appends a record without a value
//   POST /standin/compact
//        keeps only the newest record of each key
//   POST /standin/save
//        copies all topics
//   POST /standin/restore
//        comes back from that copy: loses the records since, closes all
//        connections and begins the next era, which all responses then name
//   POST /standin/set?name=value
//        sets a fault: down=1 sends no response, busy=1 responds with 503
#include "kernel/kernel.h"
#include "platform/store_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <iostream>
#include <map>

DEFINE_string(address, "127.0.0.1", "loopback address to listen on");
DEFINE_int32(port, 0, "port; 0 takes any free port");

using namespace sassafrasquay;
using namespace std::chrono_literals;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

namespace {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Query = std::map<std::string, std::string>;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCommandPrefix = "/standin/";

struct TopicContent
{
  std::vector<KeyedRecord> m_records; // consecutive offsets from m_firstOffset
  uint64_t m_firstOffset = 0;         // older records are compacted away
};

struct Topic : TopicContent
{
  explicit Topic(asio::any_io_executor aExecutor)
    : m_appended(std::move(aExecutor))
  {
  }

  Event m_appended; // or the content was replaced

  uint64_t End() const { return m_firstOffset + m_records.size(); }
};

Query
ParseQuery(std::string_view aTarget)
{
  Query query;
  const size_t queryStart = aTarget.find('?');
  std::string_view rest =
    queryStart == std::string_view::npos ? "" : aTarget.substr(queryStart + 1);
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    const size_t equals = part.find('=');
    if (equals != std::string_view::npos) {
      query[std::string(part.substr(0, equals))] = part.substr(equals + 1);
    }
  }
  return query;
}

uint64_t
NumberParameter(const Query& aQuery, const std::string& aName)
{
  const auto found = aQuery.find(aName);
  return found == aQuery.end() ? 0 : std::stoull(found->second);
}

std::string
ToBase64(const std::string& aBytes)
{
  namespace base64 = beast::detail::base64;
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

void
AppendBigEndian(uint64_t aValue, std::string& aOut)
{
  for (int shift = 56; shift >= 0; shift -= 8) {
    aOut.push_back(static_cast<char>((aValue >> shift) & 0xFF));
  }
}

class Store
{
public:
  explicit Store(asio::any_io_executor aExecutor)
    : m_executor(std::move(aExecutor))
  {
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket);

private:
  // Without a value, no response is sent and the connection stays open.
  asio::awaitable<std::optional<Response>> HandleRequest(
    const Request& aRequest);
  std::optional<Response> HandleCommand(std::string_view aPath,
                                        const Query& aQuery,
                                        const std::string& aBody);
  void Compact();
  void Restore();
  Response Append(Topic& aTopic, const Query& aQuery, const std::string& aBody);
  asio::awaitable<Response> Read(Topic& aTopic, const Query& aQuery);
  Response Newest(const Topic& aTopic);
  Topic& FindOrCreate(const std::string& aName);

  asio::any_io_executor m_executor;
  std::map<std::string, std::unique_ptr<Topic>> m_topics;
  std::map<std::string, TopicContent> m_saved;
  uint64_t m_era = 0;
  bool m_down = false;
  bool m_busy = false;
};

Response
MakeResponse(unsigned aStatus, std::string aBody)
{
  Response response;
  response.version(11);
  response.result(aStatus);
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

Topic&
Store::FindOrCreate(const std::string& aName)
{
  std::unique_ptr<Topic>& topic = m_topics[aName];
  if (!topic) {
    topic = std::make_unique<Topic>(m_executor);
  }
  return *topic;
}

asio::awaitable<void>
Store::Serve(asio::ip::tcp::socket aSocket)
{
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  while (true) {
    Request request;
    const auto [readError, read] =
      co_await http::async_read(stream, buffer, request, kAwait);
    if (readError) {
      co_return;
    }
    const uint64_t era = m_era;
    std::optional<Response> response = co_await HandleRequest(request);
    const bool isCommand = request.target().starts_with(kCommandPrefix);
    if (era != m_era && !isCommand) {
      co_return;
    }
    if (!response) {
      continue;
    }
    if (m_era > 0) {
      response->set("Store-Era", std::to_string(m_era));
    }
    const auto [writeError, written] =
      co_await http::async_write(stream, *response, kAwait);
    if (writeError) {
      co_return;
    }
  }
}

asio::awaitable<std::optional<Response>>
Store::HandleRequest(const Request& aRequest)
{
  const std::string target(aRequest.target());
  const std::string path = target.substr(0, target.find('?'));
  const Query query = ParseQuery(target);
  if (path.starts_with(kCommandPrefix)) {
    co_return HandleCommand(path, query, aRequest.body());
  }
  if (m_down) {
    co_return std::nullopt;
  }
  if (m_busy) {
    co_return MakeResponse(503, "{}");
  }
  const auto name = query.find("topic");
  if (name == query.end()) {
    co_return MakeResponse(400, "{}");
  }
  Topic& topic = FindOrCreate(name->second);
  if (path == "/-/log-append") {
    co_return Append(topic, query, aRequest.body());
  }
  if (path == "/-/log-read") {
    Response response = co_await Read(topic, query);
    co_return response;
  }
  if (path == "/-/log-newest") {
    co_return Newest(topic);
  }
  co_return MakeResponse(404, "{}");
}

std::optional<Response>
Store::HandleCommand(std::string_view aPath,
                     const Query& aQuery,
                     const std::string& aBody)
{
  if (aPath == "/standin/set") {
    m_down =
      aQuery.contains("down") ? NumberParameter(aQuery, "down") != 0 : m_down;
    m_busy =
      aQuery.contains("busy") ? NumberParameter(aQuery, "busy") != 0 : m_busy;
    return MakeResponse(200, "ok");
  }
  if (aPath == "/standin/compact") {
    Compact();
    return MakeResponse(200, "ok");
  }
  if (aPath == "/standin/save") {
    m_saved.clear();
    for (const auto& [name, topic] : m_topics) {
      m_saved[name] = *topic;
    }
    return MakeResponse(200, "ok");
  }
  if (aPath == "/standin/restore") {
    Restore();
    return MakeResponse(200, "ok");
  }
  KeyedRecord record;
  record.m_key = aQuery.at("key");
  if (aPath == "/standin/put") {
    record.m_value = aBody;
  }
  Topic& topic = FindOrCreate(aQuery.at("topic"));
  topic.m_records.push_back(std::move(record));
  topic.m_appended.Notify();
  return MakeResponse(200, "ok");
}

void
Store::Compact()
{
  for (auto& [name, topic] : m_topics) {
    std::map<std::string, KeyedRecord> newest;
    for (const KeyedRecord& record : topic->m_records) {
      newest[record.m_key] = record;
    }
    const uint64_t end = topic->End();
    topic->m_records.clear();
    for (const auto& [key, record] : newest) {
      topic->m_records.push_back(record);
    }
    topic->m_firstOffset = end - topic->m_records.size();
  }
}

void
Store::Restore()
{
  ++m_era;
  for (auto& [name, topic] : m_topics) {
    static_cast<TopicContent&>(*topic) = m_saved[name];
    topic->m_appended.Notify(); // ends the reads that wait
  }
}

Response
Store::Append(Topic& aTopic, const Query& aQuery, const std::string& aBody)
{
  const uint64_t offset = aTopic.End();
  if (aQuery.contains("at") && NumberParameter(aQuery, "at") != offset) {
    return MakeResponse(
      412, json::serialize(json::object{ { "endOffset", offset } }));
  }
  DecodedRecords decoded = DecodeKeyedRecords(aBody);
  if (decoded.m_truncated || decoded.m_unusable > 0) {
    return MakeResponse(400, "{}");
  }
  std::move(decoded.m_records.begin(),
            decoded.m_records.end(),
            std::back_inserter(aTopic.m_records));
  aTopic.m_appended.Notify();
  const json::object fields = { { "offset", offset },
                                { "endOffset", aTopic.End() } };
  return MakeResponse(200, json::serialize(fields));
}

asio::awaitable<Response>
Store::Read(Topic& aTopic, const Query& aQuery)
{
  const uint64_t from = NumberParameter(aQuery, "from");
  const auto wait =
    std::chrono::milliseconds(NumberParameter(aQuery, "waitMs"));
  if (from == aTopic.End()) {
    co_await aTopic.m_appended.WaitFor(wait);
  }
  if (from < aTopic.m_firstOffset || from > aTopic.End()) {
    const json::object fields = { { "firstOffset", aTopic.m_firstOffset } };
    co_return MakeResponse(410, json::serialize(fields));
  }
  std::string body;
  AppendBigEndian(aTopic.End(), body);
  AppendBigEndian(aTopic.m_firstOffset, body);
  for (uint64_t at = from; at < aTopic.End(); ++at) {
    EncodeKeyedRecord(aTopic.m_records[at - aTopic.m_firstOffset], body);
  }
  co_return MakeResponse(200, body);
}

Response
Store::Newest(const Topic& aTopic)
{
  std::map<std::string, std::pair<uint64_t, KeyedRecord>> newest;
  for (size_t i = 0; i < aTopic.m_records.size(); ++i) {
    const KeyedRecord& record = aTopic.m_records[i];
    newest[record.m_key] = { aTopic.m_firstOffset + i, record };
  }
  json::array items;
  for (const auto& [key, entry] : newest) {
    if (entry.second.m_value) {
      items.push_back(
        json::object{ { "key", key },
                      { "value", ToBase64(*entry.second.m_value) },
                      { "offset", entry.first } });
    }
  }
  const json::object fields = { { "items", std::move(items) },
                                { "hasMore", false },
                                { "endOffset", aTopic.End() } };
  return MakeResponse(200, json::serialize(fields));
}

asio::awaitable<void>
Accept(asio::ip::tcp::acceptor aAcceptor, Store& aStore)
{
  while (true) {
    auto [error, socket] = co_await aAcceptor.async_accept(kAwait);
    if (!error) {
      asio::co_spawn(aAcceptor.get_executor(),
                     aStore.Serve(std::move(socket)),
                     asio::detached);
    }
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_port < 0 || FLAGS_port > 65535) {
    std::cerr << "--port must be from 0 to 65535\n";
    return 2;
  }
  try {
    asio::io_context context(1);
    const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(FLAGS_address), static_cast<uint16_t>(FLAGS_port));
    asio::ip::tcp::acceptor acceptor(context, endpoint);
    std::cout << "listening " << acceptor.local_endpoint().port() << std::endl;
    Store store(context.get_executor());
    asio::co_spawn(context, Accept(std::move(acceptor), store), asio::detached);
    context.run();
  } catch (const std::exception& error) {
    std::cerr << "standin_store: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
