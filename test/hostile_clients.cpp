//===- hostile_clients.cpp - Clients that do not behave -------------------===//

#include "hostile_clients.h"

#include "absl/strings/str_cat.h"
#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>

namespace berylramp {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// How long a crowd is given to send what the daemon takes.
constexpr std::chrono::seconds CrowdTime{8};
constexpr size_t PieceCount = 12;
constexpr std::chrono::milliseconds PiecePause{15};

} // namespace

struct Crowd::Client : std::enable_shared_from_this<Client> {
  explicit Client(boost::asio::io_context &Loop) : Socket(Loop), Pause(Loop) {}

  void start(const Endpoint &Target, Reading Reads) {
    auto Self = this->shared_from_this();
    this->Socket.async_connect(
        tcp::endpoint(boost::asio::ip::make_address_v4(Target.Ip),
                      static_cast<uint16_t>(Target.Port)),
        [Self, Reads](const ErrorCode &Error) {
          if (Error) {
            Self->IsDone = true;
            return;
          }
          if (Reads == Reading::Yes)
            Self->read();
          Self->write();
        });
  }

  void write() {
    size_t Count = std::min(this->PieceBytes, this->End - this->Sent);
    if (Count == 0) {
      this->IsDone = true;
      return;
    }
    auto Self = this->shared_from_this();
    this->Socket.async_write_some(
        boost::asio::buffer(this->Payload->data() + this->Sent, Count),
        [Self](const ErrorCode &Error, size_t Written) {
          Self->Sent += Written;
          if (Error)
            Self->IsDone = true;
          else if (Self->PieceBytes < Self->End)
            Self->pause();
          else
            Self->write();
        });
  }

  void pause() {
    auto Self = this->shared_from_this();
    this->Pause.expires_after(PiecePause);
    this->Pause.async_wait([Self](const ErrorCode &Error) {
      if (!Error)
        Self->write();
    });
  }

  void read() {
    auto Self = this->shared_from_this();
    this->Socket.async_read_some(boost::asio::buffer(this->Received),
                                 [Self](const ErrorCode &Error, size_t) {
                                   if (!Error)
                                     Self->read();
                                   else
                                     Self->IsDone = true;
                                 });
  }

  tcp::socket Socket;
  boost::asio::steady_timer Pause;
  std::shared_ptr<const std::string> Payload;
  size_t Sent = 0;
  size_t End = 0;
  size_t PieceBytes = 0;
  bool IsDone = false;
  std::array<char, 4096> Received{};
};

Crowd::Crowd(boost::asio::io_context &Loop, const Endpoint &Target,
             std::string Payload, int Clients, Delivery How, Reading Reads) {
  auto Shared = std::make_shared<const std::string>(std::move(Payload));
  for (int Index = 0; Index < Clients; ++Index) {
    auto Added = std::make_shared<Client>(Loop);
    Added->Payload = Shared;
    Added->End = Shared->size() - (How == Delivery::ShortOfEnd ? 1 : 0);
    Added->PieceBytes =
        How == Delivery::Pieces ? Shared->size() / PieceCount + 1 : Added->End;
    Added->start(Target, Reads);
    this->Clients.push_back(std::move(Added));
  }
}

Crowd::~Crowd() {
  for (const auto &Open : this->Clients) {
    ErrorCode Ignored;
    Open->Socket.close(Ignored);
    Open->Pause.cancel();
  }
}

bool Crowd::isDone() const {
  return std::all_of(this->Clients.begin(), this->Clients.end(),
                     [](const auto &Each) { return Each->IsDone; });
}

int runCrowds(boost::asio::io_context &Loop, const Crowds &All,
              const ChildProcess &Daemon) {
  auto Deadline = std::chrono::steady_clock::now() + CrowdTime;
  int PeakDescriptors = 0;
  bool AllDone = false;
  while (!AllDone && std::chrono::steady_clock::now() < Deadline) {
    Loop.restart();
    Loop.run_for(std::chrono::milliseconds(50));
    PeakDescriptors = std::max(PeakDescriptors, Daemon.descriptors());
    AllDone = std::all_of(All.begin(), All.end(),
                          [](const auto &Each) { return Each->isDone(); });
  }
  return PeakDescriptors;
}

void checkLimits(ChildProcess &Daemon, const HostLimits &Limits,
                 int PeakDescriptors) {
  CHECK(Daemon.isRunning());
  CHECK(Daemon.peakMemory() > 0);
  CHECK(Daemon.peakMemory() <= Limits.MemoryBytes);
  CHECK(PeakDescriptors <= Limits.Descriptors);
}

std::string shortHeaderLines(size_t Bytes) {
  const std::string Line = "a:\r\n";
  std::string Result;
  while (Result.size() + Line.size() <= Bytes)
    Result += Line;
  return Result;
}

std::string oddHeaderLines(size_t Bytes) {
  std::string Result;
  for (int Index = 0;; ++Index) {
    std::string Line;
    switch (Index % 4) {
    case 0:
      Line = absl::StrCat("!#$%&'*+-.^_`|~", Index, ": \t \r\n");
      break;
    case 1:
      Line = absl::StrCat("Connection: x", Index, ",,,x\r\n");
      break;
    case 2:
      Line = absl::StrCat("X:", std::string(1, '\x80'), "\r\n");
      break;
    default:
      Line = "Cookie:\r\n";
    }
    if (Result.size() + Line.size() > Bytes)
      return Result;
    Result += Line;
  }
}

std::string chunkedBody(size_t Bytes, size_t ChunkBytes) {
  std::string Result;
  for (size_t Sent = 0; Sent < Bytes; Sent += ChunkBytes) {
    size_t Count = std::min(ChunkBytes, Bytes - Sent);
    absl::StrAppend(&Result, absl::Hex(Count), "\r\n", std::string(Count, 'x'),
                    "\r\n");
  }
  return Result + "0\r\n\r\n";
}

} // namespace berylramp
