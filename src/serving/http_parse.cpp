//===- http_parse.cpp - HTTP/1.1 messages from bytes ----------------------===//
//
// Beast needs the complete header in one buffer and reports need_more until
// then. With eager parsing, each call consumes as much of the body as possible.
//
//===----------------------------------------------------------------------===//

#include "http_parse.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>

namespace berylramp {

namespace {

namespace http = boost::beast::http;

constexpr uint32_t MaxAnswerHeaderBytes = 64U << 10;
constexpr unsigned NoContentStatus = 204;
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
ParseFault feedParser(Parser &BeastParser, absl::string_view Bytes,
                      size_t &Consumed) {
  Consumed = 0;
  ParseFault Fault = ParseFault::None;
  while (Consumed < Bytes.size() && !BeastParser.is_done()) {
    boost::system::error_code Error;
    size_t Count = BeastParser.put(
        boost::asio::buffer(Bytes.data() + Consumed, Bytes.size() - Consumed),
        Error);
    Consumed += Count;
    Fault = toParseFault(Error);
    if (Fault != ParseFault::None || (Error && Count == 0))
      break;
    if (Error == http::error::need_more && Count == 0)
      break;
  }
  bool NeedsMore = Fault == ParseFault::None && !BeastParser.is_done();
  if (NeedsMore && Bytes.size() - Consumed > MaxUnparsedBytes)
    return ParseFault::HeaderTooLong;
  return Fault;
}

/// The transfer coding of a message. Beast ignores codings other than a final
/// "chunked", and takes what follows such a request as the next one.
class TransferCoding {
public:
  void add(absl::string_view Value) {
    this->IsFramed =
        !this->IsPresent && absl::EqualsIgnoreCase(Value, "chunked");
    this->IsPresent = true;
  }
  /// Whether both ends agree on where the body ends, and what it is (RFC 9112,
  /// 6.1 and 6.3).
  bool isSound(int Version) const {
    return !this->IsPresent || (this->IsFramed && Version >= ChunkedVersion);
  }

  /// HTTP/1.1, as Beast counts versions.
  static constexpr int ChunkedVersion = 11;

private:
  bool IsPresent = false;
  bool IsFramed = false;
};

/// Whether a status of this number may exist (RFC 9110, 15).
bool isStatusCode(unsigned Status) {
  constexpr unsigned First = 100;
  constexpr unsigned Last = 599;
  return First <= Status && Status <= Last;
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

/// Parses a request into one string for its header and one for its body.
/// Beast's own containers allocate each field, and reserve a body of the length
/// that the sender announces.
struct RequestParser::Impl : http::basic_parser<true> {
  CallerRequest Parsed;
  uint64_t AnnouncedBytes = 0;
  bool WantsContinue = false;
  int Version = 0;
  TransferCoding Coding;

  /// Makes room for \p Count bytes of the body. The memory of a body whose
  /// length is announced never exceeds it.
  void reserveBody(size_t Count) {
    std::string &Body = this->Parsed.Body;
    size_t Needed = Body.size() + Count;
    if (Needed <= Body.capacity())
      return;
    size_t Doubled = 2 * Body.capacity();
    if (this->AnnouncedBytes >= Needed)
      Doubled = std::min<size_t>(Doubled, this->AnnouncedBytes);
    Body.reserve(std::max(Needed, Doubled));
  }

  // NOLINTBEGIN(readability-identifier-naming): the names that Beast requires.
private:
  using Text = boost::string_view;
  using ErrorCode = boost::system::error_code;

  void on_request_impl(http::verb, Text Method, Text Target, int HttpVersion,
                       ErrorCode &Error) override {
    Error = {};
    this->Version = HttpVersion;
    this->Parsed.Method.assign(Method.data(), Method.size());
    this->Parsed.Target.assign(Target.data(), Target.size());
  }
  void on_response_impl(int, Text, int, ErrorCode &Error) override {
    Error = {};
  }
  void on_field_impl(http::field Name, Text NameText, Text Value,
                     ErrorCode &Error) override {
    Error = {};
    // Fields that follow a chunked body are not forwarded.
    if (this->is_header_done())
      return;
    if (Name == http::field::expect)
      this->WantsContinue = boost::beast::iequals(Value, "100-continue");
    if (Name == http::field::transfer_encoding)
      this->Coding.add({Value.data(), Value.size()});
    this->Parsed.Headers.add({NameText.data(), NameText.size()},
                             {Value.data(), Value.size()});
  }
  void on_header_impl(ErrorCode &Error) override {
    Error = {};
    this->Parsed.Headers.shrink();
  }
  void on_body_init_impl(const boost::optional<uint64_t> &Length,
                         ErrorCode &Error) override {
    Error = {};
    this->AnnouncedBytes = Length.value_or(0);
  }
  size_t on_body_impl(Text Bytes, ErrorCode &Error) override {
    Error = {};
    this->reserveBody(Bytes.size());
    this->Parsed.Body.append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }
  void on_chunk_header_impl(uint64_t, Text, ErrorCode &Error) override {
    Error = {};
  }
  size_t on_chunk_body_impl(uint64_t, Text Bytes, ErrorCode &Error) override {
    return this->on_body_impl(Bytes, Error);
  }
  void on_finish_impl(ErrorCode &Error) override { Error = {}; }
  // NOLINTEND(readability-identifier-naming)
};

RequestParser::RequestParser(const CallerLimits &Limits)
    : Parser(std::make_unique<Impl>()) {
  this->Parser->eager(true);
  this->Parser->header_limit(static_cast<uint32_t>(Limits.HeaderBytes));
  this->Parser->body_limit(static_cast<uint64_t>(Limits.BodyBytes));
}

RequestParser::~RequestParser() = default;

ParseFault RequestParser::feed(absl::string_view Bytes, size_t &Consumed) {
  ParseFault Fault = feedParser(*this->Parser, Bytes, Consumed);
  // Not in a callback of the parser, which ignores an error at the end of the
  // header if the bytes go on.
  bool IsSound = this->Parser->Coding.isSound(this->Parser->Version);
  if (Fault == ParseFault::None && this->headDone() && !IsSound)
    return ParseFault::Malformed;
  return Fault;
}

bool RequestParser::hasStarted() const { return this->Parser->got_some(); }

bool RequestParser::headDone() const { return this->Parser->is_header_done(); }

bool RequestParser::done() const { return this->Parser->is_done(); }

bool RequestParser::keepAlive() const { return this->Parser->keep_alive(); }

bool RequestParser::wantsContinue() const {
  return this->Parser->WantsContinue;
}

bool RequestParser::readsChunks() const {
  return this->Parser->Version >= TransferCoding::ChunkedVersion;
}

size_t RequestParser::bodyBytes() const {
  return this->Parser->Parsed.Body.size();
}

size_t RequestParser::announcedBytes() const {
  return static_cast<size_t>(this->Parser->AnnouncedBytes);
}

size_t RequestParser::memory() const { return memoryOf(this->Parser->Parsed); }

CallerRequest RequestParser::releaseRequest() {
  return std::move(this->Parser->Parsed);
}

size_t memoryOf(const CallerRequest &Request) {
  return Request.Headers.memory() + Request.Method.capacity() +
         Request.Target.capacity() + Request.Body.capacity();
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

  /// Whether the header states a status that exists and a body whose end both
  /// ends agree on.
  bool isHeadSound() const {
    const auto &Head = this->Reader.get();
    TransferCoding Coding;
    for (const auto &Field : Head)
      if (Field.name() == http::field::transfer_encoding)
        Coding.add({Field.value().data(), Field.value().size()});
    return isStatusCode(Head.result_int()) &&
           Coding.isSound(static_cast<int>(Head.version()));
  }
  /// Whether the sender may write a body that this status excludes.
  bool mayHaveExcludedBody() const {
    const auto &Head = this->Reader.get();
    bool ExcludesBody = Head.result_int() == NoContentStatus;
    return ExcludesBody && (this->Reader.chunked() ||
                            this->Reader.content_length().value_or(0) > 0);
  }
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
  size_t Consumed = 0;
  bool HadHead = this->headDone();
  ParseFault Fault = feedParser(this->Parser->Reader, Bytes, Consumed);
  Bytes.erase(0, Consumed);
  bool ReadsHead = !HadHead && this->headDone();
  if (Fault == ParseFault::None && ReadsHead && !this->Parser->isHeadSound())
    return ParseFault::Malformed;
  return Fault;
}

bool AnswerParser::headDone() const {
  return this->Parser->Reader.is_header_done();
}

bool AnswerParser::done() const { return this->Parser->Reader.is_done(); }

bool AnswerParser::keepAlive() const {
  return this->Parser->Reader.keep_alive() &&
         !this->Parser->mayHaveExcludedBody();
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
