//===- http_parse.cpp - HTTP/1.1 messages from bytes ----------------------===//
//
// Beast needs the complete header in one buffer and reports need_more until
// then. With eager parsing, each call consumes as much of the body as possible.
//
//===----------------------------------------------------------------------===//

#include "http_parse.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <array>
#include <boost/beast/http.hpp>

namespace berylramp {

namespace {

namespace http = boost::beast::http;

constexpr uint32_t MaxAnswerHeaderBytes = 64U << 10;
/// Bytes without the end of a header, a chunk header or a trailer.
constexpr size_t MaxUnparsedBytes = 80U << 10;

ParseFault toParseFault(const boost::system::error_code &Error) {
  if (!Error || Error == http::error::need_more)
    return ParseFault::None;
  if (Error == http::error::header_limit)
    return ParseFault::HeaderTooLong;
  if (Error == http::error::body_limit)
    return ParseFault::BodyTooLong;
  return ParseFault::Malformed;
}

template <typename Parser>
ParseFault feedParser(Parser &BeastParser, std::string &Bytes) {
  size_t Offset = 0;
  ParseFault Fault = ParseFault::None;
  while (Offset < Bytes.size() && !BeastParser.is_done()) {
    boost::system::error_code Error;
    size_t Consumed = BeastParser.put(
        boost::asio::buffer(Bytes.data() + Offset, Bytes.size() - Offset),
        Error);
    Offset += Consumed;
    Fault = toParseFault(Error);
    if (Fault != ParseFault::None || (Error && Consumed == 0))
      break;
    if (Error == http::error::need_more && Consumed == 0)
      break;
  }
  Bytes.erase(0, Offset);
  bool NeedsMore = Fault == ParseFault::None && !BeastParser.is_done();
  if (NeedsMore && Bytes.size() > MaxUnparsedBytes)
    return ParseFault::HeaderTooLong;
  return Fault;
}

template <typename Fields>
std::vector<HeaderField> toHeaderFields(const Fields &Source) {
  std::vector<HeaderField> Result;
  for (const auto &Field : Source)
    Result.emplace_back(std::string(Field.name_string()),
                        std::string(Field.value()));
  return Result;
}

constexpr std::array<absl::string_view, 9> HopByHopFields = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade"};

} // namespace

const std::string *findHeader(const std::vector<HeaderField> &Fields,
                              absl::string_view Name) {
  for (const HeaderField &Field : Fields)
    if (absl::EqualsIgnoreCase(Field.first, Name))
      return &Field.second;
  return nullptr;
}

bool isHopByHop(absl::string_view Name) {
  for (absl::string_view Field : HopByHopFields)
    if (absl::EqualsIgnoreCase(Field, Name))
      return true;
  return false;
}

void appendFields(std::string &Buffer, const std::vector<HeaderField> &Fields) {
  for (const HeaderField &Field : Fields)
    absl::StrAppend(&Buffer, Field.first, ": ", Field.second, "\r\n");
  Buffer += "\r\n";
}

struct RequestParser::Impl {
  http::request_parser<http::string_body> Reader;
};

RequestParser::RequestParser(const CallerLimits &Limits)
    : Parser(std::make_unique<Impl>()) {
  this->Parser->Reader.eager(true);
  this->Parser->Reader.header_limit(static_cast<uint32_t>(Limits.HeaderBytes));
  this->Parser->Reader.body_limit(static_cast<uint64_t>(Limits.BodyBytes));
}

RequestParser::~RequestParser() = default;

ParseFault RequestParser::feed(std::string &Bytes) {
  return feedParser(this->Parser->Reader, Bytes);
}

bool RequestParser::hasStarted() const {
  return this->Parser->Reader.got_some();
}

bool RequestParser::headDone() const {
  return this->Parser->Reader.is_header_done();
}

bool RequestParser::done() const { return this->Parser->Reader.is_done(); }

bool RequestParser::keepAlive() const {
  return this->Parser->Reader.keep_alive();
}

bool RequestParser::wantsContinue() const {
  const auto &Message = this->Parser->Reader.get();
  return boost::beast::iequals(Message[http::field::expect], "100-continue");
}

size_t RequestParser::bodyBytes() const {
  return this->Parser->Reader.get().body().size();
}

size_t RequestParser::announcedBytes() const {
  auto Length = this->Parser->Reader.content_length();
  return Length ? static_cast<size_t>(*Length) : 0;
}

CallerRequest RequestParser::releaseRequest() {
  auto &Message = this->Parser->Reader.get();
  CallerRequest Result;
  Result.Method = std::string(Message.method_string());
  Result.Target = std::string(Message.target());
  Result.Headers = toHeaderFields(Message);
  Result.Body = std::move(Message.body());
  return Result;
}

namespace {

/// Holds the bytes of a body that were received. Unlike Beast's string body it
/// reserves nothing for the length that the sender announces.
struct ReceivedBody {
  // NOLINTBEGIN(readability-identifier-naming): the names that Beast requires.
  using value_type = std::string;

  class reader {
  public:
    template <bool IsRequest, typename Fields>
    reader(http::header<IsRequest, Fields> &, value_type &Body) : Body(Body) {}

    void init(const boost::optional<uint64_t> &,
              boost::system::error_code &Error) {
      Error = {};
    }
    template <typename Buffers>
    size_t put(const Buffers &Received, boost::system::error_code &Error) {
      Error = {};
      size_t Before = this->Body.size();
      for (auto Buffer : boost::beast::buffers_range_ref(Received))
        this->Body.append(static_cast<const char *>(Buffer.data()),
                          Buffer.size());
      return this->Body.size() - Before;
    }
    void finish(boost::system::error_code &Error) { Error = {}; }

  private:
    value_type &Body;
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace

struct AnswerParser::Impl {
  http::response_parser<ReceivedBody> Reader;
};

AnswerParser::AnswerParser(bool WithoutBody,
                           std::optional<uint64_t> MaxBodyBytes)
    : Parser(std::make_unique<Impl>()) {
  this->Parser->Reader.eager(true);
  this->Parser->Reader.skip(WithoutBody);
  this->Parser->Reader.header_limit(MaxAnswerHeaderBytes);
  if (MaxBodyBytes)
    this->Parser->Reader.body_limit(*MaxBodyBytes);
  else
    this->Parser->Reader.body_limit(boost::none);
}

AnswerParser::~AnswerParser() = default;

ParseFault AnswerParser::feed(std::string &Bytes) {
  return feedParser(this->Parser->Reader, Bytes);
}

bool AnswerParser::headDone() const {
  return this->Parser->Reader.is_header_done();
}

bool AnswerParser::done() const { return this->Parser->Reader.is_done(); }

bool AnswerParser::keepAlive() const {
  return this->Parser->Reader.keep_alive();
}

bool AnswerParser::finishAtEof() {
  if (!this->Parser->Reader.is_header_done())
    return false;
  boost::system::error_code Error;
  this->Parser->Reader.put_eof(Error);
  return !Error && this->Parser->Reader.is_done();
}

HttpHead AnswerParser::head() const {
  const auto &Message = this->Parser->Reader.get();
  HttpHead Result;
  Result.Status = static_cast<int>(Message.result_int());
  Result.Reason = std::string(Message.reason());
  Result.Headers = toHeaderFields(Message);
  return Result;
}

std::string AnswerParser::takeBody() {
  std::string Chunk;
  std::swap(Chunk, this->Parser->Reader.get().body());
  return Chunk;
}

} // namespace berylramp
