//===- tunnel.cpp - Connections to replicas over another host -------------===//
//
// The request for a tunnel is an HTTP CONNECT that names a replica. A side that
// is slow to read stops the reading of the other one, so that a tunnel holds a
// bounded number of bytes.
//
//===----------------------------------------------------------------------===//

#include "tunnel.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "accept_loop.h"
#include "cancellable_timer.h"
#include "channel.h"

namespace berylramp {

namespace {

using boost::asio::ip::tcp;

constexpr int AcceptBacklog = 256;
constexpr size_t MaxUnsentBytes = 64U << 10;
/// Limit on the header of a request for a tunnel, which other hosts send. It
/// has no body.
constexpr int64_t MaxRequestBytes = 1024;
/// Memory of a tunnel, with both connections and the bytes of its request.
constexpr int64_t TunnelBytes = 24 << 10;

CallerLimits requestLimits() {
  CallerLimits Limits;
  Limits.HeaderBytes = MaxRequestBytes;
  Limits.BodyBytes = 0;
  return Limits;
}

/// Timeouts for the request and for opening the connection to the replica.
constexpr absl::Duration RequestTimeout = absl::Seconds(2);
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(400);
/// A tunnel of a host of an earlier version is idle when an answer came to a
/// stop for longer.
constexpr absl::Duration BusyTime = absl::Milliseconds(500);

constexpr absl::string_view FramingHeader = "Tunnel-Framing";
constexpr absl::string_view ChunkedFraming = "chunked";
constexpr absl::string_view LastChunk = "0\r\n\r\n";

int statusOf(TunnelAnswer Answer) {
  switch (Answer) {
  case TunnelAnswer::Connected:
    return 200;
  case TunnelAnswer::Refused:
    return 502;
  case TunnelAnswer::ServiceRefused:
    return 500;
  case TunnelAnswer::TimedOut:
    return 504;
  case TunnelAnswer::Unavailable:
    break;
  }
  return 503;
}

class Tunnel;

/// One of the two connections of a tunnel.
class TunnelSide : public ChannelListener {
public:
  TunnelSide(Tunnel &Owner, bool IsHost) : Owner(Owner), IsHost(IsHost) {}
  void onConnected(ConnectResult Result) override;
  void onBytes(absl::string_view Bytes) override;
  void onClosed(bool Orderly) override;
  void onDrained() override;

private:
  Tunnel &Owner;
  bool IsHost;
};

class Tunnel : public std::enable_shared_from_this<Tunnel> {
public:
  using RemoveCallback = std::function<void(const std::shared_ptr<Tunnel> &)>;

  Tunnel(boost::asio::io_context &Loop, TimerService &Timer,
         const TunnelHooks &Hooks, tcp::socket Socket, RemoveCallback Remove)
      : Timer(Timer), Hooks(Hooks),
        Host(std::make_shared<Channel>(std::move(Socket))),
        Replica(std::make_shared<Channel>(Loop)),
        HostSide(std::make_shared<TunnelSide>(*this, true)),
        ReplicaSide(std::make_shared<TunnelSide>(*this, false)),
        TimeoutTimer(Loop), Remove(std::move(Remove)),
        Parser(std::make_unique<RequestParser>(requestLimits())),
        Slot(Hooks.Connections), Held(Hooks.Memory, HeldKind::Connection) {}

  void start() {
    for (const auto &Side : {this->Host, this->Replica})
      Side->countUnsent(this->Hooks.Memory, HeldKind::Tunnel)
          .setEnd([Weak = this->weak_from_this()] {
            if (auto Self = Weak.lock())
              Self->endSlow();
          });
    auto End = [Weak = this->weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->end();
    };
    this->Held.set(TunnelBytes);
    this->Held.setEnd(End);
    this->Slot.setEnd(End);
    this->Slot.startWaiting();
    this->Host->setListener(this->HostSide);
    this->startTimeout(RequestTimeout, [](Tunnel &Self) { Self.end(); });
    this->Host->startAccepted();
    this->Host->resetUnlessFinished();
  }

  void end() {
    auto Self = this->shared_from_this();
    this->TimeoutTimer.cancel();
    this->Host->close();
    this->Replica->close();
    this->Slot.release();
    this->Remove(Self);
  }

  void endSlow() {
    this->Replica->reset();
    this->end();
  }

  bool isBusy() const {
    if (!this->IsEstablished)
      return false;
    // Only the other host knows whether an answer is complete. It closes its
    // idle tunnels over a host that leaves, unless it is of an earlier version.
    return this->IsChunked || this->IsAwaitingAnswer ||
           this->Timer.now() - this->LastByteAt < BusyTime;
  }

  void onHostBytes(absl::string_view Bytes) {
    if (this->IsEstablished) {
      this->forward(Bytes, /*ToReplica=*/true);
      return;
    }
    this->Buffer.append(Bytes.data(), Bytes.size());
    if (this->Parser == nullptr)
      return;
    size_t Consumed = 0;
    ParseFault Fault = this->Parser->feed(this->Buffer, Consumed);
    this->Buffer.erase(0, Consumed);
    if (Fault != ParseFault::None) {
      this->end();
      return;
    }
    if (!this->Parser->done())
      return;
    // What follows the request waits in the kernel for the replica.
    this->Host->pauseReading();
    CallerRequest Request = this->Parser->releaseRequest();
    this->Parser.reset();
    uint64_t Hash = 0;
    std::optional<PathTarget> Found;
    if (Request.Method == "CONNECT" &&
        absl::SimpleHexAtoi(Request.Target, &Hash))
      Found = this->Hooks.Find(Hash);
    // A request that is passed on late would be cut at the end of the stop.
    if (!Found || this->Hooks.RejectsNew()) {
      this->answer(TunnelAnswer::Unavailable);
      return;
    }
    this->IsChunked =
        findHeader(Request.Headers, FramingHeader) == ChunkedFraming;
    this->Target = *Found;
    this->StartedAt = this->Timer.now();
    this->startTimeout(ConnectTimeout, [](Tunnel &Self) {
      Self.Hooks.OnUnreached(Self.Target, Self.StartedAt, true);
      Self.answer(TunnelAnswer::TimedOut);
    });
    this->Replica->setListener(this->ReplicaSide);
    this->Replica->connect(this->Hooks.AddressOf(Hash));
  }

  void onReplicaConnected(ConnectResult Result) {
    if (this->IsAnswered)
      return;
    this->TimeoutTimer.cancel();
    if (Result == ConnectResult::Connected) {
      this->Hooks.OnReached(this->Target);
      this->IsEstablished = true;
      this->Held.setEnd(nullptr);
      this->Slot.stopWaiting();
      this->answer(TunnelAnswer::Connected);
      if (!this->Buffer.empty())
        this->forward(std::exchange(this->Buffer, ""), /*ToReplica=*/true);
      if (this->Replica->unsentBytes() <= MaxUnsentBytes)
        this->Host->resumeReading();
      return;
    }
    this->Hooks.OnUnreached(this->Target, this->StartedAt, false);
    if (Result != ConnectResult::Refused) {
      this->answer(TunnelAnswer::TimedOut);
      return;
    }
    this->Hooks.ExplainRefusal(
        this->Target, [Weak = this->weak_from_this()](TunnelAnswer Answer) {
          if (auto Self = Weak.lock())
            Self->answer(Answer);
        });
  }

  void forward(absl::string_view Bytes, bool ToReplica) {
    this->LastByteAt = this->Timer.now();
    this->IsAwaitingAnswer = ToReplica;
    Channel &To = ToReplica ? *this->Replica : *this->Host;
    Channel &From = ToReplica ? *this->Host : *this->Replica;
    if (!To.isOpen())
      return;
    if (this->IsChunked && !ToReplica)
      To.send(absl::StrCat(absl::Hex(Bytes.size()), "\r\n", Bytes, "\r\n"));
    else
      To.send(std::string(Bytes));
    if (To.unsentBytes() > MaxUnsentBytes)
      From.pauseReading();
  }

  void onDrained(bool IsHost) {
    Channel &Paused = IsHost ? *this->Replica : *this->Host;
    Paused.resumeReading();
  }

  void onClosed(bool IsHost, bool Orderly) {
    if (IsHost || !this->IsEstablished) {
      this->end();
      return;
    }
    auto Self = this->shared_from_this();
    this->IsAwaitingAnswer = false;
    if (Orderly && this->IsChunked)
      this->Host->send(std::string(LastChunk));
    if (Orderly)
      this->Host->closeAfterSending();
    else
      this->Host->reset();
    if (!this->Host->isOpen())
      this->end();
    else
      this->startTimeout(RequestTimeout, [](Tunnel &Late) { Late.end(); });
  }

private:
  void startTimeout(absl::Duration Timeout,
                    std::function<void(Tunnel &)> OnTimeout) {
    this->TimeoutTimer.set(Timeout, [Weak = this->weak_from_this(),
                                     OnTimeout = std::move(OnTimeout)] {
      if (auto Self = Weak.lock())
        OnTimeout(*Self);
    });
  }

  void answer(TunnelAnswer Answer) {
    auto Self = this->shared_from_this();
    if (this->IsAnswered || !this->Host->isOpen())
      return;
    this->IsAnswered = true;
    bool Connected = Answer == TunnelAnswer::Connected;
    this->Host->send(absl::StrCat(
        "HTTP/1.1 ", statusOf(Answer), " Tunnel\r\n",
        Connected && this->IsChunked ? "Transfer-Encoding: chunked\r\n" : "",
        "\r\n"));
    if (Connected)
      return;
    this->Replica->close();
    this->Host->closeAfterSending();
    if (!this->Host->isOpen())
      this->end();
    else
      this->startTimeout(RequestTimeout, [](Tunnel &Late) { Late.end(); });
  }

  TimerService &Timer;
  const TunnelHooks &Hooks;
  std::shared_ptr<Channel> Host;
  std::shared_ptr<Channel> Replica;
  std::shared_ptr<TunnelSide> HostSide;
  std::shared_ptr<TunnelSide> ReplicaSide;
  CancellableTimer TimeoutTimer;
  RemoveCallback Remove;
  std::unique_ptr<RequestParser> Parser;
  std::string Buffer;
  ConnectionSlot Slot;
  HeldBytes Held;
  PathTarget Target;
  Instant StartedAt;
  Instant LastByteAt;
  bool IsAnswered = false;
  bool IsEstablished = false;
  /// The other host asked for chunks.
  bool IsChunked = false;
  /// The last bytes went to the replica.
  bool IsAwaitingAnswer = false;
};

void TunnelSide::onConnected(ConnectResult Result) {
  auto Guard = this->Owner.shared_from_this();
  this->Owner.onReplicaConnected(Result);
}

void TunnelSide::onBytes(absl::string_view Bytes) {
  auto Guard = this->Owner.shared_from_this();
  if (this->IsHost)
    this->Owner.onHostBytes(Bytes);
  else
    this->Owner.forward(Bytes, /*ToReplica=*/false);
}

void TunnelSide::onClosed(bool Orderly) {
  auto Guard = this->Owner.shared_from_this();
  this->Owner.onClosed(this->IsHost, Orderly);
}

void TunnelSide::onDrained() { this->Owner.onDrained(this->IsHost); }

} // namespace

std::string tunnelRequest(uint64_t Replica) {
  return absl::StrCat("CONNECT ", absl::Hex(Replica),
                      " HTTP/1.1\r\nHost: replica\r\n", FramingHeader, ": ",
                      ChunkedFraming, "\r\n\r\n");
}

TunnelReader::TunnelReader() : Parser(/*WithoutBody=*/false) {}

bool TunnelReader::feed(absl::string_view Bytes) {
  this->Buffer.append(Bytes.data(), Bytes.size());
  return this->Parser.feed(this->Buffer) == ParseFault::None;
}

std::optional<TunnelAnswer> TunnelReader::answer() const {
  if (!this->Parser.headDone())
    return std::nullopt;
  int Status = this->Parser.head().Status;
  for (TunnelAnswer Answer :
       {TunnelAnswer::Connected, TunnelAnswer::Refused,
        TunnelAnswer::ServiceRefused, TunnelAnswer::TimedOut})
    if (Status == statusOf(Answer))
      return Answer;
  return TunnelAnswer::Unavailable;
}

struct TunnelServer::State : std::enable_shared_from_this<State> {
  State(boost::asio::io_context &Loop, TimerService &Timer, TunnelHooks Hooks)
      : Loop(Loop), Timer(Timer), Hooks(std::move(Hooks)) {}

  void open(tcp::socket Socket) {
    auto Opened = std::make_shared<Tunnel>(
        this->Loop, this->Timer, this->Hooks, std::move(Socket),
        [Weak = this->weak_from_this()](const std::shared_ptr<Tunnel> &Ended) {
          if (auto Server = Weak.lock())
            Server->Tunnels.erase(Ended);
        });
    this->Tunnels.insert(Opened);
    Opened->start();
  }

  boost::asio::io_context &Loop;
  TimerService &Timer;
  TunnelHooks Hooks;
  std::shared_ptr<AcceptLoop> Accepting;
  std::set<std::shared_ptr<Tunnel>> Tunnels;
};

TunnelServer::TunnelServer(boost::asio::io_context &Loop, TimerService &Timer,
                           TunnelHooks Hooks)
    : Shared(std::make_shared<State>(Loop, Timer, std::move(Hooks))) {
  this->Shared->Accepting = std::make_shared<AcceptLoop>(
      Loop, this->Shared->Hooks.Connections,
      [Weak = std::weak_ptr<State>(this->Shared)](tcp::socket Socket) {
        if (auto Self = Weak.lock())
          Self->open(std::move(Socket));
      });
}

// NOLINTNEXTLINE(bugprone-exception-escape): only if memory is exhausted.
TunnelServer::~TunnelServer() { this->close(); }

absl::Status TunnelServer::listen(const Endpoint &ListenAddress) {
  return this->Shared->Accepting->listen(ListenAddress, AcceptBacklog);
}

void TunnelServer::close() {
  this->Shared->Accepting->close();
  auto Open = this->Shared->Tunnels;
  for (const auto &OpenTunnel : Open)
    OpenTunnel->end();
}

size_t TunnelServer::tunnels() const { return this->Shared->Tunnels.size(); }

size_t TunnelServer::busyTunnels() const {
  size_t Count = 0;
  for (const auto &OpenTunnel : this->Shared->Tunnels)
    Count += OpenTunnel->isBusy() ? 1 : 0;
  return Count;
}

} // namespace berylramp
