//===- harness.cpp - Stand-ins for the review's scripts -------------------===//

#include "harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

/// Ports of a machine, behind the first port that is free on this machine.
constexpr int FrontendPort = 0;
constexpr int ReadyPort = 1;
constexpr int ControlPort = 2;
constexpr int DirectoryPort = 3;
constexpr int FirstFreePort = 4;
constexpr int LastFreePort = 19;
constexpr int FirstTriedPort = 18200;
constexpr int LastTriedPort = 28200;
constexpr double HeartbeatS = 1.2;
constexpr double IdleS = 60;

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

sockaddr_in socketAddress(const Address &At) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<uint16_t>(At.Port));
  inet_pton(AF_INET, At.Ip.c_str(), &Result.sin_addr);
  return Result;
}

bool canBind(const Address &At, int Type) {
  int Socket = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  sockaddr_in Local = socketAddress(At);
  bool Bound =
      bind(Socket, reinterpret_cast<sockaddr *>(&Local), sizeof(Local)) == 0;
  close(Socket);
  return Bound;
}

std::string parameter(const std::string &Target, const std::string &Name) {
  size_t Start = Target.find('?');
  while (Start != std::string::npos) {
    size_t Next = Target.find('&', Start + 1);
    std::string Part = Target.substr(
        Start + 1, Next == std::string::npos ? Next : Next - Start - 1);
    if (Part.rfind(Name + "=", 0) == 0)
      return Part.substr(Name.size() + 1);
    Start = Next;
  }
  return "";
}

std::string bigEndian(uint64_t Value, int Bytes) {
  std::string Result;
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Result += static_cast<char>(Value >> Shift & 0xff);
  return Result;
}

std::string base64(const std::string &Bytes) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (size_t Index = 0; Index < Bytes.size(); Index += 3) {
    uint32_t Group = 0;
    for (size_t Offset = 0; Offset < 3; ++Offset)
      Group =
          Group << 8 | (Index + Offset < Bytes.size()
                            ? static_cast<unsigned char>(Bytes[Index + Offset])
                            : 0U);
    for (int Digit = 0; Digit < 4; ++Digit)
      Result += Index + static_cast<size_t>(Digit) <= Bytes.size()
                    ? Digits[Group >> (18 - 6 * Digit) & 63]
                    : '=';
  }
  return Result;
}

std::string wholeAnswer(int Status, const std::string &Body,
                        const std::string &Type) {
  std::ostringstream Text;
  Text << "HTTP/1.1 " << Status << " Answer\r\nContent-Type: " << Type
       << "\r\nContent-Length: " << Body.size() << "\r\n\r\n"
       << Body;
  return Text.str();
}

} // namespace

double now() {
  static const auto Begin = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Begin)
      .count();
}

void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

Recorder::Recorder(const std::string &Path)
    : File(std::fopen(Path.c_str(), "w")) {
  now();
}

Recorder::~Recorder() {
  if (this->File != nullptr)
    std::fclose(this->File);
}

void Recorder::line(const std::string &Text) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  if (this->File == nullptr)
    return;
  std::fprintf(this->File, "%8.3f %s\n", now(), Text.c_str());
  std::fflush(this->File);
}

int listenAt(Address &At) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Local = socketAddress(At);
  socklen_t Size = sizeof(Local);
  auto *Generic = reinterpret_cast<sockaddr *>(&Local);
  if (bind(Socket, Generic, Size) != 0 || listen(Socket, 512) != 0 ||
      getsockname(Socket, Generic, &Size) != 0) {
    std::perror("listen");
    std::_Exit(CannotRun);
  }
  At.Port = ntohs(Local.sin_port);
  return Socket;
}

int connectTo(const Address &At, double TimeoutS) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in Remote = socketAddress(At);
  int Result =
      connect(Socket, reinterpret_cast<sockaddr *>(&Remote), sizeof(Remote));
  if (Result != 0 && errno == EINPROGRESS) {
    pollfd Wait{Socket, POLLOUT, 0};
    int Error = ETIMEDOUT;
    socklen_t Size = sizeof(Error);
    if (poll(&Wait, 1, static_cast<int>(TimeoutS * 1000)) == 1)
      getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
    Result = Error == 0 ? 0 : -1;
  }
  if (Result != 0) {
    close(Socket);
    return -1;
  }
  fcntl(Socket, F_SETFL, fcntl(Socket, F_GETFL) & ~O_NONBLOCK);
  int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Socket;
}

bool sendAll(int Socket, const std::string &Bytes) {
  size_t Done = 0;
  while (Done < Bytes.size()) {
    ssize_t Count =
        send(Socket, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Done += static_cast<size_t>(Count);
  }
  return true;
}

void resetSocket(int Socket) {
  linger Abort{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  close(Socket);
}

std::optional<std::string> headerOf(const Headers &All,
                                    const std::string &Name) {
  for (const auto &[Field, Value] : All)
    if (strcasecmp(Field.c_str(), Name.c_str()) == 0)
      return Value;
  return std::nullopt;
}

int Message::status() const {
  return this->StartLine.size() < 12 ? 0
                                     : std::atoi(this->StartLine.c_str() + 9);
}

std::string Message::method() const {
  return this->StartLine.substr(0, this->StartLine.find(' '));
}

std::string Message::target() const {
  size_t First = this->StartLine.find(' ');
  size_t Last = this->StartLine.rfind(' ');
  return First == std::string::npos
             ? ""
             : this->StartLine.substr(First + 1, Last - First - 1);
}

const char *readEndName(ReadEnd End) {
  switch (End) {
  case ReadEnd::Complete:
    return "complete";
  case ReadEnd::Closed:
    return "closed";
  case ReadEnd::Reset:
    return "reset";
  case ReadEnd::TimedOut:
    return "timed out";
  case ReadEnd::Malformed:
    return "malformed";
  }
  return "";
}

bool Reader::fill(double Deadline, ReadEnd &End) {
  double Left = Deadline - now();
  pollfd Wait{this->Socket, POLLIN, 0};
  if (Left <= 0 || poll(&Wait, 1, static_cast<int>(Left * 1000) + 1) != 1) {
    End = ReadEnd::TimedOut;
    return false;
  }
  char Bytes[16384];
  ssize_t Count = recv(this->Socket, Bytes, sizeof(Bytes), 0);
  if (Count > 0) {
    this->Buffer.append(Bytes, static_cast<size_t>(Count));
    return true;
  }
  End = Count == 0 ? ReadEnd::Closed : ReadEnd::Reset;
  return false;
}

Message Reader::read(bool IsAnswer, double TimeoutS) {
  Message Result;
  double Deadline = now() + TimeoutS;
  size_t HeadEnd = this->Buffer.find("\r\n\r\n");
  while (HeadEnd == std::string::npos) {
    if (!this->fill(Deadline, Result.End))
      return Result;
    HeadEnd = this->Buffer.find("\r\n\r\n");
  }
  std::istringstream Head(this->Buffer.substr(0, HeadEnd + 2));
  this->Buffer.erase(0, HeadEnd + 4);
  std::string Line;
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Result.StartLine.empty()) {
      Result.StartLine = Line;
      continue;
    }
    size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Result.Fields.emplace_back(Line.substr(0, Colon), Value == std::string::npos
                                                          ? ""
                                                          : Line.substr(Value));
  }
  bool IsChunked =
      headerOf(Result.Fields, "Transfer-Encoding").value_or("") == "chunked";
  std::optional<std::string> Length = headerOf(Result.Fields, "Content-Length");
  if (IsChunked) {
    while (true) {
      size_t End = this->Buffer.find("\r\n");
      if (End == std::string::npos) {
        if (!this->fill(Deadline, Result.End))
          return Result;
        continue;
      }
      size_t Size = std::strtoul(this->Buffer.c_str(), nullptr, 16);
      while (this->Buffer.size() < End + 2 + Size + 2)
        if (!this->fill(Deadline, Result.End))
          return Result;
      Result.Body += this->Buffer.substr(End + 2, Size);
      this->Buffer.erase(0, End + 2 + Size + 2);
      if (Size == 0)
        return Result;
    }
  }
  if (Length) {
    size_t Size = std::strtoul(Length->c_str(), nullptr, 10);
    while (this->Buffer.size() < Size)
      if (!this->fill(Deadline, Result.End))
        return Result;
    Result.Body = this->Buffer.substr(0, Size);
    this->Buffer.erase(0, Size);
    return Result;
  }
  if (!IsAnswer)
    return Result;
  while (this->fill(Deadline, Result.End))
    continue;
  Result.Body = std::move(this->Buffer);
  if (Result.End == ReadEnd::Closed)
    Result.End = ReadEnd::Complete;
  return Result;
}

Store::Store(const std::string &Ip, size_t Count) {
  for (size_t Front = 0; Front < Count; ++Front) {
    Address At{Ip, 0};
    int Listener = listenAt(At);
    this->Fronts.push_back(At);
    std::thread([this, Listener, Front] {
      while (true) {
        int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (Socket >= 0)
          std::thread([this, Socket, Front] {
            this->serve(Socket, Front);
          }).detach();
      }
    }).detach();
  }
}

void Store::setAddresses(const std::string &Id,
                         const std::vector<Address> &All) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->Places[Id] = All;
}

std::string Store::valueFor(const Record &Entry, size_t Front) const {
  std::string Value = Entry.Value.value_or("");
  auto Found = this->Places.find(Entry.Key);
  size_t Position = Value.find("@address@");
  if (Found != this->Places.end() && Position != std::string::npos)
    Value.replace(Position, std::string("@address@").size(),
                  Found->second[Front].text());
  return Value;
}

void Store::put(const std::string &Topic, const std::string &Key,
                const std::optional<std::string> &Value) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->Topics[Topic].push_back({Key, Value});
  this->Grown.notify_all();
}

void Store::serve(int Socket, size_t Front) {
  Reader Requests(Socket);
  while (true) {
    Message Request = Requests.read(false, IdleS);
    if (Request.End != ReadEnd::Complete ||
        !sendAll(Socket, this->answer(Request, Front)))
      break;
  }
  close(Socket);
}

std::string Store::answer(const Message &Request, size_t Front) {
  std::string Target = Request.target();
  std::string Path = Target.substr(0, Target.find('?'));
  std::string Topic = parameter(Target, "topic");
  std::unique_lock<std::mutex> Guard(this->Lock);
  std::vector<Record> &Records = this->Topics[Topic];
  const std::string Json = "application/json";
  if (Path == "/berylramp/log-newest") {
    std::map<std::string, std::pair<size_t, std::string>> Newest;
    for (size_t Offset = 0; Offset < Records.size(); ++Offset)
      if (Records[Offset].Value)
        Newest[Records[Offset].Key] = {Offset,
                                       this->valueFor(Records[Offset], Front)};
      else
        Newest.erase(Records[Offset].Key);
    std::string Items;
    for (const auto &[Key, Entry] : Newest)
      Items += (Items.empty() ? "" : ",") + std::string("{\"key\":") +
               quoted(Key) + ",\"data\":" + quoted(base64(Entry.second)) +
               ",\"offset\":" + std::to_string(Entry.first) + "}";
    return wholeAnswer(200,
                       "{\"items\":[" + Items +
                           "],\"hasMore\":false,\"endOffset\":" +
                           std::to_string(Records.size()) + "}",
                       Json);
  }
  if (Path == "/berylramp/log-read") {
    size_t From = std::strtoul(parameter(Target, "from").c_str(), nullptr, 10);
    int WaitMs = std::atoi(parameter(Target, "waitMs").c_str());
    if (From > Records.size())
      return wholeAnswer(410, "{\"startOffset\":0}", Json);
    this->Grown.wait_for(Guard, std::chrono::milliseconds(WaitMs),
                         [&] { return Records.size() > From; });
    std::string Body = bigEndian(Records.size(), 8) + bigEndian(0, 8);
    for (size_t Offset = From; Offset < Records.size(); ++Offset) {
      const Record &Entry = Records[Offset];
      std::string Value = this->valueFor(Entry, Front);
      Body += bigEndian(1 + Entry.Key.size() + Value.size(), 4) +
              bigEndian(Entry.Key.size(), 1) + Entry.Key + Value;
    }
    return wholeAnswer(200, Body, "application/octet-stream");
  }
  if (Path == "/berylramp/log-append") {
    std::string At = parameter(Target, "at");
    std::string End = std::to_string(Records.size());
    if (!At.empty() && At != End)
      return wholeAnswer(412, "{\"endOffset\":" + End + "}", Json);
    const std::string &Body = Request.Body;
    size_t Position = 0;
    while (Position + 5 <= Body.size()) {
      uint32_t Length = 0;
      for (size_t Index = 0; Index < 4; ++Index)
        Length =
            Length << 8 | static_cast<unsigned char>(Body[Position + Index]);
      std::string Encoded = Body.substr(Position + 4, Length);
      size_t KeySize = static_cast<unsigned char>(Encoded[0]);
      Record Added{Encoded.substr(1, KeySize), std::nullopt};
      if (Encoded.size() > 1 + KeySize)
        Added.Value = Encoded.substr(1 + KeySize);
      Records.push_back(Added);
      Position += 4 + Length;
    }
    this->Grown.notify_all();
    return wholeAnswer(200,
                       "{\"offset\":" + End + ",\"endOffset\":" +
                           std::to_string(Records.size()) + "}",
                       Json);
  }
  return wholeAnswer(404, "{}", Json);
}

Replica::Replica(Store &Registry, std::string Id, std::string Service,
                 std::string Zone, std::string Version, std::string Ip,
                 int Slots, Handler Answer)
    : Registry(Registry), Id(std::move(Id)), Service(std::move(Service)),
      Zone(std::move(Zone)), Version(std::move(Version)), Ip(std::move(Ip)),
      Slots(Slots), Answer(std::move(Answer)),
      BornMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {}

void Replica::start() {
  std::vector<Address> All;
  for (size_t Front = 0; Front < this->Registry.fronts(); ++Front) {
    Address At{this->Ip, 0};
    int Listener = listenAt(At);
    All.push_back(At);
    this->Listeners.push_back(Listener);
    std::thread([this, Listener, Front] {
      while (true) {
        int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (Socket < 0)
          return;
        std::thread([this, Socket, Front] {
          this->serve(Socket, Front);
        }).detach();
      }
    }).detach();
  }
  this->Registry.setAddresses(this->Id, All);
  this->beat();
  std::thread([this] {
    while (true) {
      sleepFor(HeartbeatS);
      this->beat();
    }
  }).detach();
}

void Replica::cut(size_t Front) {
  shutdown(this->Listeners[Front], SHUT_RDWR);
  close(this->Listeners[Front]);
}

void Replica::beat() {
  this->Sequence += 1;
  std::ostringstream Entry;
  Entry << "{\"service\":" << quoted(this->Service)
        << ",\"address\":" << quoted("@address@")
        << ",\"zone\":" << quoted(this->Zone)
        << ",\"version\":" << quoted(this->Version)
        << ",\"slots\":" << this->Slots
        << R"(,"state":"ready","coldRemainingMs":0,"sequence":)"
        << this->Sequence << ",\"born\":" << this->BornMs << "}";
  this->Registry.put("keyed.servers", this->Id, Entry.str());
}

void Replica::serve(int Socket, size_t Front) {
  int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  Reader Requests(Socket);
  while (true) {
    Message Request = Requests.read(false, IdleS);
    if (Request.End != ReadEnd::Complete)
      break;
    std::string Expected =
        headerOf(Request.Fields, "Berylramp-Expect-Replica").value_or(this->Id);
    if (Expected != this->Id) {
      sendAll(Socket, wholeAnswer(421, "", "text/plain"));
      continue;
    }
    if (!this->Answer(Request, Socket, Front))
      break;
  }
  close(Socket);
}

Fleet::Fleet(Recorder &Log, Store &Registry, std::string Folder)
    : Log(Log), Registry(Registry), Folder(std::move(Folder)) {}

void Fleet::endAll() {
  for (Machine &Target : this->All)
    if (Target.Process > 0) {
      kill(Target.Process, SIGCONT);
      kill(Target.Process, SIGKILL);
      waitpid(Target.Process, nullptr, 0);
      Target.Process = -1;
    }
}

void Fleet::pickPorts(const std::string &Ip) {
  for (int First = FirstTriedPort; First < LastTriedPort;
       First += LastFreePort + 1) {
    bool IsFree = true;
    for (int Port = 0; Port <= LastFreePort; ++Port)
      IsFree = IsFree && canBind({Ip, First + Port}, SOCK_STREAM) &&
               canBind({Ip, First + Port}, SOCK_DGRAM);
    if (IsFree) {
      this->FirstPort = First;
      return;
    }
  }
  std::_Exit(CannotRun);
}

void Fleet::add(const std::string &Zone, const std::string &Region,
                const std::string &Ip) {
  if (this->FirstPort == 0)
    this->pickPorts(Ip);
  Machine Added;
  Added.Name = "edge-" + Zone + "-" + std::to_string(this->All.size() + 1);
  Added.Zone = Zone;
  Added.Region = Region;
  Added.Ip = Ip;
  Added.SettingsFile = this->Folder + "/" + Added.Name + ".json";
  this->All.push_back(Added);
}

Address Fleet::frontend(const Machine &Target) const {
  return {Target.Ip, this->FirstPort + FrontendPort};
}

Address Fleet::ready(const Machine &Target) const {
  return {Target.Ip, this->FirstPort + ReadyPort};
}

void Fleet::start(Machine &Target) {
  auto Index = static_cast<size_t>(&Target - this->All.data());
  std::ostringstream Zones;
  std::ostringstream Seeds;
  std::map<std::string, std::string> Regions;
  for (const Machine &Other : this->All)
    Regions[Other.Zone] = Other.Region;
  for (const auto &[Zone, Region] : Regions)
    Zones << (Zones.tellp() > 0 ? "," : "") << quoted(Zone) << ":"
          << quoted(Region);
  std::map<std::string, bool> Named;
  for (const Machine &Other : this->All)
    if (Named.size() < 3 && Named.emplace(Other.Zone, true).second)
      Seeds << (Seeds.tellp() > 0 ? "," : "")
            << quoted(Address{Other.Ip, this->FirstPort + ControlPort}.text());
  auto At = [&](int Port) {
    return quoted(Address{Target.Ip, this->FirstPort + Port}.text());
  };
  std::ofstream File(Target.SettingsFile);
  File << "{\"nodeName\":" << quoted(Target.Name)
       << R"(,"role":"edge","machineClass":"edge",)"
       << R"("serves":["edge","control","registry"],"ip":)" << quoted(Target.Ip)
       << ",\"zone\":" << quoted(Target.Zone)
       << ",\"region\":" << quoted(Target.Region) << ",\"zones\":{"
       << Zones.str() << "},\"listen\":{\"frontend\":" << At(FrontendPort)
       << ",\"ready\":" << At(ReadyPort)
       << ",\"controlPlane\":" << At(ControlPort)
       << ",\"directory\":" << At(DirectoryPort) << "},\"portRange\":["
       << this->FirstPort + FirstFreePort << ","
       << this->FirstPort + LastFreePort << "],\"seeds\":[" << Seeds.str()
       << R"(],"bootstrap":true,"inTolerance":false,"limits":{"cpuQuota":0.25,)"
       << R"("cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,)"
       << R"("diskMb":0},"dataDir":null,"discovery":"platform",)"
       << R"("entry":"registry","heartbeatMs":1200,"contracts":["base",)"
       << R"("drain","config","cost","retry","recover","engine","stream",)"
       << R"("tenants","platform","rollout"],"faultTolerance":{"machines":2,)"
       << R"("zones":0,"regions":0},"bounds":{"seedLagS":3,"reuseAfterS":2,)"
       << R"("stableWindowMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":2500,)"
       << R"("graceS":8,"lossSlackMs":200,"configApplyMs":2500,)"
       << R"("downgradeMs":250,"maxSkewMs":6000,"strictRevoke":false,)"
       << R"("revokeMs":5000,"retryRatio":0.9,"retryWindowS":10,)"
       << R"("retrySlack":56,"canaryShare":0.15,"canarySlack":30,)"
       << R"("rollbackMs":5000,"recoveryS":12,"maxDelayMs":250,)"
       << R"("reuseWindowS":10,"sessionS":5,"ttl_max_s":5},"platform":{)"
       << "\"address\":" << quoted(this->Registry.address(Index).text())
       << R"(,"form":"log","writesPerS":400,"readsPerS":2000,"parts":12,)"
       << R"("appendMs":2.0,"partitionMbS":20.0,"readMbS":80.0,)"
       << R"("recordBytes":262144,"callBytes":2097152,"keep_s":300,)"
       << R"("partitionMb":200,"ttlMinMs":1000}})"
       << "\n";
  File.close();
  std::string Output = this->Folder + "/" + Target.Name + ".log";
  pid_t Child = fork();
  if (Child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int Log = open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    std::string Variable = "BERYLRAMP_NODE_FILE=" + Target.SettingsFile;
    char Program[] = "target/bin/berylramp-edged";
    char Path[] = "PATH=/usr/bin:/bin";
    char *Arguments[] = {Program, nullptr};
    char *Environment[] = {Variable.data(), Path, nullptr};
    execve(Program, Arguments, Environment);
    std::_Exit(CannotRun);
  }
  Target.Process = Child;
  this->Log.line("start " + Target.Name + " at " + Target.Ip + ", process " +
                 std::to_string(Child));
}

void Fleet::signal(Machine &Target, int Number) {
  if (Target.Process <= 0)
    return;
  this->Log.line(std::string("signal ") + strsignal(Number) + " to " +
                 Target.Name);
  kill(Target.Process, Number);
}

bool Fleet::awaitEnd(Machine &Target, double TimeoutS) {
  double Deadline = now() + TimeoutS;
  while (Target.Process > 0 && now() < Deadline) {
    int Status = 0;
    if (waitpid(Target.Process, &Status, WNOHANG) == Target.Process) {
      this->Log.line(Target.Name + " ended, status " + std::to_string(Status));
      Target.Process = -1;
      return true;
    }
    sleepFor(0.01);
  }
  return Target.Process <= 0;
}

bool Fleet::isReady(const Machine &Target) const {
  Message Answer = call(this->ready(Target), "GET", "/berylramp/readyz",
                        {{"Host", "ready"}}, "", 0.5);
  return Answer.End == ReadEnd::Complete && Answer.status() == 200;
}

bool Fleet::awaitReady(double TimeoutS) {
  double Deadline = now() + TimeoutS;
  while (now() < Deadline) {
    if (std::all_of(this->All.begin(), this->All.end(),
                    [&](const Machine &M) { return this->isReady(M); }))
      return true;
    sleepFor(0.1);
  }
  return false;
}

Message call(const Address &At, const std::string &Method,
             const std::string &Target, const Headers &Fields,
             const std::string &Body, double TimeoutS) {
  Message Failed;
  Failed.End = ReadEnd::Reset;
  int Socket = connectTo(At, 1.0);
  if (Socket < 0)
    return Failed;
  std::ostringstream Text;
  Text << Method << " " << Target << " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Fields)
    Text << Name << ": " << Value << "\r\n";
  if (Method != "GET")
    Text << "Content-Length: " << Body.size() << "\r\n";
  Text << "\r\n" << Body;
  if (!sendAll(Socket, Text.str())) {
    close(Socket);
    return Failed;
  }
  Message Answer = Reader(Socket).read(true, TimeoutS);
  close(Socket);
  return Answer;
}

int networkNumber() { return 16 + static_cast<int>(getpid() % 200); }

void runScript(int Argc, char **Argv, size_t Fronts, const Script &Run) {
  if (Argc != 3)
    std::_Exit(CannotRun);
  std::signal(SIGPIPE, SIG_IGN);
  const char *Setting = std::getenv("TROUBLE");
  bool Trouble = Setting == nullptr || std::string(Setting) != "0";
  Recorder Log(Argv[1]);
  // The stand-ins live until the process ends: their threads use them.
  std::string Network = "127." + std::to_string(networkNumber());
  auto *Registry = new Store(Network + ".9.1", Fronts);
  auto *Machines = new Fleet(Log, *Registry, Argv[2]);
  int Result = Run(Log, *Machines, *Registry, Network, Trouble);
  Machines->endAll();
  Log.line(Result == RuleBroken ? "result: rule broken"
           : Result == RuleHeld ? "result: rule held"
                                : "result: could not run");
  std::_Exit(Result);
}

} // namespace review
