//===- http_parse.h - HTTP/1.1 messages from bytes --------------*- C++ -*-===//
//
// Wraps Beast's parsers in plain types, so that Beast's headers are compiled in
// one source file only.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SERVING_HTTP_PARSE_H
#define BERYLRAMP_SERVING_HTTP_PARSE_H

#include "berylramp/serving.h"
#include <optional>

namespace berylramp {

enum class ParseFault { None, Malformed, HeaderTooLong, BodyTooLong };

/// Parses one request.
class RequestParser {
public:
  explicit RequestParser(const CallerLimits &Limits);
  ~RequestParser();

  /// Parses from the front of \p Bytes; \p Consumed is set to the number of
  /// bytes that need not be passed again.
  ParseFault feed(absl::string_view Bytes, size_t &Consumed);
  bool hasStarted() const;
  bool headDone() const;
  bool done() const;
  bool keepAlive() const;
  bool wantsContinue() const;
  /// Whether the sender knows answers in chunks.
  bool readsChunks() const;
  /// Bytes of the body that were received, and that the header announces; 0
  /// when it announces none.
  size_t bodyBytes() const;
  size_t announcedBytes() const;
  /// Bytes of memory that the parsed parts of the request take.
  size_t memory() const;
  CallerRequest releaseRequest();

private:
  struct Impl;
  std::unique_ptr<Impl> Parser;
};

/// Parses one answer and provides its body in chunks.
class AnswerParser {
public:
  /// Without \p MaxBodyBytes, the length of the body is not limited.
  explicit AnswerParser(bool WithoutBody,
                        std::optional<uint64_t> MaxBodyBytes = std::nullopt);
  ~AnswerParser();

  ParseFault feed(std::string &Bytes);
  bool headDone() const;
  bool done() const;
  /// Whether the next answer may follow on the connection.
  bool keepAlive() const;
  /// Signals the sender's orderly close; returns true if that completes the
  /// answer.
  bool finishAtEof();
  HttpHead head() const;
  /// Returns the bytes of the body received since the last call.
  std::string takeBody();

private:
  struct Impl;
  std::unique_ptr<Impl> Parser;
};

/// Appends the header fields and the empty line that ends the header.
void appendFields(std::string &Buffer, const std::vector<HeaderField> &Fields);

/// Whether the field applies to a single connection and is not forwarded.
bool isHopByHop(absl::string_view Name);

} // namespace berylramp

#endif // BERYLRAMP_SERVING_HTTP_PARSE_H
