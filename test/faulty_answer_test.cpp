//===- faulty_answer_test.cpp - Answers of replicas in trouble ------------===//
//
// The first host reaches replicas over the second one, which reaches them
// directly. A request to either of them has the same outcome.
//
//===----------------------------------------------------------------------===//

#include "partition_fixture.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include <catch2/catch.hpp>

using namespace berylramp;
using standin::AnswerScript;
using standin::ReplicaBehavior;

namespace {

/// Longer than what the kernel takes of an upload that nobody reads.
constexpr size_t UploadBytes = 6U << 20;
const std::string CommonFields = "Berylramp-Attempt-Id: {id}\r\n"
                                 "Berylramp-Replica-Signature: plain\r\n";
const std::string Success = "HTTP/1.1 200 OK\r\n" + CommonFields;

struct FaultyAnswerFixture : PartitionFixture {
  FaultyAnswerFixture() : PartitionFixture(2) {
    // Raises the limit on bodies.
    std::string Table = absl::StrReplaceAll(
        standin::sampleTable(2, {"key-2"}),
        {{"\"maxBodyBytes\":100000",
          absl::StrCat("\"maxBodyBytes\":", 2 * UploadBytes)}});
    this->Store->put("keyed.op", "config", Table);
    // A proxy would take a long upload in place of the replica.
    this->Hosts[1].Paths.clear();
    this->startHost(1);
    this->awaitReady(this->Hosts[1].Config.Ready);
    this->cut(0, Partition::Reset);
    for (size_t Host = 0; Host < this->Hosts.size(); ++Host)
      REQUIRE(this->runUntil([&] {
        return this->ask(Host, "/once/a", this->freshId()).status() == 200;
      }));
  }

  std::string freshId() { return absl::StrCat("f", ++this->IdCount); }

  RawCaller ask(size_t Host, const std::string &Path, const std::string &Id,
                const std::string &Body = "") {
    RawCaller Caller(this->Loop, this->Hosts[Host].Config.Callers);
    // No two bodies are equal: replicas that end under one are evidence
    // against it.
    std::string Request = makeRequest(Path, Id, "", Body + Id, "key-2");
    absl::string_view Rest = Request;
    // The daemon reads in the loop of the test.
    CHECK(this->runUntil([&] {
      Rest.remove_prefix(Caller.sendSome(Rest));
      return Rest.empty() || Caller.isClosed();
    }));
    CHECK(this->runUntil(
        [&] { return Caller.hasCompleteAnswer() || Caller.isClosed(); }));
    return Caller;
  }

  void follow(const AnswerScript &Script) {
    for (const auto &Group : {this->Engines, this->PlainReplicas})
      for (const auto &Instance : Group) {
        Instance->Script = Script;
        Instance->Behavior = ReplicaBehavior::FollowsScript;
      }
  }

  /// Checks that a request to either host runs, and that its caller receives
  /// \p Status, which no replica sent.
  void checkFails(const std::string &Path, int Status,
                  const std::string &Body = "") {
    for (size_t Host = 0; Host < this->Hosts.size(); ++Host) {
      CAPTURE(Host, Path);
      std::string Id = this->freshId();
      RawCaller Caller = this->ask(Host, Path, Id, Body);
      CAPTURE(Caller.received());
      CHECK(Caller.status() == Status);
      CHECK(Caller.hasCompleteAnswer());
      CHECK_FALSE(
          absl::StrContains(Caller.received(), "Berylramp-Replica-Signature"));
      CHECK(this->runCount(Id) >= 1);
      if (absl::StartsWith(Path, "/once/"))
        CHECK(this->runCount(Id) == 1);
    }
  }

  int IdCount = 0;
};

} // namespace

// On other systems, callers received the part before the reset as a complete
// answer.
TEST_CASE_METHOD(FaultyAnswerFixture,
                 "An early answer without a length that is reset under a long "
                 "upload is not complete") {
  AnswerScript Script;
  Script.Bytes = Success + "\r\nhalf of the body";
  Script.Then = AnswerScript::End::Resets;
  Script.Pause = absl::Milliseconds(GENERATE(0, 20));
  Script.IsEarly = true;
  this->follow(Script);
  for (const char *Path : {"/once/a", "/safe/a", "/stream/a"})
    this->checkFails(Path, 502, std::string(UploadBytes, 'u'));
}

// On other systems, callers received the status as it was.
TEST_CASE_METHOD(FaultyAnswerFixture,
                 "An answer with a status that does not exist is no answer") {
  for (const char *Status : {"000", "099", "600", "999"}) {
    CAPTURE(Status);
    AnswerScript Script;
    Script.Bytes = absl::StrCat("HTTP/1.1 ", Status, " Trouble\r\n",
                                CommonFields, "Content-Length: 2\r\n\r\nno");
    this->follow(Script);
    this->checkFails("/once/a", 502);
  }
}

// The statement was believed, and the caller was told to come back.
TEST_CASE_METHOD(FaultyAnswerFixture,
                 "A status that does not exist proves nothing") {
  AnswerScript Script;
  Script.Bytes =
      absl::StrCat("HTTP/1.1 000 Trouble\r\n", CommonFields,
                   "Berylramp-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  this->follow(Script);
  this->checkFails("/once/a", 502);
}

// On other systems, callers received a complete answer without its body.
TEST_CASE_METHOD(FaultyAnswerFixture,
                 "A head that stops in the middle is no answer") {
  const std::string Head =
      Success + "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\n";
  AnswerScript Script;
  Script.Then = GENERATE(AnswerScript::End::Closes, AnswerScript::End::Resets);
  std::vector<size_t> Lengths = {
      5, 12, 15, Head.size() - 1, Head.size() - 2, Head.size() - 3};
  for (const char *Text : {"\r\nBerylramp-Replica", "\r\nContent-Type: text",
                           "\r\nContent-Length: 4"})
    Lengths.push_back(Head.find(Text) + std::string(Text).size());
  Lengths.push_back(Head.find("\r\nContent-Length") + 2);
  for (size_t Length : Lengths) {
    Script.Bytes = Head.substr(0, Length);
    CAPTURE(Script.Bytes);
    this->follow(Script);
    this->checkFails("/once/a", 502);
  }
}

TEST_CASE_METHOD(FaultyAnswerFixture,
                 "A body that stops in the middle is not complete") {
  AnswerScript Script;
  Script.Then = GENERATE(AnswerScript::End::Closes, AnswerScript::End::Resets);
  for (const char *Rest :
       {"Content-Length: 10\r\n\r\n", "Content-Length: 10\r\n\r\nhalf",
        "Transfer-Encoding: chunked\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX: y\r\n"}) {
    Script.Bytes = Success + Rest;
    CAPTURE(Script.Bytes);
    this->follow(Script);
    this->checkFails("/once/a", 502);
  }
}

// On other systems, the process kept all the bytes and ran out of memory.
TEST_CASE_METHOD(FaultyAnswerFixture, "Bytes without end that are no answer "
                                      "are cut, whichever part they are in") {
  AnswerScript Script;
  Script.Then = AnswerScript::End::Floods;
  auto Repeat = [](const std::string &Text) {
    std::string Result;
    while (Result.size() < (64U << 10))
      Result += Text;
    return Result;
  };
  const std::string Chunked = Success + "Transfer-Encoding: chunked\r\n\r\n";
  auto [Begin, Flood] = GENERATE_COPY(table<std::string, std::string>({
      {"", Repeat("no answer ")},
      {"", Repeat(std::string(1, '\0'))},
      {"HTTP/1.1 200 ", Repeat("OK ")},
      {Success, Repeat("X: y\r\n")},
      {Success + "X: ", Repeat("y")},
      {"", Repeat("HTTP/1.1 100 Continue\r\n\r\n")},
      {Chunked, Repeat("1\r\nx\r\n")},
      {Chunked + "1;", Repeat("a")},
      {Chunked, Repeat("0")},
      {Chunked + "0\r\n", Repeat("X: y\r\n")},
      {Success + "\r\n", Repeat("body ")},
      {Success + "Content-Length: 999999999999\r\n\r\n", Repeat("body ")},
  }));
  CAPTURE(Begin, Flood.substr(0, 30));
  Script.Bytes = Begin;
  Script.Flood = Flood;
  this->follow(Script);
  int64_t Before = residentBytes();
  int64_t Peak = 0;
  std::vector<RawCaller> Callers;
  for (int Index = 0; Index < 24; ++Index) {
    Callers.emplace_back(this->Loop, this->Hosts[Index % 2].Config.Callers);
    Callers.back().send(makeRequest(Index % 4 < 2 ? "/once/a" : "/stream/a",
                                    this->freshId(), "",
                                    absl::StrCat("x", Index), "key-2"));
  }
  for (const RawCaller &Caller : Callers) {
    CHECK(this->runUntil([&] {
      Peak = std::max(Peak, residentBytes());
      return Caller.hasCompleteAnswer() || Caller.isClosed();
    }));
    CHECK(Caller.status() >= 500);
  }
  CHECK(Peak - Before < this->Config.MemoryBytes / 2);
}
