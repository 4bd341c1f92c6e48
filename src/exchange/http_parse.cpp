//===- http_parse.cpp - HTTP/1.1 messages from bytes ----------------------===//
//
// Beast wants the whole header in one buffer and reports need_more until then.
// With eager parsing it takes what it can of the body in each call.
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

/// Answers of engines and services are far smaller; this only bounds memory.
constexpr uint64_t LongestAnswer = 64ULL << 20;
constexpr uint32_t LongestAnswerHeader = 64U << 10;

ParseFault faultOf(const boost::system::error_code &Error) {
  if (!Error || Error == http::error::need_more)
    return ParseFault::None;
  if (Error == http::error::header_limit)
    return ParseFault::HeaderTooLong;
  if (Error == http::error::body_limit)
    return ParseFault::BodyTooLong;
  return ParseFault::Malformed;
}

template <typename Parser>
ParseFault feedParser(Parser &To, std::string &Bytes) {
  size_t Used = 0;
  ParseFault Fault = ParseFault::None;
  while (Used < Bytes.size() && !To.is_done()) {
    boost::system::error_code Error;
    size_t Taken = To.put(
        boost::asio::buffer(Bytes.data() + Used, Bytes.size() - Used), Error);
    Used += Taken;
    Fault = faultOf(Error);
    if (Fault != ParseFault::None || (Error && Taken == 0))
      break;
    if (Error == http::error::need_more && Taken == 0)
      break;
  }
  Bytes.erase(0, Used);
  return Fault;
}

template <typename Fields>
std::vector<HeaderField> fieldsOf(const Fields &From) {
  std::vector<HeaderField> Out;
  for (const auto &Each : From)
    Out.emplace_back(std::string(Each.name_string()),
                     std::string(Each.value()));
  return Out;
}

constexpr std::array<absl::string_view, 9> HopByHop = {"connection",
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
  for (const HeaderField &Each : Fields)
    if (absl::EqualsIgnoreCase(Each.first, Name))
      return &Each.second;
  return nullptr;
}

bool isHopByHop(absl::string_view Name) {
  for (absl::string_view Each : HopByHop)
    if (absl::EqualsIgnoreCase(Each, Name))
      return true;
  return false;
}

void appendFields(std::string &Out, const std::vector<HeaderField> &Fields) {
  for (const HeaderField &Each : Fields)
    absl::StrAppend(&Out, Each.first, ": ", Each.second, "\r\n");
  Out += "\r\n";
}

struct RequestParser::Inner {
  http::request_parser<http::string_body> Reader;
};

RequestParser::RequestParser(const CallerLimits &Limits)
    : Parser(std::make_unique<Inner>()) {
  this->Parser->Reader.eager(true);
  this->Parser->Reader.header_limit(static_cast<uint32_t>(Limits.HeaderBytes));
  this->Parser->Reader.body_limit(static_cast<uint64_t>(Limits.BodyBytes));
}

RequestParser::~RequestParser() = default;

ParseFault RequestParser::feed(std::string &Bytes) {
  return feedParser(this->Parser->Reader, Bytes);
}

bool RequestParser::started() const { return this->Parser->Reader.got_some(); }

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

HttpRequest RequestParser::take() {
  auto &Message = this->Parser->Reader.get();
  HttpRequest Out;
  Out.Method = std::string(Message.method_string());
  Out.Target = std::string(Message.target());
  Out.Headers = fieldsOf(Message);
  Out.Body = std::move(Message.body());
  return Out;
}

struct AnswerParser::Inner {
  http::response_parser<http::string_body> Reader;
};

AnswerParser::AnswerParser(bool WithoutBody)
    : Parser(std::make_unique<Inner>()) {
  this->Parser->Reader.eager(true);
  this->Parser->Reader.skip(WithoutBody);
  this->Parser->Reader.header_limit(LongestAnswerHeader);
  this->Parser->Reader.body_limit(LongestAnswer);
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
  HttpHead Out;
  Out.Status = static_cast<int>(Message.result_int());
  Out.Reason = std::string(Message.reason());
  Out.Headers = fieldsOf(Message);
  return Out;
}

std::string AnswerParser::takeBody() {
  std::string Part;
  std::swap(Part, this->Parser->Reader.get().body());
  return Part;
}

} // namespace berylramp
