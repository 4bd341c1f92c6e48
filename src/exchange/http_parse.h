//===- http_parse.h - HTTP/1.1 messages from bytes --------------*- C++ -*-===//
//
// Beast's parsers behind plain types, so that its headers are compiled once.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_HTTP_PARSE_H
#define BERYLRAMP_EXCHANGE_HTTP_PARSE_H

#include "berylramp/exchange.h"

namespace berylramp {

enum class ParseFault { None, Malformed, HeaderTooLong, BodyTooLong };

/// Reads one request.
class RequestParser {
public:
  explicit RequestParser(const CallerLimits &Limits);
  ~RequestParser();

  /// Parses from the front of \p Bytes and removes what it used.
  ParseFault feed(std::string &Bytes);
  bool started() const;
  bool headDone() const;
  bool done() const;
  bool keepAlive() const;
  bool wantsContinue() const;
  HttpRequest take();

private:
  struct Inner;
  std::unique_ptr<Inner> Parser;
};

/// Reads one answer. The body comes in parts.
class AnswerParser {
public:
  explicit AnswerParser(bool WithoutBody);
  ~AnswerParser();

  ParseFault feed(std::string &Bytes);
  bool headDone() const;
  bool done() const;
  bool keepAlive() const;
  /// The sender closed in order; true when that ends the answer as complete.
  bool finishAtEof();
  HttpHead head() const;
  /// The part of the body that came since the last call.
  std::string takeBody();

private:
  struct Inner;
  std::unique_ptr<Inner> Parser;
};

/// Appends a status line or request line's header fields and the empty line.
void appendFields(std::string &Out, const std::vector<HeaderField> &Fields);

/// True for fields that concern one connection only.
bool isHopByHop(absl::string_view Name);

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_HTTP_PARSE_H
