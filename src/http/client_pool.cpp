//===- client_pool.cpp - Pool of blocking HTTP connections ----------------===//
//
// A connection carries one call at a time, and returns to the pool only after a
// complete answer that lets another one follow. A sender that is not well must
// not cost more than a call: the parser bounds the header, and this file the
// body that is kept.
//
//===----------------------------------------------------------------------===//

#include "berylramp/http.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "berylramp/sync.h"
#include "http_parse.h"
#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <map>
#include <poll.h>

namespace berylramp {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr size_t ShardCount = 16;
constexpr size_t MaxIdleConnectionsPerEndpoint = 128;
constexpr size_t MaxPendingEventBytes = 1 << 20;
/// A page of the log has a few MB.
constexpr size_t MaxAnswerBytes = 64U << 20;
constexpr size_t ReadBufferBytes = 16U << 10;
constexpr int StatusOk = 200;
constexpr int FirstFinalStatus = 200;

/// Waits until \p Socket can be read or written; false after \p Timeout.
bool awaitSocket(tcp::socket &Socket, short Events, absl::Duration Timeout) {
  absl::Time Deadline = absl::Now() + Timeout;
  while (true) {
    pollfd Watched{Socket.native_handle(), Events, 0};
    absl::Duration Left =
        std::max(Deadline - absl::Now(), absl::ZeroDuration());
    int Count = poll(&Watched, 1,
                     static_cast<int>(absl::ToInt64Milliseconds(
                         absl::Ceil(Left, absl::Milliseconds(1)))));
    if (Count > 0)
      return true;
    if (Count == 0 || errno != EINTR)
      return false;
  }
}

/// One connection to a server. Not thread-safe.
class ClientConnection {
public:
  explicit ClientConnection(boost::asio::io_context &Loop) : Socket(Loop) {}

  bool connect(const Endpoint &Target, absl::Duration Timeout) {
    ErrorCode Error;
    auto Address = boost::asio::ip::make_address_v4(Target.Ip, Error);
    if (Error)
      return false;
    this->Socket.open(tcp::v4(), Error);
    this->Socket.non_blocking(true, Error);
    this->Socket.connect({Address, static_cast<uint16_t>(Target.Port)}, Error);
    if (Error == boost::asio::error::in_progress ||
        Error == boost::asio::error::would_block) {
      if (!awaitSocket(this->Socket, POLLOUT, Timeout))
        return false;
      int Code = 0;
      socklen_t Size = sizeof(Code);
      getsockopt(this->Socket.native_handle(), SOL_SOCKET, SO_ERROR, &Code,
                 &Size);
      Error = ErrorCode(Code, boost::system::system_category());
    }
    if (Error)
      return false;
    this->Socket.set_option(tcp::no_delay(true), Error);
    return true;
  }

  /// Whether the server has neither closed the connection nor sent bytes that
  /// no call asked for.
  bool isIdle() {
    char Byte = 0;
    ErrorCode Error;
    this->Socket.receive(boost::asio::buffer(&Byte, 1),
                         tcp::socket::message_peek, Error);
    return Error == boost::asio::error::would_block;
  }

  /// Whether all bytes were sent. If not, the server may have answered before
  /// it read them all. A reset that was reported here looks like an orderly
  /// close to receive().
  bool send(absl::string_view Bytes, absl::Duration Timeout) {
    while (!Bytes.empty()) {
      ErrorCode Error;
      size_t Count = this->Socket.write_some(
          boost::asio::buffer(Bytes.data(), Bytes.size()), Error);
      Bytes.remove_prefix(Count);
      bool IsFull = Error == boost::asio::error::would_block;
      if ((Error && !IsFull) ||
          (IsFull && !awaitSocket(this->Socket, POLLOUT, Timeout)))
        return false;
    }
    return true;
  }

  /// Appends the bytes that arrive next to \p Buffer. Returns an error if none
  /// arrive within \p Timeout; eof if the server closed in order.
  ErrorCode receive(std::string &Buffer, absl::Duration Timeout) {
    std::array<char, ReadBufferBytes> Bytes;
    ErrorCode Error = boost::asio::error::would_block;
    size_t Count = 0;
    while (Error == boost::asio::error::would_block) {
      if (!awaitSocket(this->Socket, POLLIN, Timeout))
        return boost::asio::error::timed_out;
      Count = this->Socket.read_some(boost::asio::buffer(Bytes), Error);
    }
    Buffer.append(Bytes.data(), Count);
    return Error;
  }

private:
  tcp::socket Socket;
};

using ConnectionHandle = std::unique_ptr<ClientConnection>;

/// Encodes what would end the target or the line; a part that is encoded stays
/// as it is.
std::string encodeTarget(absl::string_view Path) {
  std::string Target;
  for (char Byte : Path)
    if (absl::ascii_isgraph(static_cast<unsigned char>(Byte)))
      Target += Byte;
    else
      absl::StrAppend(&Target, "%",
                      absl::Hex(static_cast<uint8_t>(Byte), absl::kZeroPad2));
  return Target;
}

bool hasLineBreak(absl::string_view Text) {
  return Text.find_first_of("\r\n") != absl::string_view::npos;
}

std::string requestText(const Endpoint &Target, const HttpCall &Call) {
  std::string Text =
      absl::StrCat(Call.Method, " ", encodeTarget(Call.Path), " HTTP/1.1\r\n");
  std::vector<HeaderField> Fields = {{"Host", Target.text()}};
  bool HasType = false;
  for (const HeaderLine &Line : Call.Headers) {
    if (hasLineBreak(Line.Name) || hasLineBreak(Line.Value))
      continue;
    HasType = HasType || absl::EqualsIgnoreCase(Line.Name, "Content-Type");
    Fields.emplace_back(Line.Name, Line.Value);
  }
  if (!Call.Body.empty() && !HasType)
    Fields.emplace_back("Content-Type", "application/json");
  if (!Call.Body.empty() || Call.Method != "GET")
    Fields.emplace_back("Content-Length", absl::StrCat(Call.Body.size()));
  appendFields(Text, Fields);
  return Text + Call.Body;
}

HttpOutcome faultOf(HttpFault Fault, std::string Detail) {
  HttpOutcome Outcome;
  Outcome.Fault = Fault;
  Outcome.Detail = std::move(Detail);
  return Outcome;
}

/// Receives the part of a body that has arrived; false gives the answer up.
using BodySink = std::function<bool(int Status, const std::string &Part)>;

/// Receives the answer to a call. Its body goes to \p OnBody, and what follows
/// it stays in \p Buffer. \p MayEndAtClose states that an orderly close is the
/// server's.
HttpOutcome receiveAnswer(ClientConnection &Connection, AnswerParser &Parser,
                          absl::Duration Timeout, bool MayEndAtClose,
                          std::string &Buffer, const BodySink &OnBody) {
  while (!Parser.done()) {
    ErrorCode Error = Connection.receive(Buffer, Timeout);
    bool IsClosed = Error == boost::asio::error::eof;
    if (Error && !IsClosed)
      return faultOf(HttpFault::Interrupted, Error.message());
    if (Parser.feed(Buffer) != ParseFault::None)
      return faultOf(HttpFault::Interrupted, "the answer is malformed");
    if (IsClosed && !Parser.done() && !(MayEndAtClose && Parser.finishAtEof()))
      return faultOf(HttpFault::Interrupted,
                     "the connection closed before the answer was complete");
    std::string Part = Parser.headDone() ? Parser.takeBody() : std::string();
    if (!Part.empty() && !OnBody(Parser.head().Status, Part))
      return faultOf(HttpFault::CancelledByReceiver, "the answer was given up");
  }
  HttpHead Head = Parser.head();
  // No call asks for an interim answer.
  if (Head.Status < FirstFinalStatus)
    return faultOf(HttpFault::Interrupted, "the answer is not final");
  HttpOutcome Outcome;
  Outcome.Status = Head.Status;
  for (const auto &[Name, Value] : Head.Headers)
    Outcome.Headers.push_back(HeaderLine{Name, Value});
  return Outcome;
}

} // namespace

std::string HttpOutcome::header(const char *Name) const {
  for (const HeaderLine &Line : this->Headers) {
    if (absl::EqualsIgnoreCase(Line.Name, Name))
      return Line.Value;
  }
  return "";
}

struct HttpClientPool::Impl {
  struct Shard {
    Mutex Lock;
    std::map<Endpoint, std::vector<ConnectionHandle>> Idle;
  };
  /// Only owns the sockets; all calls block.
  boost::asio::io_context Loop;
  std::array<Shard, ShardCount> Shards;

  Shard &shardFor(const Endpoint &Target) {
    return this->Shards[(stableHash(Target.text())) % ShardCount];
  }

  /// An idle connection, or null.
  ConnectionHandle acquire(const Endpoint &Target) {
    Shard &Owner = this->shardFor(Target);
    MutexLock Guard(&Owner.Lock);
    auto &Idle = Owner.Idle[Target];
    while (!Idle.empty()) {
      ConnectionHandle Reused = std::move(Idle.back());
      Idle.pop_back();
      if (Reused->isIdle())
        return Reused;
    }
    return nullptr;
  }

  void release(const Endpoint &Target, ConnectionHandle Connection) {
    Shard &Owner = this->shardFor(Target);
    MutexLock Guard(&Owner.Lock);
    auto &Idle = Owner.Idle[Target];
    if (Idle.size() < MaxIdleConnectionsPerEndpoint)
      Idle.push_back(std::move(Connection));
  }

  HttpOutcome run(const Endpoint &Target, const HttpCall &Call,
                  const BodySink &OnBody) {
    ConnectionHandle Connection =
        Call.FreshConnection ? nullptr : this->acquire(Target);
    if (Connection == nullptr) {
      Connection = std::make_unique<ClientConnection>(this->Loop);
      if (!Connection->connect(Target, Call.ConnectTimeout))
        return faultOf(HttpFault::ConnectFailed, "cannot connect");
    }
    bool IsSent = Connection->send(requestText(Target, Call), Call.ReadTimeout);
    AnswerParser Parser(/*WithoutBody=*/Call.Method == "HEAD");
    std::string Buffer;
    HttpOutcome Outcome = receiveAnswer(*Connection, Parser, Call.ReadTimeout,
                                        IsSent, Buffer, OnBody);
    bool MayFollow = IsSent && Parser.keepAlive() && Buffer.empty();
    if (Outcome.Fault == HttpFault::None && MayFollow)
      this->release(Target, std::move(Connection));
    return Outcome;
  }
};

HttpClientPool::HttpClientPool() : State(std::make_unique<Impl>()) {}
HttpClientPool::~HttpClientPool() = default;

HttpOutcome HttpClientPool::call(const Endpoint &Target, const HttpCall &Call) {
  std::string Body;
  HttpOutcome Outcome =
      this->State->run(Target, Call, [&Body](int, const std::string &Part) {
        Body += Part;
        return Body.size() <= MaxAnswerBytes;
      });
  // Nobody but this function gives the answer up.
  if (Outcome.Fault == HttpFault::CancelledByReceiver)
    return faultOf(HttpFault::Interrupted, "the answer is too long");
  if (Outcome.Fault == HttpFault::None)
    Outcome.Body = std::move(Body);
  return Outcome;
}

HttpOutcome HttpClientPool::stream(const Endpoint &Target, const HttpCall &Call,
                                   const TextSink &OnBytes) {
  int Status = 0;
  std::string ErrorBody;
  HttpOutcome Outcome = this->State->run(
      Target, Call, [&](int Received, const std::string &Part) {
        Status = Received;
        if (Status == StatusOk)
          return OnBytes(Part);
        ErrorBody += Part;
        return ErrorBody.size() <= MaxPendingEventBytes;
      });
  if (Outcome.Status == 0)
    Outcome.Status = Status;
  Outcome.Body = std::move(ErrorBody);
  return Outcome;
}
void HttpClientPool::closeIdleConnections(const Endpoint &Target) {
  Impl::Shard &Owner = this->State->shardFor(Target);
  MutexLock Guard(&Owner.Lock);
  Owner.Idle.erase(Target);
}

bool EventDataSplitter::feed(const std::string &Bytes, const TextSink &OnData) {
  this->Pending += Bytes;
  size_t Start = 0;
  while (true) {
    size_t End = this->Pending.find("\n\n", Start);
    if (End == std::string::npos)
      break;
    absl::string_view Event(this->Pending.data() + Start, End - Start);
    Start = End + 2;
    // An "event: " line with the event type may precede the data line.
    if (absl::StartsWith(Event, "event: "))
      Event.remove_prefix(std::min(Event.size(), Event.find('\n') + 1));
    if (!absl::ConsumePrefix(&Event, "data: "))
      continue;
    if (!OnData(std::string(Event)))
      return false;
  }
  this->Pending.erase(0, Start);
  return this->Pending.size() <= MaxPendingEventBytes;
}

} // namespace berylramp
