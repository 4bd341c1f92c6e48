//===- callers.cpp - Callers of the system under test ---------------------===//

#include "callers.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <boost/asio/write.hpp>

namespace berylramp::soak {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr int CallerCount = 12;
constexpr absl::Duration CallTimeout = absl::Seconds(6);
constexpr int ShortEvents = 5;
/// Every so many calls the caller reads slowly.
constexpr size_t SlowCallInterval = 8;
constexpr size_t SlowReadBytes = 64;
constexpr absl::Duration SlowReadDelay = absl::Milliseconds(10);
constexpr absl::Duration DirectoryRefreshInterval = absl::Milliseconds(300);

tcp::endpoint endpointOf(const Endpoint &Target) {
  return {boost::asio::ip::make_address_v4(Target.Ip),
          static_cast<uint16_t>(Target.Port)};
}

} // namespace

bool isCompleteAnswer(const std::string &Answer) {
  size_t HeaderEnd = Answer.find("\r\n\r\n");
  if (HeaderEnd == std::string::npos)
    return false;
  if (absl::StrContains(Answer, "Transfer-Encoding: chunked"))
    return absl::EndsWith(Answer, "\r\n0\r\n\r\n");
  size_t Position = Answer.find("Content-Length: ");
  return Position != std::string::npos &&
         Answer.size() >=
             HeaderEnd + 4 + std::stoul(Answer.substr(Position + 16));
}

struct Callers::Caller {
  explicit Caller(boost::asio::io_context &Loop) : Socket(Loop) {}
  tcp::socket Socket;
  std::string HostIp;
  std::string Received;
  std::string Buffer = std::string(4096, '\0');
  /// Requests sent on this connection.
  int CallsOnConnection = 0;
  /// Record of the current call. Callbacks of earlier calls compare it and
  /// return.
  size_t RecordIndex = 0;
  bool Busy = false;

  void close() {
    ErrorCode Ignored;
    this->Socket.close(Ignored);
    this->CallsOnConnection = 0;
  }
};

void Callers::start() {
  for (int Index = 0; Index < CallerCount; ++Index)
    this->startNextCall(std::make_shared<Caller>(this->Env.Loop));
  this->Env.Timer.schedulePeriodic(DirectoryRefreshInterval,
                                   [this] { this->refreshListedHosts(); });
}

void Callers::startPlannedPhase() {
  this->IsPlannedPhase = true;
  for (const Host &Daemon : this->Env.Hosts)
    this->ListedHostIps.push_back(Daemon.Ip);
}

std::string Callers::chooseHost() {
  if (!this->IsPlannedPhase || this->ListedHostIps.empty())
    return this->Env.randomHost().Ip;
  int Count = static_cast<int>(this->ListedHostIps.size());
  return this->ListedHostIps[static_cast<size_t>(this->Env.randomBelow(Count))];
}

void Callers::refreshListedHosts() {
  if (!this->IsPlannedPhase)
    return;
  const Host &Source = this->Env.randomHost();
  auto DirectoryClient = std::make_shared<HttpClient>(
      this->Env.Loop, this->Env.Timer, this->Env.directoryEndpoint(Source));
  OutgoingCall Call;
  Call.Target = "/berylramp/resolve?name=a&region=region-zone-a&zone=zone-a";
  Call.Timeout = absl::Milliseconds(500);
  DirectoryClient->call(
      std::move(Call),
      [this, DirectoryClient](const absl::StatusOr<CallAnswer> &Answer) {
        if (!Answer.ok() || Answer->Status != 200)
          return;
        this->ListedHostIps.clear();
        for (const Host &Daemon : this->Env.Hosts)
          if (absl::StrContains(Answer->Body, Daemon.Ip + ":"))
            this->ListedHostIps.push_back(Daemon.Ip);
      });
}

std::string Callers::makeRequest(const CallRecord &Record) const {
  return absl::StrCat(
      "POST /", Record.Kind, Record.Events > ShortEvents ? "/long" : "/x",
      " HTTP/1.1\r\nHost: api.test\r\nBerylramp-Attempt-Id: ", Record.Id,
      "\r\nBerylramp-Deadline-Ms: 5000\r\nBerylramp-Model: *\r\n",
      "Authorization: Token key-1\r\nContent-Length: 4\r\n\r\nbody");
}

void Callers::startNextCall(const std::shared_ptr<Caller> &Client) {
  if (!this->Running)
    return;
  CallRecord Record;
  Record.Id = absl::StrCat("q", this->Records.size() + 1);
  static const std::vector<std::string> Kinds = {"once", "safe", "stream"};
  Record.Kind = Kinds[static_cast<size_t>(this->Env.randomBelow(3))];
  Record.Events = ShortEvents;
  Record.InPlannedPhase = this->IsPlannedPhase;
  bool IsLong = Record.Kind == "stream" && this->Env.randomBelow(6) == 0;
  if (IsLong)
    Record.Events = standin::LongStreamEventCount;
  Record.ClosedByCaller = IsLong && this->Env.randomBelow(2) == 0;
  Record.SentAt = this->Env.Timer.now();
  Client->RecordIndex = this->Records.size();
  this->Records.push_back(Record);
  Client->Received.clear();
  Client->Busy = true;
  std::string TargetIp = this->chooseHost();
  bool ReusesConnection = this->IsPlannedPhase && Client->Socket.is_open() &&
                          Client->HostIp == TargetIp;
  size_t RecordIndex = Client->RecordIndex;
  absl::Duration TimeLimit =
      Record.ClosedByCaller
          ? absl::Milliseconds(300 + this->Env.randomBelow(500))
          : CallTimeout;
  this->Env.Timer.after(TimeLimit, [this, Client, RecordIndex] {
    if (Client->RecordIndex == RecordIndex && Client->Busy) {
      Client->close();
      this->finishCall(Client, RecordIndex);
    }
  });
  if (ReusesConnection) {
    this->sendRequest(Client);
    return;
  }
  Client->close();
  Client->HostIp = TargetIp;
  Client->Socket.async_connect(
      endpointOf({TargetIp, this->Env.callerEndpoint(this->Env.Hosts[0]).Port}),
      [this, Client, RecordIndex](const ErrorCode &Error) {
        if (Client->RecordIndex != RecordIndex || !Client->Busy)
          return;
        if (Error)
          this->finishCall(Client, RecordIndex);
        else
          this->sendRequest(Client);
      });
}

void Callers::sendRequest(const std::shared_ptr<Caller> &Client) {
  ErrorCode Error;
  Client->CallsOnConnection += 1;
  boost::asio::write(Client->Socket,
                     boost::asio::buffer(
                         this->makeRequest(this->Records[Client->RecordIndex])),
                     Error);
  this->Records[Client->RecordIndex].SentAt = this->Env.Timer.now();
  this->readAnswer(Client, Client->RecordIndex);
}

void Callers::readAnswer(const std::shared_ptr<Caller> &Client,
                         size_t RecordIndex) {
  bool IsSlow = RecordIndex % SlowCallInterval == 0;
  size_t MaxBytes = IsSlow ? SlowReadBytes : Client->Buffer.size();
  Client->Socket.async_read_some(
      boost::asio::buffer(Client->Buffer, MaxBytes),
      [this, Client, RecordIndex, IsSlow](const ErrorCode &Error,
                                          size_t Count) {
        if (Client->RecordIndex != RecordIndex || !Client->Busy)
          return;
        Client->Received.append(Client->Buffer.data(), Count);
        if (Error)
          Client->close();
        if (Error || isCompleteAnswer(Client->Received))
          this->finishCall(Client, RecordIndex);
        else if (IsSlow)
          this->Env.Timer.after(SlowReadDelay, [this, Client, RecordIndex] {
            if (Client->RecordIndex == RecordIndex && Client->Busy)
              this->readAnswer(Client, RecordIndex);
          });
        else
          this->readAnswer(Client, RecordIndex);
      });
}

void Callers::finishCall(const std::shared_ptr<Caller> &Client,
                         size_t RecordIndex) {
  Client->Busy = false;
  this->Records[RecordIndex].EndedAt = this->Env.Timer.now();
  this->checkAnswer(Client->Received, this->Records[RecordIndex]);
  if (absl::StrContains(Client->Received, "Connection: close") ||
      !this->IsPlannedPhase)
    Client->close();
  this->Env.Timer.after(absl::Milliseconds(5 + this->Env.randomBelow(60)),
                        [this, Client] { this->startNextCall(Client); });
}

void Callers::checkAnswer(const std::string &Answer, CallRecord &Record) {
  Record.Complete = isCompleteAnswer(Answer);
  Record.Status = Answer.size() < 12 ? 0 : std::stoi(Answer.substr(9, 3));
  bool Success = Record.Complete && Record.Status == 200;
  this->Succeeded += Success ? 1 : 0;
  this->Refused += Record.Status == 503 ? 1 : 0;
  this->Other +=
      !Success && Record.Status != 503 && !Record.ClosedByCaller ? 1 : 0;
  if (Record.Status == 401 || Record.Status == 403 || Record.Status == 404)
    this->Env.recordViolation(
        absl::StrCat(Record.Id, " was denied: ", Record.Status));
  if (!Success)
    return;
  if (!absl::StrContains(Answer, "Berylramp-Replica-Signature"))
    this->Env.recordViolation(
        absl::StrCat(Record.Id, ": successful answer without a signature"));
  if (Record.Kind != "stream") {
    if (!absl::EndsWith(Answer,
                        "\r\n\r\n" + standin::Replica::bodyFor(Record.Id)))
      this->Env.recordViolation(absl::StrCat(
          Record.Id, ": body differs from the one that the replica sent"));
    return;
  }
  size_t Position = 0;
  for (int Event = 1; Event <= Record.Events; ++Event) {
    std::string Expected =
        absl::StrCat("id: ", Event, "\ndata: ", Event, " of ", Record.Id, "\n");
    size_t Found = Answer.find(Expected, Position);
    if (Found == std::string::npos ||
        Answer.find(Expected, Found + 1) != std::string::npos) {
      this->Env.recordViolation(
          absl::StrCat(Record.Id, ": event ", Event,
                       " is missing, duplicated or out of order"));
      return;
    }
    Position = Found;
  }
}

int Callers::probeStatus(const Host &TargetHost, const std::string &Key) {
  tcp::socket Socket(this->Env.Loop);
  ErrorCode Error;
  Socket.connect(endpointOf(this->Env.callerEndpoint(TargetHost)), Error);
  if (Error)
    return 0;
  this->ProbeCount += 1;
  std::string Request = absl::StrCat(
      "POST /safe/x HTTP/1.1\r\nHost: api.test\r\nBerylramp-Attempt-Id: p",
      this->ProbeCount, "\r\nAuthorization: Token ", Key,
      "\r\nContent-Length: 0\r\n\r\n");
  boost::asio::write(Socket, boost::asio::buffer(Request), Error);
  std::string Answer;
  std::string Buffer(4096, '\0');
  bool IsFinished = false;
  std::function<void()> ReadMore = [&] {
    Socket.async_read_some(boost::asio::buffer(Buffer),
                           [&](const ErrorCode &ReadError, size_t Count) {
                             Answer.append(Buffer.data(), Count);
                             IsFinished = ReadError || isCompleteAnswer(Answer);
                             if (!IsFinished)
                               ReadMore();
                           });
  };
  ReadMore();
  Instant Deadline = this->Env.Timer.now() + absl::Seconds(2);
  while (!IsFinished && this->Env.Timer.now() < Deadline)
    this->Env.Loop.run_for(std::chrono::milliseconds(2));
  Socket.close(Error);
  this->Env.Loop.run_for(std::chrono::milliseconds(2));
  return isCompleteAnswer(Answer) ? std::stoi(Answer.substr(9, 3)) : 0;
}

} // namespace berylramp::soak
