//===- platform.cpp - Stand-ins for a small deployment --------------------===//

#include "platform.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <spawn.h>
#include <sstream>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace review {

namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point Start = Clock::now();
std::mutex RecordLock;
std::ofstream RecordFile;

constexpr double HeartbeatTime = 1.2;

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

bool waitFor(int Descriptor, short Events, double Timeout) {
  pollfd Entry{Descriptor, Events, 0};
  return poll(&Entry, 1, static_cast<int>(Timeout * 1000)) > 0;
}

std::string base64(const std::string &Text) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (size_t At = 0; At < Text.size(); At += 3) {
    uint32_t Group = 0;
    for (size_t Byte = 0; Byte < 3; ++Byte)
      Group = Group << 8 | (At + Byte < Text.size()
                                ? static_cast<unsigned char>(Text[At + Byte])
                                : 0);
    for (size_t Digit = 0; Digit < 4; ++Digit)
      Result += At + Digit > Text.size()
                    ? '='
                    : Digits[Group >> (18 - 6 * Digit) & 63];
  }
  return Result;
}

std::string parameter(const std::string &Target, const std::string &Name) {
  size_t Query = Target.find('?');
  std::string Text =
      "&" + (Query == std::string::npos ? "" : Target.substr(Query + 1));
  size_t At = Text.find("&" + Name + "=");
  if (At == std::string::npos)
    return "";
  size_t From = At + Name.size() + 2;
  return Text.substr(From, Text.find('&', From) - From);
}

int64_t numberOf(const std::string &Text, int64_t Fallback) {
  return Text.empty() ? Fallback : std::strtoll(Text.c_str(), nullptr, 10);
}

std::string bigEndian(uint64_t Value, int Bytes) {
  std::string Result;
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Result += static_cast<char>(Value >> Shift & 0xff);
  return Result;
}

std::string httpAnswer(int Status, const std::string &Type,
                       const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Answer\r\nContent-Type: " + Type +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string encodeRecord(const Record &Source) {
  std::string Value = Source.Value.value_or("");
  std::string Content = bigEndian(Source.Key.size(), 1) + Source.Key + Value;
  return bigEndian(Content.size(), 4) + Content;
}

std::vector<Record> decodeRecords(const std::string &Body) {
  std::vector<Record> Result;
  auto ByteAt = [&](size_t At) {
    return static_cast<uint32_t>(static_cast<unsigned char>(Body[At]));
  };
  size_t At = 0;
  while (At + 5 <= Body.size()) {
    uint32_t Length = ByteAt(At) << 24 | ByteAt(At + 1) << 16 |
                      ByteAt(At + 2) << 8 | ByteAt(At + 3);
    uint32_t KeyLength = ByteAt(At + 4);
    Record Decoded;
    Decoded.Key = Body.substr(At + 5, KeyLength);
    if (Length > 1 + KeyLength)
      Decoded.Value = Body.substr(At + 5 + KeyLength, Length - 1 - KeyLength);
    Result.push_back(Decoded);
    At += 4 + Length;
  }
  return Result;
}

} // namespace

double now() {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

void openRecord(const std::string &Path) { RecordFile.open(Path); }

void record(const std::string &Line) {
  std::lock_guard<std::mutex> Guard(RecordLock);
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f ", now());
  RecordFile << Time << Line << "\n";
  RecordFile.flush();
}

std::string Message::header(const std::string &Name) const {
  std::istringstream Lines(this->Head);
  std::string Line;
  while (std::getline(Lines, Line)) {
    size_t Colon = Line.find(':');
    if (Colon != Name.size() ||
        strncasecmp(Line.c_str(), Name.c_str(), Colon) != 0)
      continue;
    size_t From = Line.find_first_not_of(' ', Colon + 1);
    size_t End = Line.find_last_not_of("\r ");
    return From == std::string::npos || End < From
               ? ""
               : Line.substr(From, End - From + 1);
  }
  return "";
}

std::string Message::method() const {
  return this->Start.substr(0, this->Start.find(' '));
}

std::string Message::target() const {
  size_t From = this->Start.find(' ') + 1;
  return this->Start.substr(From, this->Start.find(' ', From) - From);
}

int Message::status() const {
  return static_cast<int>(numberOf(this->target(), 0));
}

Connection::~Connection() { close(this->Descriptor); }

std::unique_ptr<Connection> Connection::open(const std::string &Ip, int Port,
                                             double Timeout) {
  int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Flags = fcntl(Descriptor, F_GETFL);
  fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
  sockaddr_in Address = addressOf(Ip, Port);
  int Result = connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                       sizeof(Address));
  int Error = 0;
  socklen_t Size = sizeof(Error);
  bool Failed = Result != 0 && errno != EINPROGRESS;
  if (!Failed && Result != 0)
    Failed = !waitFor(Descriptor, POLLOUT, Timeout) ||
             getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
             Error != 0;
  if (Failed) {
    close(Descriptor);
    return nullptr;
  }
  fcntl(Descriptor, F_SETFL, Flags);
  int On = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return std::make_unique<Connection>(Descriptor);
}

bool Connection::fill(double Timeout) {
  if (!waitFor(this->Descriptor, POLLIN, Timeout))
    return false;
  char Bytes[16384];
  ssize_t Count = recv(this->Descriptor, Bytes, sizeof(Bytes), 0);
  this->WasReset = Count < 0;
  if (Count <= 0)
    return false;
  this->Buffer.append(Bytes, static_cast<size_t>(Count));
  return true;
}

bool Connection::readSome(std::string &Bytes, double Timeout) {
  if (this->Buffer.empty() && !this->fill(Timeout))
    return false;
  Bytes += this->Buffer;
  this->Buffer.clear();
  return true;
}

bool Connection::read(Message &Result, double Timeout, bool IsAnswer) {
  double End = now() + Timeout;
  size_t HeadEnd = 0;
  while ((HeadEnd = this->Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!this->fill(std::max(0.0, End - now())))
      return false;
  Result.Head = this->Buffer.substr(0, HeadEnd + 2);
  Result.Start = Result.Head.substr(0, Result.Head.find("\r\n"));
  Result.Body.clear();
  this->Buffer.erase(0, HeadEnd + 4);
  if (Result.header("Transfer-Encoding") == "chunked") {
    while (true) {
      size_t LineEnd = 0;
      while ((LineEnd = this->Buffer.find("\r\n")) == std::string::npos)
        if (!this->fill(std::max(0.0, End - now())))
          return false;
      size_t Length = std::strtoul(this->Buffer.c_str(), nullptr, 16);
      while (this->Buffer.size() < LineEnd + 2 + Length + 2)
        if (!this->fill(std::max(0.0, End - now())))
          return false;
      Result.Body += this->Buffer.substr(LineEnd + 2, Length);
      this->Buffer.erase(0, LineEnd + 2 + Length + 2);
      if (Length == 0)
        return true;
    }
  }
  std::string Length = Result.header("Content-Length");
  if (Length.empty() && IsAnswer) {
    while (this->fill(std::max(0.0, End - now())))
      ;
    Result.Body.swap(this->Buffer);
    return !this->WasReset && now() < End;
  }
  auto Needed = static_cast<size_t>(numberOf(Length, 0));
  while (this->Buffer.size() < Needed)
    if (!this->fill(std::max(0.0, End - now())))
      return false;
  Result.Body = this->Buffer.substr(0, Needed);
  this->Buffer.erase(0, Needed);
  return true;
}

bool Connection::write(const std::string &Bytes) {
  size_t Written = 0;
  while (Written < Bytes.size()) {
    ssize_t Count = send(this->Descriptor, Bytes.data() + Written,
                         Bytes.size() - Written, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Written += static_cast<size_t>(Count);
  }
  return true;
}

bool Connection::isClosed() {
  char Byte = 0;
  ssize_t Count = recv(this->Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset() {
  linger Off{1, 0};
  setsockopt(this->Descriptor, SOL_SOCKET, SO_LINGER, &Off, sizeof(Off));
}

void Connection::shutDown() { shutdown(this->Descriptor, SHUT_RDWR); }

int Server::listen(const std::string &Ip, Handler Call) {
  this->Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(this->Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = addressOf(Ip, 0);
  if (bind(this->Descriptor, reinterpret_cast<sockaddr *>(&Address),
           sizeof(Address)) != 0 ||
      ::listen(this->Descriptor, 1024) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t Size = sizeof(Address);
  getsockname(this->Descriptor, reinterpret_cast<sockaddr *>(&Address), &Size);
  this->Acceptor = std::thread([this, Call] {
    while (true) {
      int Accepted = accept4(this->Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        return;
      int NoDelay = 1;
      setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &NoDelay, sizeof(NoDelay));
      this->Threads += 1;
      std::thread([this, Call, Accepted] {
        {
          Connection Caller(Accepted);
          {
            std::lock_guard<std::mutex> Guard(this->Lock);
            this->Open.insert(&Caller);
          }
          Call(Caller);
          std::lock_guard<std::mutex> Guard(this->Lock);
          this->Open.erase(&Caller);
        }
        this->Threads -= 1;
      }).detach();
    }
  });
  return ntohs(Address.sin_port);
}

void Server::stop() {
  if (this->Descriptor < 0)
    return;
  shutdown(this->Descriptor, SHUT_RDWR);
  this->Acceptor.join();
  close(this->Descriptor);
  this->Descriptor = -1;
  {
    std::lock_guard<std::mutex> Guard(this->Lock);
    for (Connection *Remaining : this->Open)
      Remaining->shutDown();
  }
  while (this->Threads > 0)
    sleepFor(0.005);
}

int Store::listen(const std::string &Ip) {
  return this->Listener.listen(
      Ip, [this](Connection &Caller) { this->serve(Caller); });
}

void Store::put(const std::string &Topic, const std::string &Key,
                std::optional<std::string> Value) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->Topics[Topic].push_back({Key, std::move(Value)});
  this->Changed.notify_all();
}

std::string Store::newest(const std::string &Topic, const std::string &Key) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  std::string Result;
  for (const Record &Entry : this->Topics[Topic])
    if (Entry.Key == Key)
      Result = Entry.Value.value_or("");
  return Result;
}

void Store::serve(Connection &Caller) {
  Message Request;
  while (Caller.read(Request, 120, false)) {
    std::string Text = this->IsSilent ? "" : this->answer(Request);
    sleepFor(this->AnswerTime);
    if (this->IsSilent) {
      // Nothing more comes on a connection whose answer was lost.
      while (Caller.readSome(Text, 120))
        Text.clear();
      return;
    }
    if (!Caller.write(Text))
      return;
  }
}

std::string Store::answer(const Message &Request) {
  std::string Target = Request.target();
  std::string Topic = parameter(Target, "topic");
  std::unique_lock<std::mutex> Guard(this->Lock);
  std::vector<Record> &Log = this->Topics[Topic];
  auto End = [&] { return static_cast<int64_t>(Log.size()); };
  if (Target.rfind("/berylramp/log-append", 0) == 0) {
    if (Topic == "keyed.op" || Topic == "keyed.servers")
      return httpAnswer(403, "application/json", "{}");
    int64_t At = numberOf(parameter(Target, "at"), -1);
    if (At >= 0 && At != End())
      return httpAnswer(412, "application/json",
                        "{\"endOffset\":" + std::to_string(End()) + "}");
    int64_t First = End();
    std::vector<Record> Added = decodeRecords(Request.Body);
    Log.insert(Log.end(), Added.begin(), Added.end());
    std::string Text = "{\"offset\":" + std::to_string(First) +
                       ",\"endOffset\":" + std::to_string(End()) + "}";
    this->Changed.notify_all();
    Guard.unlock();
    if (this->OnAppend)
      for (const Record &Entry : Added)
        this->OnAppend(Topic, Entry);
    return httpAnswer(200, "application/json", Text);
  }
  if (Target.rfind("/berylramp/log-read", 0) == 0) {
    int64_t From = numberOf(parameter(Target, "from"), 0);
    if (From > End())
      return httpAnswer(410, "application/json", "{\"startOffset\":0}");
    auto Wait =
        std::chrono::milliseconds(numberOf(parameter(Target, "waitMs"), 0));
    this->Changed.wait_for(Guard, Wait, [&] { return From < End(); });
    std::string Body =
        bigEndian(static_cast<uint64_t>(End()), 8) + bigEndian(0, 8);
    for (int64_t At = From; At < End(); ++At)
      Body += encodeRecord(Log[static_cast<size_t>(At)]);
    return httpAnswer(200, "application/octet-stream", Body);
  }
  if (Target.rfind("/berylramp/log-newest", 0) == 0) {
    std::map<std::string, std::pair<std::string, int64_t>> Newest;
    for (int64_t At = 0; At < End(); ++At) {
      const Record &Entry = Log[static_cast<size_t>(At)];
      if (Entry.Value)
        Newest[Entry.Key] = {*Entry.Value, At};
      else
        Newest.erase(Entry.Key);
    }
    std::string Items;
    for (const auto &[Key, Value] : Newest)
      Items += (Items.empty() ? "" : ",") + std::string("{\"key\":\"") + Key +
               "\",\"data\":\"" + base64(Value.first) +
               "\",\"offset\":" + std::to_string(Value.second) + "}";
    return httpAnswer(
        200, "application/json",
        "{\"items\":[" + Items +
            "],\"hasMore\":false,\"endOffset\":" + std::to_string(End()) + "}");
  }
  return httpAnswer(404, "application/json", "{}");
}

void Replica::start(const std::string &HostIp) {
  this->Ip = HostIp;
  this->Stopped = false;
  this->Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
  this->Port = this->Listener.listen(
      HostIp, [this](Connection &Caller) { this->serve(Caller); });
  this->beat();
  this->Heart = std::thread([this] {
    double Next = now() + HeartbeatTime;
    while (!this->Stopped) {
      sleepFor(0.02);
      if (now() < Next)
        continue;
      Next += HeartbeatTime;
      this->beat();
    }
  });
}

void Replica::beat() {
  this->Sequence += 1;
  this->Platform.put("keyed.servers", this->Id, this->entry());
}

void Replica::stop() {
  if (this->Stopped.exchange(true))
    return;
  this->Heart.join();
  this->Platform.put("keyed.servers", this->Id, std::nullopt);
  this->Listener.stop();
}

void Replica::crash() {
  if (this->Stopped.exchange(true))
    return;
  this->Listener.stop();
  this->Heart.join();
  sleepFor(3 * HeartbeatTime);
  this->Platform.put("keyed.servers", this->Id, std::nullopt);
}

std::string Replica::entry() const {
  return "{\"service\":\"" + this->Service + "\",\"address\":\"" + this->Ip +
         ":" + std::to_string(this->Port) + "\",\"zone\":\"" + this->Zone +
         "\",\"version\":\"" + this->Version + "\",\"slots\":64,\"state\":\"" +
         (this->Leaving ? "draining" : "ready") +
         "\",\"coldRemainingMs\":0,\"sequence\":" +
         std::to_string(this->Sequence) +
         ",\"born\":" + std::to_string(this->Born) + "}";
}

std::string Replica::headers(const Message &Request) const {
  return "Berylramp-Attempt-Id: " + Request.header("Berylramp-Attempt-Id") +
         "\r\nBerylramp-Replica-Load: 1,0,64\r\n";
}

std::string answerOf(const Replica &Source, const Message &Request, int Status,
                     const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Answer\r\n" +
         Source.headers(Request) + "Berylramp-Replica-Signature: " + Source.Id +
         "." + Request.header("Berylramp-Attempt-Id") +
         "\r\nContent-Type: text/plain\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

void Replica::serve(Connection &Caller) {
  Message Request;
  while (Caller.read(Request, 60, false)) {
    if (Request.header("Berylramp-Expect-Replica") != this->Id) {
      Caller.write("HTTP/1.1 421 Misdirected Request\r\n" +
                   this->headers(Request) + "Content-Length: 0\r\n\r\n");
      continue;
    }
    if (this->OnArrival)
      this->OnArrival({now(), Request.header("Berylramp-Attempt-Id"), this->Id,
                       this->Version, Request.target()});
    if (this->OnRequest) {
      this->OnRequest(Caller, Request);
      continue;
    }
    sleepFor(this->WorkTime);
    if (!Caller.write(answerOf(*this, Request, 200, "done\n")))
      return;
  }
}

void Daemon::start(const std::string &Folder, const std::string &StoreIp,
                   int StorePort, const std::vector<std::string> &Seeds) {
  std::string Path = Folder + "/" + this->Name + ".json";
  auto AddressOf = [&](int Offset) {
    return "\"" + this->Ip + ":" + std::to_string(this->FirstPort + Offset) +
           "\"";
  };
  std::string SeedList;
  for (const std::string &Seed : Seeds)
    SeedList += (SeedList.empty() ? "\"" : ",\"") + Seed + "\"";
  // The settings of the deployment ductsight.
  std::ofstream(Path)
      << "{\"nodeName\":\"" << this->Name
      << "\",\"role\":\"edge\",\"machineClass\":\"edge\",\"serves\":[\"edge\","
         "\"registry\",\"control\"],\"ip\":\""
      << this->Ip << "\",\"zone\":\"" << this->Zone << "\",\"region\":\""
      << (this->Zone == "colombo-a" ? "western"
          : this->Zone == "kandy-a" ? "central"
                                    : "southern")
      << "\",\"zones\":{\"colombo-a\":\"western\",\"kandy-a\":\"central\","
         "\"galle-a\":\"southern\"},\"listen\":{\"frontend\":"
      << AddressOf(0) << ",\"ready\":" << AddressOf(1)
      << ",\"controlPlane\":" << AddressOf(2)
      << ",\"directory\":" << AddressOf(3) << "},\"portRange\":["
      << this->FirstPort + 4 << "," << this->FirstPort + 8 << "],\"seeds\":["
      << SeedList
      << "],\"bootstrap\":true,\"limits\":{\"cpuQuota\":0.25,\"cores\":1,"
         "\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0},"
         "\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"registry\","
         "\"heartbeatMs\":1200,\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,"
         "\"stableWindowMs\":4000,\"ackMs\":5000,\"catchUpS\":4,"
         "\"drainMs\":2500,\"graceS\":8,\"lossSlackMs\":200,"
         "\"configApplyMs\":2500,\"downgradeMs\":250,\"maxSkewMs\":6000,"
         "\"strictRevoke\":false,\"revokeMs\":5000,\"retryRatio\":0.9,"
         "\"retryWindowS\":10,\"retrySlack\":56,\"canaryShare\":0.15,"
         "\"canarySlack\":30,\"rollbackMs\":5000,\"recoveryS\":12,"
         "\"maxDelayMs\":250,\"reuseWindowS\":10,\"sessionS\":5,"
         "\"ttl_max_s\":5},\"platform\":{\"address\":\""
      << StoreIp << ":" << StorePort
      << "\",\"form\":\"log\",\"writesPerS\":400,\"readsPerS\":2000,"
         "\"parts\":12,\"appendMs\":2.0,\"partitionMbS\":20.0,"
         "\"readMbS\":80.0,\"recordBytes\":262144,\"callBytes\":2097152,"
         "\"keep_s\":300,\"partitionMb\":200,\"ttlMinMs\":1000}}\n";
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  std::string LogPath = Folder + "/" + this->Name + ".log";
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  std::string Variable = "BERYLRAMP_NODE_FILE=" + Path;
  std::vector<char *> Environment;
  for (char **Entry = environ; *Entry != nullptr; ++Entry)
    Environment.push_back(*Entry);
  Environment.push_back(Variable.data());
  Environment.push_back(nullptr);
  // The command of the deploy file.
  std::string Program = "target/bin/berylramp-edged";
  char *Arguments[] = {Program.data(), nullptr};
  int Error = posix_spawn(&this->Pid, Program.c_str(), &Actions, nullptr,
                          Arguments, Environment.data());
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0) {
    std::fprintf(stderr, "cannot start %s: %s\n", Program.c_str(),
                 std::strerror(Error));
    std::exit(2);
  }
  // run.sh ends what this process leaves behind.
  std::ofstream(Folder + "/pids", std::ios::app) << this->Pid << "\n";
  record(this->Name + " started at " + this->Ip + ":" +
         std::to_string(this->FirstPort));
}

void Daemon::signal(int Signal) const {
  if (this->Pid > 0)
    ::kill(this->Pid, Signal);
}

void Daemon::kill() {
  if (this->Pid <= 0)
    return;
  ::kill(this->Pid, SIGKILL);
  waitpid(this->Pid, nullptr, 0);
  this->Pid = -1;
}

bool Daemon::isRunning() {
  if (this->Pid <= 0)
    return false;
  if (waitpid(this->Pid, nullptr, WNOHANG) != this->Pid)
    return true;
  this->Pid = -1;
  return false;
}

bool Daemon::isReady() const {
  std::unique_ptr<Connection> Caller =
      Connection::open(this->Ip, this->FirstPort + 1, 1);
  Message Answer;
  return Caller != nullptr &&
         Caller->write(
             "GET /berylramp/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         Caller->read(Answer, 1, true) && Answer.status() == 200;
}

bool awaitReady(const std::vector<std::unique_ptr<Daemon>> &Hosts,
                double Timeout) {
  double End = now() + Timeout;
  for (const auto &Host : Hosts)
    while (!Host->isReady()) {
      if (now() > End) {
        record(Host->Name + " is not ready");
        return false;
      }
      sleepFor(0.1);
    }
  // The hosts hear of each other.
  sleepFor(1);
  return true;
}

std::string routeRow(const std::string &Name, const std::string &Prefix,
                     const std::string &Kind, const std::string &Service,
                     int Attempts, int TimeoutMs, int ObjectiveMs) {
  return "{\"name\":\"" + Name +
         "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"" + Prefix +
         "\",\"routeKind\":\"" + Kind + "\",\"service\":\"" + Service +
         "\",\"maxAttempts\":" + std::to_string(Attempts) +
         ",\"timeoutMs\":" + std::to_string(TimeoutMs) +
         ",\"sloMs\":" + std::to_string(ObjectiveMs) +
         ",\"priority\":1,\"anonymous\":true}";
}

std::string configuration(int Version, const std::vector<std::string> &Routes,
                          const std::vector<std::string> &Services) {
  std::string Text =
      "{\"version\":" + std::to_string(Version) + ",\"routes\":[";
  for (size_t Index = 0; Index < Routes.size(); ++Index)
    Text += (Index == 0 ? "" : ",") + Routes[Index];
  Text += "],\"services\":[";
  for (size_t Index = 0; Index < Services.size(); ++Index)
    Text += (Index == 0 ? "{\"name\":\"" : ",{\"name\":\"") + Services[Index] +
            "\",\"healthPath\":\"/healthz\",\"maxConns\":370}";
  return Text + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
                "4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000},"
                "\"tenants\":[]}";
}

Outcome request(const Daemon &Host, const std::string &Method,
                const std::string &Target, const std::string &Id,
                const std::string &Body, int DeadlineMs,
                const std::string &MoreHeaders) {
  Outcome Result;
  std::unique_ptr<Connection> Caller =
      Connection::open(Host.Ip, Host.frontend(), 1);
  if (Caller == nullptr) {
    Result.Status = -1;
    return Result;
  }
  std::string Text =
      Method + " " + Target +
      " HTTP/1.1\r\nHost: ficu95.example\r\n"
      "Berylramp-Attempt-Id: " +
      Id + "\r\nBerylramp-Deadline-Ms: " + std::to_string(DeadlineMs) + "\r\n" +
      MoreHeaders;
  if (Method != "GET")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Message Answer;
  if (!Caller->write(Text + "\r\n" + Body) ||
      !Caller->read(Answer, DeadlineMs / 1000.0, true))
    return Result;
  Result.Status = Answer.status();
  Result.Text = Answer.Body;
  Result.IsWhole = true;
  Result.IsSigned = !Answer.header("Berylramp-Replica-Signature").empty();
  return Result;
}

std::string freshId() {
  static std::mutex Lock;
  static std::mt19937_64 Random(std::random_device{}());
  std::lock_guard<std::mutex> Guard(Lock);
  char Text[24];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Random()));
  return Text;
}

std::string addressPrefix() {
  static const std::string Prefix =
      "127.77." + std::to_string(1 + getpid() % 250) + ".";
  return Prefix;
}

int freePort(const std::string &Ip) {
  // Ten ports in a row, below the range of ephemeral ports.
  for (int Port = 20000 + getpid() % 1000 * 10; Port < 32000; Port += 10) {
    bool AllFree = true;
    for (int Offset = 0; Offset < 10 && AllFree; ++Offset)
      for (int Type : {SOCK_STREAM, SOCK_DGRAM}) {
        int Descriptor = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
        sockaddr_in Address = addressOf(Ip, Port + Offset);
        AllFree =
            AllFree && bind(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                            sizeof(Address)) == 0;
        close(Descriptor);
      }
    if (AllFree)
      return Port;
  }
  return 20000;
}

} // namespace review
