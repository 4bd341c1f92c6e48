//===- framing_test.cpp - Where messages end ------------------------------===//
//
// Two ends that disagree on where a message ends take its bytes for another
// message (RFC 9112, 6.1 and 6.3).
//
//===----------------------------------------------------------------------===//

#include "edge_fixture.h"
#include "forwarding.h"
#include "http_parse.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

const std::string RequestLine = "POST /once/a HTTP/1.1\r\nHost: api.test\r\n";
const std::string StatusLine = "HTTP/1.1 200 OK\r\n";

/// Whether a request with \p Framing is malformed, however its bytes arrive.
bool rejectsRequest(const std::string &Framing,
                    const std::string &Line = RequestLine) {
  std::string Input = Line + Framing;
  RequestParser Whole{CallerLimits()};
  size_t Consumed = 0;
  bool RejectsWhole = Whole.feed(Input, Consumed) == ParseFault::Malformed;
  RequestParser Bytewise{CallerLimits()};
  ParseFault Fault = ParseFault::None;
  std::string Buffer;
  for (char Byte : Input) {
    Buffer += Byte;
    if (Fault == ParseFault::None && !Bytewise.done())
      Fault = Bytewise.feed(Buffer, Consumed);
    Buffer.erase(0, Consumed);
    Consumed = 0;
  }
  CHECK((Fault == ParseFault::Malformed) == RejectsWhole);
  return RejectsWhole;
}

ParseFault parseAnswer(const std::string &Text) {
  AnswerParser Parser(/*WithoutBody=*/false);
  std::string Bytes = Text;
  return Parser.feed(Bytes);
}

/// Sends requests with a body that has the text of another request.
struct SmugglingFixture : ServingFixture {
  /// The number of answers on one connection.
  int countAnswers(const Endpoint &Listener, const std::string &Head,
                   const std::string &Coding, int ExpectedStatus) {
    RawCaller Caller(this->Loop, Listener);
    Caller.send(absl::StrCat(Head, "Transfer-Encoding: ", Coding, "\r\n\r\n",
                             "POST /once/inner HTTP/1.1\r\nHost: api.test\r\n"
                             "Authorization: Token key-1\r\n"
                             "Berylramp-Attempt-Id: inner\r\n"
                             "Content-Length: 0\r\n\r\n"));
    CHECK(this->runUntil(
        [&] { return Caller.hasCompleteAnswer() || Caller.isClosed(); }));
    this->runFor(absl::Milliseconds(50));
    CHECK(Caller.status() == ExpectedStatus);
    int Count = 0;
    const std::string &Text = Caller.received();
    for (size_t At = Text.find("HTTP/1.1 "); At != std::string::npos;
         At = Text.find("HTTP/1.1 ", At + 1))
      Count += 1;
    return Count;
  }
};

} // namespace

// A body with an unknown coding was read as the next request, and ran
// (review/6).
TEST_CASE("A request whose transfer coding is not chunks is malformed") {
  for (const char *Coding :
       {"identity", "gzip", "deflate", "chunked, identity", "gzip, chunked",
        "identity, chunked", "chunked, chunked", "xchunked", "chunked;a=b",
        "\"chunked\"", "chunked,", ",chunked", ""}) {
    CAPTURE(Coding);
    std::string Field = absl::StrCat("Transfer-Encoding: ", Coding, "\r\n");
    CHECK(rejectsRequest(Field + "\r\n"));
    CHECK(rejectsRequest(Field + "Content-Length: 3\r\n\r\nabc"));
    CHECK(rejectsRequest("Content-Length: 3\r\n" + Field + "\r\nabc"));
    CHECK(rejectsRequest(
        Field + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
    CHECK(rejectsRequest("Transfer-Encoding: chunked\r\n" + Field +
                         "\r\n3\r\nabc\r\n0\r\n\r\n"));
  }
}

// Proxies of that version read such a body by its length, or not at all.
TEST_CASE("A request of HTTP/1.0 with a transfer coding is malformed") {
  CHECK(rejectsRequest("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                       "POST /once/a HTTP/1.0\r\nHost: api.test\r\n"));
}

TEST_CASE("A request in chunks is sound in any case and with any space") {
  for (const char *Value : {"chunked", "Chunked", "  CHUNKED \t"}) {
    CAPTURE(Value);
    CHECK_FALSE(rejectsRequest(absl::StrCat("Transfer-Encoding:", Value,
                                            "\r\n\r\n3\r\nabc\r\n0\r\n\r\n")));
  }
}

TEST_CASE("A request whose length is ambiguous is malformed") {
  for (const char *Framing :
       {"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: 3, 4\r\n\r\nabcd", "Content-Length: +3\r\n\r\nabc",
        "Content-Length: -3\r\n\r\nabc", "Content-Length: 0x3\r\n\r\nabc",
        "Content-Length: 3 3\r\n\r\nabc", "Content-Length: \r\n\r\nabc",
        "Content-Length: 18446744073709551617\r\n\r\na",
        "Content-Length : 3\r\n\r\nabc", "Content-Length: 3\nX: y\r\n\r\nabc",
        "X: y\rContent-Length: 3\r\n\r\nabc",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"}) {
    CAPTURE(Framing);
    CHECK(rejectsRequest(Framing));
  }
}

TEST_CASE("A request with ambiguous chunks is malformed") {
  for (const char *Chunks :
       {"+3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n",
        "\r\nabc\r\n0\r\n\r\n", "3\nabc\r\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n",
        "3\r\nabc\n0\r\n\r\n", "3;a\nb\r\nabc\r\n0\r\n\r\n",
        "10000000000000003\r\nabc\r\n0\r\n\r\n",
        "3\r\nabc\r\n0\r\nContent-Length: 9\r\n\r\n",
        "3\r\nabc\r\n0\r\nTransfer-Encoding: gzip\r\n\r\n"}) {
    CAPTURE(Chunks);
    CHECK(rejectsRequest(
        absl::StrCat("Transfer-Encoding: chunked\r\n\r\n", Chunks)));
  }
}

// Each listener read the body as a further request (review/6).
TEST_CASE_METHOD(SmugglingFixture,
                 "No listener reads a body without a length as a request") {
  Endpoint Metrics{"127.0.0.1", standin::findFreePort()};
  REQUIRE(this->Daemon->serveMetrics(Metrics).ok());
  for (const char *Coding : {"identity", "gzip", "chunked, identity"}) {
    CAPTURE(Coding);
    const std::string Caller = "Authorization: Token key-1\r\n"
                               "Berylramp-Attempt-Id: outer\r\n";
    CHECK(this->countAnswers(this->Config.Callers, RequestLine + Caller, Coding,
                             400) == 1);
    CHECK(this->countAnswers(this->Config.Ready,
                             "GET /berylramp/readyz HTTP/1.1\r\nHost: x\r\n",
                             Coding, 400) == 1);
    CHECK(this->countAnswers(this->Config.Directory,
                             "GET /berylramp/resolve HTTP/1.1\r\nHost: x\r\n",
                             Coding, 400) == 1);
    CHECK(this->countAnswers(this->Config.Peers,
                             "POST /peer/where HTTP/1.1\r\nHost: x\r\n", Coding,
                             400) == 1);
    CHECK(this->countAnswers(Metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n",
                             Coding, 400) == 1);
    // A tunnel ends without an answer to a request that it cannot read.
    CHECK(this->countAnswers({this->Config.Ip, this->Config.GossipPort},
                             absl::StrCat("CONNECT ",
                                          absl::Hex(stableHash("plain-0")),
                                          " HTTP/1.1\r\nHost: replica\r\n"),
                             Coding, 0) == 0);
  }
  CHECK(this->runCount("outer") == 0);
  CHECK(this->runCount("inner") == 0);
}

TEST_CASE("A forwarded request states the length of its body once") {
  HeaderNames Names = platform::codec().Headers;
  for (const char *Body : {"", "abc"}) {
    CallerRequest Request;
    Request.Method = "POST";
    Request.Target = "/once/a";
    Request.Headers = {{"Host", "api.test"},
                       {"Connection", "Content-Length, close"},
                       {"Content-Length", "77"},
                       {"content-length", "78"},
                       {"Transfer-Encoding", "chunked"},
                       {"TE", "trailers"},
                       {"Trailer", "X"},
                       {"Upgrade", "h2c"},
                       {"Expect", "100-continue"}};
    Request.Body = Body;
    std::string Head = forwardedHead(Request, Names, ForwardOverrides());
    CAPTURE(Head);
    for (const char *Name : {"Transfer-Encoding", "TE:", "Trailer", "Upgrade",
                             "Expect:", "Connection", "77", "78"})
      CHECK_FALSE(absl::StrContains(Head, Name));
    std::string Length =
        absl::StrCat("Content-Length: ", Request.Body.size(), "\r\n");
    CHECK(absl::EndsWith(Head, Length + "\r\n"));
  }
}

// A body in a coding that nobody removes reached callers as the answer.
TEST_CASE("An answer whose transfer coding is not chunks is malformed") {
  for (const char *Coding :
       {"identity", "gzip", "chunked, identity", "gzip, chunked",
        "identity, chunked", "chunked, chunked", "xchunked", ""}) {
    CAPTURE(Coding);
    std::string Head =
        absl::StrCat(StatusLine, "Transfer-Encoding: ", Coding, "\r\n");
    CHECK(parseAnswer(Head + "\r\n") == ParseFault::Malformed);
    CHECK(parseAnswer(Head + "Content-Length: 3\r\n\r\nabc") ==
          ParseFault::Malformed);
    CHECK(
        parseAnswer(
            Head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n") ==
        ParseFault::Malformed);
  }
  CHECK(parseAnswer("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "0\r\n\r\n") == ParseFault::Malformed);
  CHECK(parseAnswer(StatusLine + "Transfer-Encoding: Chunked\r\n\r\n"
                                 "3\r\nabc\r\n0\r\n\r\n") == ParseFault::None);
}

TEST_CASE("An answer whose length is ambiguous is malformed") {
  for (const char *Framing :
       {"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: +3\r\n\r\nabc", "Content-Length: \r\n\r\nabc",
        "Content-Length : 3\r\n\r\nabc", "X: y\nContent-Length: 3\r\n\r\nabc",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n"}) {
    CAPTURE(Framing);
    CHECK(parseAnswer(StatusLine + Framing) == ParseFault::Malformed);
  }
}

// The next request on the connection received that body as its answer.
TEST_CASE("A connection ends with an answer whose status allows no body, but "
          "that states one") {
  auto KeepsConnection = [](const std::string &Text, bool IsHead = false) {
    AnswerParser Parser(IsHead);
    std::string Bytes = Text;
    REQUIRE(Parser.feed(Bytes) == ParseFault::None);
    REQUIRE(Parser.done());
    return Parser.keepAlive();
  };
  const std::string NoContent = "HTTP/1.1 204 No Content\r\n";
  CHECK(KeepsConnection(NoContent + "\r\n"));
  CHECK(KeepsConnection(NoContent + "Content-Length: 0\r\n\r\n"));
  CHECK_FALSE(KeepsConnection(NoContent + "Content-Length: 3\r\n\r\n"));
  CHECK_FALSE(
      KeepsConnection(NoContent + "Transfer-Encoding: chunked\r\n\r\n"));
  // Both state the length of the body that they leave out.
  CHECK(KeepsConnection(
      "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n"));
  CHECK(KeepsConnection(StatusLine + "Content-Length: 3\r\n\r\n",
                        /*IsHead=*/true));
}

// Callers of HTTP/1.0 received the sizes of chunks as a part of their answer.
TEST_CASE_METHOD(ServingFixture,
                 "A stream to a caller of HTTP/1.0 ends with its connection") {
  RawCaller Caller(this->Loop, this->callerEndpoint());
  Caller.send("POST /stream/a HTTP/1.0\r\nHost: api.test\r\n"
              "Authorization: Token key-1\r\nBerylramp-Attempt-Id: old\r\n"
              "Berylramp-Model: *\r\nContent-Length: 1\r\n\r\nx");
  CHECK(this->runUntil([&] { return Caller.isClosed(); }));
  CHECK_FALSE(Caller.wasReset());
  CHECK_FALSE(absl::StrContains(Caller.received(), "Transfer-Encoding"));
  CHECK(absl::StrContains(Caller.received(), "Connection: close"));
  CHECK(absl::StrContains(Caller.received(), "\r\n\r\nid: 1\n"));
  CHECK(absl::EndsWith(Caller.received(), "5 of old\n\n"));
}

TEST_CASE_METHOD(ServingFixture,
                 "A broken stream to a caller of HTTP/1.0 is reset") {
  for (const auto &Engine : this->Engines)
    Engine->EventsBeforeCut = 1;
  RawCaller Caller(this->Loop, this->callerEndpoint());
  Caller.send("POST /stream/a HTTP/1.0\r\nHost: api.test\r\n"
              "Authorization: Token key-1\r\nBerylramp-Attempt-Id: old\r\n"
              "Berylramp-Model: *\r\nContent-Length: 1\r\n\r\nx");
  CHECK(this->runUntil([&] { return Caller.isClosed(); }));
  CHECK(Caller.wasReset());
}

// An answer to CONNECT has no body for one end and a body for the other.
TEST_CASE_METHOD(ServingFixture, "A caller's CONNECT reaches no replica") {
  RawCaller Caller(this->Loop, this->callerEndpoint());
  Caller.send("CONNECT /once/a HTTP/1.1\r\nHost: api.test\r\n"
              "Authorization: Token key-1\r\nBerylramp-Attempt-Id: tunnel\r\n"
              "\r\n");
  CHECK(this->runUntil([&] { return Caller.isClosed(); }));
  CHECK(Caller.status() == 501);
  CHECK(this->runCount("tunnel") == 0);
}
