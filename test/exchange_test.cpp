//===- exchange_test.cpp - Parsers, events, execution tracker, forwarding -===//

#include "channel.h"
#include "events.h"
#include "execution_tracker.h"
#include "forwarding.h"
#include "http_parse.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "platform.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace berylramp;

TEST_CASE("Events are split the same however their bytes arrive") {
  rc::prop("for any split", [] {
    std::string Input;
    auto Texts = *rc::gen::container<std::vector<std::string>>(
        4, rc::gen::nonEmpty(
               rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))));
    for (size_t Index = 0; Index < Texts.size(); ++Index)
      absl::StrAppend(&Input, "id: ", Index + 1, "\ndata: ", Texts[Index],
                      "\n\n");
    EventSplitter Splitter;
    std::vector<StreamEvent> Found;
    size_t Position = 0;
    while (Position < Input.size()) {
      auto ChunkSize = static_cast<size_t>(*rc::gen::inRange(1, 20));
      for (StreamEvent &Event :
           Splitter.feed(Input.substr(Position, ChunkSize)))
        Found.push_back(Event);
      Position += ChunkSize;
    }
    RC_ASSERT(Found.size() == Texts.size());
    std::string Joined;
    for (size_t Index = 0; Index < Found.size(); ++Index) {
      RC_ASSERT(Found[Index].Id == static_cast<int64_t>(Index) + 1);
      Joined += Found[Index].Bytes;
    }
    RC_ASSERT(Joined == Input);
    RC_ASSERT(!Splitter.hasPartialEvent());
  });
}

TEST_CASE("Events with other line ends and fields are kept whole") {
  EventSplitter Splitter;
  auto Found = Splitter.feed("weights: 3\r\nid: 4\r\ndata: x\r\n\r\nid");
  REQUIRE(Found.size() == 1);
  CHECK(Found[0].Id == 4);
  CHECK(Splitter.hasPartialEvent());
}

TEST_CASE("Missing and repeated events are detected") {
  EventSequence Sequence(3);
  CHECK(Sequence.check(3) == EventSequence::Verdict::Repeated);
  CHECK(Sequence.check(4) == EventSequence::Verdict::Next);
  CHECK(Sequence.check(6) == EventSequence::Verdict::Gap);
  CHECK(Sequence.lastId() == 4);
}

TEST_CASE("No order of events runs a non-idempotent request twice") {
  rc::prop("over any interleaving", [] {
    ExecutionTracker Tracker(Repeatability::AtMostOnce);
    int PossibleRuns = 0;
    bool Pending = false;
    for (int Event :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
      if (Event == 0 && Tracker.mayRepeat()) {
        Tracker.markSent();
        PossibleRuns += 1;
        Pending = true;
      } else if (Event == 1 && Pending) {
        Tracker.markRejected();
        PossibleRuns -= 1;
        Pending = false;
      } else if (Event == 2 && Pending) {
        Tracker.markNotSent();
        PossibleRuns -= 1;
        Pending = false;
      }
      RC_ASSERT(PossibleRuns <= 1);
      RC_ASSERT(Tracker.provablyNotExecuted() == (PossibleRuns == 0));
    }
  });
}

TEST_CASE("A request is parsed the same however its bytes arrive") {
  rc::prop("for any split", [] {
    auto Body = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    std::string Input = absl::StrCat(
        "POST /a?b HTTP/1.1\r\nHost: h\r\nX-Y: z\r\nContent-Length: ",
        Body.size(), "\r\n\r\n", Body, "NEXT");
    RequestParser Parser{CallerLimits()};
    std::string Buffer;
    size_t Position = 0;
    while (Position < Input.size() && !Parser.done()) {
      auto ChunkSize = static_cast<size_t>(*rc::gen::inRange(1, 30));
      Buffer += Input.substr(Position, ChunkSize);
      Position += ChunkSize;
      size_t Consumed = 0;
      RC_ASSERT(Parser.feed(Buffer, Consumed) == ParseFault::None);
      Buffer.erase(0, Consumed);
    }
    RC_ASSERT(Parser.done());
    CallerRequest Request = Parser.releaseRequest();
    RC_ASSERT(Request.Body == Body);
    RC_ASSERT(Request.Target == "/a?b");
  });
}

TEST_CASE("A header of many short lines takes about its own bytes") {
  std::string Lines;
  while (Lines.size() < 16000)
    Lines += "a:\r\n";
  std::string Input = absl::StrCat("POST /a HTTP/1.1\r\n", Lines,
                                   "Content-Length: 1000000\r\n\r\nbody");
  RequestParser Parser{CallerLimits()};
  size_t Consumed = 0;
  REQUIRE(Parser.feed(Input, Consumed) == ParseFault::None);
  REQUIRE(Parser.headDone());
  CHECK(Parser.announcedBytes() == 1000000);
  CHECK(Parser.memory() < 2 * Input.size());
}

TEST_CASE("A header block has the fields that were added") {
  rc::prop("for any names and values", [] {
    auto Value = rc::gen::container<std::string>(
        rc::gen::element('x', ':', ' ', '\t', '\r', '\n', '\x80'));
    auto Values = *rc::gen::container<std::vector<std::string>>(Value);
    HeaderBlock Block;
    for (size_t Index = 0; Index < Values.size(); ++Index)
      Block.add(absl::StrCat("n", Index), Values[Index]);
    size_t Index = 0;
    for (const HeaderBlock::Field &Field : Block) {
      std::string Expected = Values[Index];
      std::replace(Expected.begin(), Expected.end(), '\r', ' ');
      std::replace(Expected.begin(), Expected.end(), '\n', ' ');
      RC_ASSERT(Field.Name == absl::StrCat("n", Index));
      RC_ASSERT(Field.Value == Expected);
      RC_ASSERT(findHeader(Block, absl::StrCat("N", Index)) == Field.Value);
      Index += 1;
    }
    RC_ASSERT(Index == Values.size());
  });
}

TEST_CASE("An answer that ends early is not complete") {
  AnswerParser Parser(false);
  std::string Bytes = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
  REQUIRE(Parser.feed(Bytes) == ParseFault::None);
  CHECK_FALSE(Parser.done());
  CHECK_FALSE(Parser.finishAtEof());
  AnswerParser Chunked(false);
  Bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
  REQUIRE(Chunked.feed(Bytes) == ParseFault::None);
  CHECK_FALSE(Chunked.finishAtEof());
}

// The announced length was reserved, and the exception left the request to its
// deadline.
TEST_CASE("An answer may announce any length") {
  AnswerParser Parser(false);
  std::string Bytes =
      "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000000\r\n\r\nab";
  CHECK(Parser.feed(Bytes) == ParseFault::None);
  CHECK(Parser.headDone());
  CHECK(Parser.takeBody() == "ab");
  CHECK_FALSE(Parser.done());
  CHECK_FALSE(Parser.finishAtEof());
}

TEST_CASE("An answer without a length ends with its connection") {
  AnswerParser Parser(false);
  std::string Bytes = "HTTP/1.1 200 OK\r\n\r\nabc";
  REQUIRE(Parser.feed(Bytes) == ParseFault::None);
  CHECK_FALSE(Parser.done());
  CHECK(Parser.finishAtEof());
  CHECK(Parser.takeBody() == "abc");
}

TEST_CASE("Bytes after an answer stay in the buffer") {
  AnswerParser Parser(false);
  std::string Bytes =
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n";
  REQUIRE(Parser.feed(Bytes) == ParseFault::None);
  CHECK(Parser.done());
  CHECK(absl::StartsWith(Bytes, "HTTP"));
}

TEST_CASE("Arbitrary bytes never crash the parsers") {
  rc::prop("for any bytes", [] {
    AnswerParser Parser(false);
    auto Bytes = *rc::gen::arbitrary<std::string>();
    std::string Buffer = Bytes;
    Parser.feed(Buffer);
    RequestParser Request{CallerLimits()};
    size_t Consumed = 0;
    Request.feed(Bytes, Consumed);
    RC_ASSERT(Consumed <= Bytes.size());
    RC_SUCCEED("parsed");
  });
}

TEST_CASE("A forwarded request has each system header only once") {
  CallerRequest IncomingRequest;
  IncomingRequest.Method = "POST";
  IncomingRequest.Target = "/a/b?c";
  IncomingRequest.Body = "body";
  IncomingRequest.Headers = {{"Host", "h"},
                             {"Connection", "X-Drop"},
                             {"X-Drop", "1"},
                             {"Authorization", "Token secret"},
                             {"Berylramp-Tenant", "forged"},
                             {"Berylramp-Deadline-Ms", "999999"},
                             {"Kv-From", "1.2.3.4:5/x"},
                             {"Berylramp-Prefix-Hash", "a:1"},
                             {"Content-Length", "4"}};
  ForwardOverrides Overrides;
  Overrides.DeadlineMs = 70;
  Overrides.ExpectedReplica = UpstreamId("i-1");
  Overrides.Workspace = WorkspaceId("w");
  std::string Forwarded =
      forwardedHead(IncomingRequest, platform::headerNames(), Overrides) +
      IncomingRequest.Body;
  CHECK(absl::StartsWith(Forwarded, "POST /a/b?c HTTP/1.1\r\n"));
  CHECK(absl::StrContains(Forwarded, "Berylramp-Tenant: w\r\n"));
  CHECK(absl::StrContains(Forwarded, "Berylramp-Deadline-Ms: 70\r\n"));
  CHECK(absl::StrContains(Forwarded, "Berylramp-Prefix-Hash: a:1\r\n"));
  CHECK(absl::EndsWith(Forwarded, "\r\n\r\nbody"));
  for (const char *Absent :
       {"secret", "forged", "999999", "Kv-From", "X-Drop", "Connection"})
    CHECK_FALSE(absl::StrContains(Forwarded, Absent));
}

TEST_CASE("Prompt information is parsed from the caller's headers") {
  CallerRequest IncomingRequest;
  IncomingRequest.Headers = {{"Berylramp-Token-Usage", "1460,80"},
                             {"Berylramp-Prefix-Hash", "5c:800,91:410,e4:250"}};
  PromptInfo Info = parsePromptInfo(IncomingRequest, platform::headerNames());
  CHECK(Info.PromptTokens == 1460);
  CHECK(Info.OutputTokens == 80);
  REQUIRE(Info.Segments.size() == 3);
  CHECK(Info.Segments[1].Tokens == 410);
  IncomingRequest.Headers = {{"Berylramp-Token-Usage", "x"},
                             {"Berylramp-Prefix-Hash", ",,:,a"}};
  CHECK(
      parsePromptInfo(IncomingRequest, platform::headerNames()).PromptTokens ==
      0);
}

TEST_CASE("A reported load has three numbers or more") {
  ReportedLoad Load;
  CHECK(parseLoad("3,1,8", Load));
  CHECK(Load.Waiting == 1);
  CHECK(Load.WorkTime == 1);
  CHECK(parseLoad("3,1,8,250", Load));
  CHECK(Load.WorkTime == 2.5);
  CHECK(parseLoad("4,1,8,50,x,7", Load));
  CHECK(Load.WorkTime == 0.5);
  for (const char *Unusable :
       {"5,1,8,", "5,1,8,x", "5,1,8,-100", "5,1,8,0", "5,1,8,inf", "5,1,8,nan",
        "-5,1,8", "5,-1,8", "2147483647,1,8", "5,2147483647,8",
        "5,1,2147483647", "5,1,4294967297"})
    CHECK_FALSE(parseLoad(Unusable, Load));
  CHECK(Load.Running == 4);
  CHECK_FALSE(parseLoad("3,1", Load));
  CHECK_FALSE(parseLoad("a,b,c", Load));
}

TEST_CASE("An API key requires its authorization scheme") {
  CallerRequest IncomingRequest;
  IncomingRequest.Headers = {{"Authorization", "token  k1"}};
  CHECK(apiKeyOf(IncomingRequest, platform::headerNames()) == "k1");
  IncomingRequest.Headers = {{"Authorization", "Bearer k1"}};
  CHECK(apiKeyOf(IncomingRequest, platform::headerNames()).empty());
}

namespace {

/// When the kernel gives up a connection whose peer acknowledged a byte at time
/// zero and falls silent from \p Silent to \p Back; infinite if it does not.
absl::Duration endOfConnection(absl::Duration Silent, absl::Duration Back) {
  absl::Duration LastAnswer = absl::ZeroDuration();
  absl::Duration Probe = KeepAliveIdle;
  int Unanswered = 0;
  while (Probe < absl::Seconds(30)) {
    if (Unanswered > 0 && Probe - LastAnswer >= UserTimeout)
      return Probe;
    bool IsAnswered = Probe < Silent || Probe >= Back;
    if (IsAnswered)
      LastAnswer = Probe;
    Unanswered = IsAnswered ? 0 : Unanswered + 1;
    Probe += IsAnswered ? KeepAliveIdle : KeepAliveInterval;
  }
  return absl::InfiniteDuration();
}

} // namespace

// A user timeout ends keep-alive probes whatever their count, so that replicas
// that were silent for a second lost their connections.
TEST_CASE("A connection survives a silent second and ends without its peer") {
  for (int Step = 0; Step < 100; ++Step) {
    absl::Duration Silent = absl::Milliseconds(37) * Step;
    CAPTURE(Step);
    CHECK(endOfConnection(Silent, Silent + absl::Milliseconds(1800)) ==
          absl::InfiniteDuration());
    CHECK(endOfConnection(Silent, absl::InfiniteDuration()) - Silent <=
          absl::Seconds(4));
  }
}
