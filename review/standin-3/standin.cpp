//===- standin.cpp - Stand-ins for the cases of the third review ----------===//

#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr double HeartbeatSeconds = 1.2;
constexpr double OpenSeconds = 2;
constexpr size_t ReadBytes = 65536;

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

const sockaddr *generic(const sockaddr_in &Address) {
  return reinterpret_cast<const sockaddr *>(&Address);
}

std::string lowered(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Query;
  size_t Start = Target.find('?');
  std::istringstream Rest(
      Start == std::string::npos ? std::string() : Target.substr(Start + 1));
  std::string Part;
  while (std::getline(Rest, Part, '&')) {
    size_t Equals = Part.find('=');
    if (Equals != std::string::npos)
      Query[Part.substr(0, Equals)] = Part.substr(Equals + 1);
  }
  return Query;
}

std::string httpAnswer(int Status, const std::string &Type,
                       const std::string &Body) {
  std::ostringstream Text;
  Text << "HTTP/1.1 " << Status << " Answer\r\nContent-Type: " << Type
       << "\r\nContent-Length: " << Body.size() << "\r\n\r\n"
       << Body;
  return Text.str();
}

std::string bigEndian(uint64_t Value, int Bytes) {
  std::string Result;
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Result += static_cast<char>(Value >> Shift & 0xff);
  return Result;
}

std::string base64(const std::string &Text) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (size_t Position = 0; Position < Text.size(); Position += 3) {
    uint32_t Group = 0;
    for (size_t Offset = 0; Offset < 3; ++Offset)
      Group = Group << 8 |
              (Position + Offset < Text.size()
                   ? static_cast<unsigned char>(Text[Position + Offset])
                   : 0U);
    for (size_t Digit = 0; Digit < 4; ++Digit)
      Result += Position + Digit <= Text.size()
                    ? Digits[Group >> (18 - 6 * Digit) & 0x3f]
                    : '=';
  }
  return Result;
}

} // namespace

double now() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

void Recorder::line(const std::string &Text) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  std::ostringstream Line;
  Line.setf(std::ios::fixed);
  Line.precision(3);
  Line << now() << " s  " << Text << "\n";
  this->File << Line.str() << std::flush;
  std::cout << Line.str() << std::flush;
}

std::string Message::header(const std::string &Name) const {
  auto Found = this->Headers.find(Name);
  return Found == this->Headers.end() ? std::string() : Found->second;
}

int Message::status() const {
  return this->StartLine.size() < 12 ? 0
                                     : std::atoi(this->StartLine.c_str() + 9);
}

Connection::~Connection() { ::close(this->Descriptor); }

void Connection::shutdown() { ::shutdown(this->Descriptor, SHUT_RDWR); }

std::unique_ptr<Connection> Connection::open(const std::string &Ip, int Port) {
  int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Opened = std::make_unique<Connection>(Descriptor);
  sockaddr_in Address = addressOf(Ip, Port);
  timeval Timeout{static_cast<time_t>(OpenSeconds), 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof(Timeout));
  if (::connect(Descriptor, generic(Address), sizeof(Address)) != 0)
    return nullptr;
  int One = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Opened;
}

bool Connection::send(const std::string &Bytes) {
  size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count = ::send(this->Descriptor, Bytes.data() + Sent,
                           Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<size_t>(Count);
  }
  return true;
}

bool Connection::fill(double Deadline) {
  pollfd Wait{this->Descriptor, POLLIN, 0};
  double Left = Deadline - now();
  if (Left <= 0 || ::poll(&Wait, 1, static_cast<int>(Left * 1000) + 1) <= 0)
    return false;
  std::string Bytes(ReadBytes, '\0');
  ssize_t Count = ::recv(this->Descriptor, Bytes.data(), Bytes.size(), 0);
  if (Count <= 0)
    return false;
  this->Buffer.append(Bytes, 0, static_cast<size_t>(Count));
  return true;
}

std::optional<Message> Connection::read(double TimeoutSeconds, bool IsHead) {
  double Deadline = now() + TimeoutSeconds;
  size_t End = this->Buffer.find("\r\n\r\n");
  while (End == std::string::npos) {
    if (!this->fill(Deadline))
      return std::nullopt;
    End = this->Buffer.find("\r\n\r\n");
  }
  Message Result;
  std::istringstream Head(this->Buffer.substr(0, End));
  std::getline(Head, Result.StartLine, '\r');
  std::string Line;
  while (std::getline(Head, Line, '\r')) {
    size_t Colon = Line.find(": ");
    if (Colon != std::string::npos)
      Result.Headers[lowered(Line.substr(1, Colon - 1))] =
          Line.substr(Colon + 2);
  }
  this->Buffer.erase(0, End + 4);
  size_t Length = IsHead ? 0
                         : std::strtoul(Result.header("content-length").c_str(),
                                        nullptr, 10);
  while (this->Buffer.size() < Length)
    if (!this->fill(Deadline))
      return Result;
  Result.Body = this->Buffer.substr(0, Length);
  this->Buffer.erase(0, Length);
  Result.IsComplete = true;
  return Result;
}

Server::Server(std::string Ip, std::function<void(Connection &)> Serve)
    : Ip(std::move(Ip)), Serve(std::move(Serve)) {
  this->Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = addressOf(this->Ip, 0);
  socklen_t Length = sizeof(Address);
  if (::bind(this->Descriptor, generic(Address), sizeof(Address)) != 0 ||
      ::listen(this->Descriptor, 256) != 0)
    std::exit(2);
  getsockname(this->Descriptor, reinterpret_cast<sockaddr *>(&Address),
              &Length);
  this->Port = ntohs(Address.sin_port);
  this->Acceptor = std::thread([this] { this->accept(); });
}

void Server::accept() {
  while (!this->Stops) {
    pollfd Wait{this->Descriptor, POLLIN, 0};
    if (::poll(&Wait, 1, 50) <= 0)
      continue;
    int Accepted = ::accept4(this->Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0)
      continue;
    int One = 1;
    setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    auto Caller = std::make_shared<Connection>(Accepted);
    std::lock_guard<std::mutex> Guard(this->Lock);
    this->Open.push_back(Caller);
    this->Threads.emplace_back([this, Caller] {
      this->Serve(*Caller);
      Caller->shutdown();
    });
  }
}

Server::~Server() {
  this->Stops = true;
  this->Acceptor.join();
  for (const auto &Caller : this->Open)
    Caller->shutdown();
  for (std::thread &Thread : this->Threads)
    Thread.join();
  ::close(this->Descriptor);
}

Store::Store(const std::string &Ip) {
  this->Listener = std::make_unique<Server>(
      Ip, [this](Connection &Caller) { this->serve(Caller); });
}

Store::~Store() {
  {
    std::lock_guard<std::mutex> Guard(this->Lock);
    this->Stops = true;
  }
  this->Changed.notify_all();
  this->Listener.reset();
}

void Store::put(const std::string &Topic, const std::string &Key,
                const std::optional<std::string> &Value) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->Topics[Topic].emplace_back(Key, Value);
  this->Changed.notify_all();
}

void Store::serve(Connection &Caller) {
  while (!this->Stops) {
    std::optional<Message> Request = Caller.read(300);
    if (!Request || !Request->IsComplete ||
        !Caller.send(this->answer(*Request)))
      return;
  }
}

std::string Store::answer(const Message &Request) {
  size_t Space = Request.StartLine.find(' ');
  std::string Target = Request.StartLine.substr(
      Space + 1, Request.StartLine.rfind(' ') - Space - 1);
  std::map<std::string, std::string> Query = queryOf(Target);
  std::string Path = Target.substr(0, Target.find('?'));
  if (Path == "/berylramp/log-read")
    return this->read(Query);
  if (Path == "/berylramp/log-newest")
    return this->newest(Query["topic"]);
  if (Path == "/berylramp/log-append")
    return this->append(Query, Request.Body);
  return httpAnswer(404, "text/plain", "");
}

std::string Store::read(const std::map<std::string, std::string> &Query) {
  auto NumberOf = [&](const char *Name) {
    auto Found = Query.find(Name);
    return Found == Query.end() ? 0L : std::atol(Found->second.c_str());
  };
  auto From = static_cast<size_t>(NumberOf("from"));
  std::unique_lock<std::mutex> Guard(this->Lock);
  std::vector<Record> &Records = this->Topics[Query.at("topic")];
  if (From > Records.size())
    return httpAnswer(410, "application/json", "{\"startOffset\":0}");
  this->Changed.wait_for(Guard, std::chrono::milliseconds(NumberOf("waitMs")),
                         [&] { return this->Stops || Records.size() > From; });
  std::string Body = bigEndian(Records.size(), 8) + bigEndian(0, 8);
  for (size_t Index = From; Index < Records.size(); ++Index) {
    const auto &[Key, Value] = Records[Index];
    std::string Encoded =
        bigEndian(Key.size(), 1) + Key + Value.value_or(std::string());
    Body += bigEndian(Encoded.size(), 4) + Encoded;
  }
  return httpAnswer(200, "application/octet-stream", Body);
}

std::string Store::newest(const std::string &Topic) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  const std::vector<Record> &Records = this->Topics[Topic];
  std::map<std::string, size_t> Latest;
  for (size_t Index = 0; Index < Records.size(); ++Index)
    Latest[Records[Index].first] = Index;
  std::ostringstream Body;
  Body << "{\"items\":[";
  const char *Comma = "";
  for (const auto &[Key, Index] : Latest) {
    if (!Records[Index].second)
      continue;
    Body << Comma << "{\"key\":\"" << Key << "\",\"data\":\""
         << base64(*Records[Index].second) << "\",\"offset\":" << Index << "}";
    Comma = ",";
  }
  Body << "],\"hasMore\":false,\"endOffset\":" << Records.size() << "}";
  return httpAnswer(200, "application/json", Body.str());
}

std::string Store::append(const std::map<std::string, std::string> &Query,
                          const std::string &Body) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  std::vector<Record> &Records = this->Topics[Query.at("topic")];
  auto At = Query.find("at");
  std::string End = std::to_string(Records.size());
  if (At != Query.end() && At->second != End)
    return httpAnswer(412, "application/json", "{\"endOffset\":" + End + "}");
  size_t Position = 0;
  while (Position + 4 < Body.size()) {
    size_t Length = 0;
    for (size_t Index = 0; Index < 4; ++Index)
      Length = Length << 8 | static_cast<unsigned char>(Body[Position + Index]);
    std::string Encoded = Body.substr(Position + 4, Length);
    Position += 4 + Length;
    auto KeyLength = static_cast<unsigned char>(Encoded[0]);
    std::string Value = Encoded.substr(1 + KeyLength);
    Records.emplace_back(Encoded.substr(1, KeyLength),
                         Value.empty() ? std::nullopt
                                       : std::make_optional(Value));
  }
  this->Changed.notify_all();
  return httpAnswer(200, "application/json",
                    "{\"offset\":" + End + ",\"endOffset\":" +
                        std::to_string(Records.size()) + "}");
}

void Runs::add(const Run &Added) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->Entries.push_back(Added);
}

std::vector<Run> Runs::all() {
  std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Entries;
}

size_t Runs::countOf(const std::string &AttemptId) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  return static_cast<size_t>(std::count_if(
      this->Entries.begin(), this->Entries.end(),
      [&](const Run &Entry) { return Entry.AttemptId == AttemptId; }));
}

Replica::Replica(Store &Registry, Runs &Executed, std::string Id,
                 std::string Service, std::string Zone, const std::string &Ip)
    : Registry(Registry), Executed(Executed), Id(std::move(Id)),
      Service(std::move(Service)), Zone(std::move(Zone)),
      Born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()) {
  this->Listener = std::make_unique<Server>(
      Ip, [this](Connection &Caller) { this->serve(Caller); });
  this->Writer = std::thread([this] { this->writeEntries(); });
}

Replica::~Replica() {
  this->Stops = true;
  this->Writer.join();
  this->Listener.reset();
}

void Replica::writeEntry() {
  std::lock_guard<std::mutex> Guard(this->EntryLock);
  if (this->IsRemoved)
    return;
  this->Sequence += 1;
  std::ostringstream Entry;
  Entry << "{\"service\":\"" << this->Service << "\",\"address\":\""
        << this->Listener->ip() << ":" << this->Listener->port()
        << "\",\"zone\":\"" << this->Zone
        << "\",\"version\":\"v1\",\"slots\":6,\"state\":\""
        << (this->IsDraining ? "draining" : "ready")
        << "\",\"coldRemainingMs\":0,\"sequence\":" << this->Sequence
        << ",\"born\":" << this->Born << "}";
  this->Registry.put("keyed.servers", this->Id, Entry.str());
}

void Replica::drain() {
  {
    std::lock_guard<std::mutex> Guard(this->EntryLock);
    this->IsDraining = true;
  }
  this->writeEntry();
}

void Replica::removeEntry() {
  std::lock_guard<std::mutex> Guard(this->EntryLock);
  this->IsRemoved = true;
  this->Registry.put("keyed.servers", this->Id, std::nullopt);
}

void Replica::writeEntries() {
  while (!this->Stops) {
    this->writeEntry();
    double Until = now() + HeartbeatSeconds;
    while (!this->Stops && now() < Until)
      sleepFor(0.05);
  }
}

void Replica::serve(Connection &Caller) {
  while (!this->Stops) {
    std::optional<Message> Request = Caller.read(60);
    if (!Request || !Request->IsComplete)
      return;
    std::string Attempt = Request->header("berylramp-attempt-id");
    std::ostringstream Head;
    std::string Body;
    if (Request->header("berylramp-expect-replica") != this->Id) {
      Head << "HTTP/1.1 421 Misdirected Request\r\nBerylramp-Replica-Id: "
           << this->Id << "\r\n";
    } else {
      this->Executed.add({Attempt, this->Id, Request->Body.size(), now()});
      Body = "answer to " + Attempt;
      Head << "HTTP/1.1 200 OK\r\nBerylramp-Attempt-Id: " << Attempt
           << "\r\nBerylramp-Replica-Signature: " << this->Id
           << "\r\nBerylramp-Replica-Load: 1,0,6\r\n";
    }
    Head << "Content-Length: " << Body.size() << "\r\n\r\n";
    if (this->HeadFirstSeconds >= 0 && !Body.empty()) {
      if (!Caller.send(Head.str()))
        return;
      sleepFor(this->HeadFirstSeconds);
      Head.str("");
    }
    if (!Caller.send(Head.str() + Body))
      return;
  }
}

Host::Host(int Number, std::string Ip, std::vector<int> Ports, std::string Zone,
           const Store &Platform, const std::string &SeedIp,
           const std::string &Folder)
    : Number(Number), Ip(std::move(Ip)), Ports(std::move(Ports)) {
  this->SettingsPath = Folder + "/edge-" + std::to_string(Number) + ".json";
  this->LogPath = Folder + "/edge-" + std::to_string(Number) + ".log";
  auto At = [&](size_t Index) {
    return "\"" + this->Ip + ":" + std::to_string(this->Ports[Index]) + "\"";
  };
  std::ofstream File(this->SettingsPath);
  File << "{\"nodeName\":\"edge-" << Number
       << "\",\"role\":\"edge\",\"machineClass\":\"edge\","
          "\"serves\":[\"edge\",\"registry\",\"control\"],\"ip\":\""
       << this->Ip << "\",\"zone\":\"" << Zone
       << "\",\"region\":\"region-1\",\"zones\":{\"" << Zone
       << "\":\"region-1\"},\"listen\":{\"frontend\":" << At(0)
       << ",\"ready\":" << At(1) << ",\"controlPlane\":" << At(2)
       << ",\"directory\":" << At(3) << "},\"portRange\":[" << this->Ports[4]
       << "," << this->Ports[4] << "],\"seeds\":[\"" << SeedIp << ":"
       << this->Ports[2]
       << "\"],\"bootstrap\":true,\"limits\":{\"cpuQuota\":0.25,\"cores\":1,"
          "\"memoryMb\":110,\"maxFds\":4100,\"linkMbps\":1000.0,"
          "\"diskMb\":0},\"dataDir\":null,\"heartbeatMs\":1200,"
          "\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,"
          "\"stableWindowMs\":4000,\"ackMs\":5000,\"catchUpS\":4,"
          "\"drainMs\":2500,\"graceS\":8,\"lossSlackMs\":200,"
          "\"configApplyMs\":2500,\"downgradeMs\":250,\"maxSkewMs\":6000,"
          "\"strictRevoke\":false,\"revokeMs\":5000,\"retryRatio\":0.9,"
          "\"retryWindowS\":10,\"retrySlack\":54,\"canaryShare\":0.15,"
          "\"canarySlack\":30,\"rollbackMs\":5000,\"recoveryS\":12,"
          "\"maxDelayMs\":250,\"reuseWindowS\":8.8,\"sessionS\":5,"
          "\"ttl_max_s\":5},\"platform\":{\"address\":\""
       << Platform.ip() << ":" << Platform.port()
       << "\",\"form\":\"log\",\"writesPerS\":400,\"readsPerS\":2000}}";
}

Host::~Host() {
  if (this->Pid <= 0)
    return;
  this->kill();
}

bool Host::start() {
  this->Pid = ::fork();
  if (this->Pid != 0)
    return this->Pid > 0;
  int Log = ::open(this->LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Log, STDOUT_FILENO);
  ::dup2(Log, STDERR_FILENO);
  std::string Settings = "BERYLRAMP_NODE_FILE=" + this->SettingsPath;
  std::string Path = "PATH=/usr/bin:/bin";
  char *Environment[] = {Settings.data(), Path.data(), nullptr};
  std::string Program = "target/bin/berylramp-edged";
  char *Arguments[] = {Program.data(), nullptr};
  ::execve(Program.c_str(), Arguments, Environment);
  ::_exit(127);
}

void Host::kill() {
  ::kill(this->Pid, SIGKILL);
  ::waitpid(this->Pid, nullptr, 0);
  this->Pid = -1;
}

bool Host::isRunning() {
  return this->Pid > 0 && ::waitpid(this->Pid, nullptr, WNOHANG) == 0;
}

bool Host::waitUntilReady(double TimeoutSeconds) const {
  double Deadline = now() + TimeoutSeconds;
  while (now() < Deadline) {
    std::unique_ptr<Connection> Opened =
        Connection::open(this->Ip, this->Ports[1]);
    if (Opened && Opened->send("GET /berylramp/readyz HTTP/1.1\r\nHost: " +
                               this->Ip + "\r\n\r\n")) {
      std::optional<Message> Answer = Opened->read(1);
      if (Answer && Answer->status() == 200)
        return true;
    }
    sleepFor(0.1);
  }
  return false;
}

std::vector<int> freePorts(const std::vector<std::string> &Ips, int Count) {
  std::random_device Random;
  std::vector<int> Found;
  while (static_cast<int>(Found.size()) < Count) {
    // Below the range from which the kernel assigns ports.
    int Port = 20000 + static_cast<int>(Random() % 12000);
    bool IsFree = std::find(Found.begin(), Found.end(), Port) == Found.end();
    for (const std::string &Ip : Ips)
      for (int Kind : {SOCK_STREAM, SOCK_DGRAM}) {
        int Descriptor = ::socket(AF_INET, Kind | SOCK_CLOEXEC, 0);
        sockaddr_in Address = addressOf(Ip, Port);
        IsFree = IsFree &&
                 ::bind(Descriptor, generic(Address), sizeof(Address)) == 0;
        ::close(Descriptor);
      }
    if (IsFree)
      Found.push_back(Port);
  }
  return Found;
}

std::string configuration(int64_t Version, const Limits &Bounds) {
  std::ostringstream Text;
  auto AddRoute = [&](const char *Name, const char *Prefix, const char *Kind,
                      int Attempts) {
    Text << "{\"name\":\"" << Name
         << "\",\"host\":\"orders.example\",\"pathPrefix\":\"" << Prefix
         << "\",\"routeKind\":\"" << Kind
         << "\",\"timeoutMs\":10000,\"sloMs\":300,\"priority\":1,"
            "\"service\":\"app\",\"maxAttempts\":"
         << Attempts
         << ",\"anonymous\":false,\"sticky\":false,\"resumable\":false}";
  };
  Text << "{\"version\":" << Version << ",\"routes\":[";
  AddRoute("r-order", "/order/", "unsafe", 2);
  Text << ",";
  AddRoute("r-lookup", "/lookup/", "safe", 2);
  Text << "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/healthz\","
          "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
          "\"limits\":{\"maxHeaderBytes\":"
       << Bounds.HeaderBytes << ",\"maxBodyBytes\":" << Bounds.BodyBytes
       << ",\"headerTimeoutMs\":" << Bounds.HeaderTimeoutMs
       << ",\"idleTimeoutMs\":" << Bounds.IdleTimeoutMs
       << "},\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" << TenantKey
       << "\"],\"priority\":1}]}";
  return Text.str();
}

std::string orderRequest(const std::string &AttemptId, size_t BodyBytes,
                         int64_t DeadlineMs) {
  std::ostringstream Text;
  Text << "POST /order/" << AttemptId
       << " HTTP/1.1\r\nHost: orders.example\r\nBerylramp-Attempt-Id: "
       << AttemptId << "\r\nBerylramp-Deadline-Ms: " << DeadlineMs
       << "\r\nAuthorization: Token " << TenantKey
       << "\r\nContent-Length: " << BodyBytes << "\r\n\r\n"
       << std::string(BodyBytes, 'x');
  return Text.str();
}

std::string lookupRequest(const std::string &AttemptId, int64_t DeadlineMs) {
  std::ostringstream Text;
  Text << "GET /lookup/" << AttemptId
       << " HTTP/1.1\r\nHost: orders.example\r\nBerylramp-Attempt-Id: "
       << AttemptId << "\r\nBerylramp-Deadline-Ms: " << DeadlineMs
       << "\r\nAuthorization: Token " << TenantKey << "\r\n\r\n";
  return Text.str();
}

} // namespace review
