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
constexpr absl::Duration CallTime = absl::Seconds(6);
constexpr int ShortEvents = 5;
constexpr absl::Duration AskDirectoryEvery = absl::Milliseconds(300);

tcp::endpoint endpointOf(const Endpoint &To) {
  return {boost::asio::ip::make_address_v4(To.Ip),
          static_cast<uint16_t>(To.Port)};
}

} // namespace

bool isWhole(const std::string &Text) {
  size_t End = Text.find("\r\n\r\n");
  if (End == std::string::npos)
    return false;
  if (absl::StrContains(Text, "Transfer-Encoding: chunked"))
    return absl::EndsWith(Text, "\r\n0\r\n\r\n");
  size_t At = Text.find("Content-Length: ");
  return At != std::string::npos &&
         Text.size() >= End + 4 + std::stoul(Text.substr(At + 16));
}

struct Callers::Caller {
  explicit Caller(boost::asio::io_context &Loop) : Socket(Loop) {}
  tcp::socket Socket;
  std::string HostIp;
  std::string Received;
  std::string Buffer = std::string(4096, '\0');
  /// Calls on this connection so far.
  int Used = 0;
  /// The row under way; the callbacks of earlier ones do nothing.
  size_t Row = 0;
  bool Busy = false;

  void close() {
    ErrorCode Ignored;
    this->Socket.close(Ignored);
    this->Used = 0;
  }
};

void Callers::start() {
  for (int Index = 0; Index < CallerCount; ++Index)
    this->next(std::make_shared<Caller>(this->Around.Loop));
  this->Around.Timer.schedulePeriodic(AskDirectoryEvery,
                                      [this] { this->askDirectory(); });
}

void Callers::startPlannedTime() {
  this->Planned = true;
  for (const Host &Each : this->Around.Hosts)
    this->Listed.push_back(Each.Ip);
}

std::string Callers::hostFor() {
  if (!this->Planned || this->Listed.empty())
    return this->Around.anyHost().Ip;
  int Count = static_cast<int>(this->Listed.size());
  return this->Listed[static_cast<size_t>(this->Around.draw(Count))];
}

void Callers::askDirectory() {
  if (!this->Planned)
    return;
  const Host &From = this->Around.anyHost();
  auto Asker = std::make_shared<HttpClient>(
      this->Around.Loop, this->Around.Timer, this->Around.directory(From));
  OutgoingCall Call;
  Call.Target = "/berylramp/resolve?name=a&region=region-zone-a&zone=zone-a";
  Call.Timeout = absl::Milliseconds(500);
  Asker->call(std::move(Call),
              [this, Asker](const absl::StatusOr<CallAnswer> &Answer) {
                if (!Answer.ok() || Answer->Status != 200)
                  return;
                this->Listed.clear();
                for (const Host &Each : this->Around.Hosts)
                  if (absl::StrContains(Answer->Body, Each.Ip + ":"))
                    this->Listed.push_back(Each.Ip);
              });
}

std::string Callers::requestFor(const Asked &Row) const {
  return absl::StrCat(
      "POST /", Row.Kind, Row.Events > ShortEvents ? "/long" : "/x",
      " HTTP/1.1\r\nHost: api.test\r\nBerylramp-Attempt-Id: ", Row.Id,
      "\r\nBerylramp-Deadline-Ms: 5000\r\nBerylramp-Model: *\r\n",
      "Authorization: Token key-1\r\nContent-Length: 4\r\n\r\nbody");
}

void Callers::next(const std::shared_ptr<Caller> &Who) {
  if (!this->Calling)
    return;
  Asked Row;
  Row.Id = absl::StrCat("q", this->Rows.size() + 1);
  static const std::vector<std::string> Kinds = {"once", "safe", "stream"};
  Row.Kind = Kinds[static_cast<size_t>(this->Around.draw(3))];
  Row.Events = ShortEvents;
  Row.InPlannedTime = this->Planned;
  bool Long = Row.Kind == "stream" && this->Around.draw(6) == 0;
  if (Long)
    Row.Events = standin::LongStreamEventCount;
  Row.Left = Long && this->Around.draw(2) == 0;
  Row.SentAt = this->Around.Timer.now();
  Who->Row = this->Rows.size();
  this->Rows.push_back(Row);
  Who->Received.clear();
  Who->Busy = true;
  std::string To = this->hostFor();
  bool Kept = this->Planned && Who->Socket.is_open() && Who->HostIp == To;
  size_t Number = Who->Row;
  absl::Duration Most =
      Row.Left ? absl::Milliseconds(300 + this->Around.draw(500)) : CallTime;
  this->Around.Timer.after(Most, [this, Who, Number] {
    if (Who->Row == Number && Who->Busy) {
      Who->close();
      this->finish(Who, Number);
    }
  });
  if (Kept) {
    this->send(Who);
    return;
  }
  Who->close();
  Who->HostIp = To;
  Who->Socket.async_connect(
      endpointOf({To, this->Around.callers(this->Around.Hosts[0]).Port}),
      [this, Who, Number](const ErrorCode &Error) {
        if (Who->Row != Number || !Who->Busy)
          return;
        if (Error)
          this->finish(Who, Number);
        else
          this->send(Who);
      });
}

void Callers::send(const std::shared_ptr<Caller> &Who) {
  ErrorCode Error;
  Who->Used += 1;
  boost::asio::write(
      Who->Socket, boost::asio::buffer(this->requestFor(this->Rows[Who->Row])),
      Error);
  this->Rows[Who->Row].SentAt = this->Around.Timer.now();
  this->read(Who, Who->Row);
}

void Callers::read(const std::shared_ptr<Caller> &Who, size_t Row) {
  Who->Socket.async_read_some(
      boost::asio::buffer(Who->Buffer),
      [this, Who, Row](const ErrorCode &Error, size_t Count) {
        if (Who->Row != Row || !Who->Busy)
          return;
        Who->Received.append(Who->Buffer.data(), Count);
        if (Error)
          Who->close();
        if (Error || isWhole(Who->Received))
          this->finish(Who, Row);
        else
          this->read(Who, Row);
      });
}

void Callers::finish(const std::shared_ptr<Caller> &Who, size_t Row) {
  Who->Busy = false;
  this->Rows[Row].EndedAt = this->Around.Timer.now();
  this->judge(Who->Received, this->Rows[Row]);
  if (absl::StrContains(Who->Received, "Connection: close") || !this->Planned)
    Who->close();
  this->Around.Timer.after(absl::Milliseconds(5 + this->Around.draw(60)),
                           [this, Who] { this->next(Who); });
}

void Callers::judge(const std::string &Text, Asked &Row) {
  Row.Whole = isWhole(Text);
  Row.Status = Text.size() < 12 ? 0 : std::stoi(Text.substr(9, 3));
  bool Success = Row.Whole && Row.Status == 200;
  this->Good += Success ? 1 : 0;
  this->Refused += Row.Status == 503 ? 1 : 0;
  this->Other += !Success && Row.Status != 503 && !Row.Left ? 1 : 0;
  if (Row.Status == 401 || Row.Status == 403 || Row.Status == 404)
    this->Around.broken(absl::StrCat(Row.Id, " was denied: ", Row.Status));
  if (!Success)
    return;
  if (!absl::StrContains(Text, "Berylramp-Replica-Signature"))
    this->Around.broken(absl::StrCat(Row.Id, ": a success without signature"));
  if (Row.Kind != "stream") {
    if (!absl::EndsWith(Text, "\r\n\r\n" + standin::Replica::bodyFor(Row.Id)))
      this->Around.broken(absl::StrCat(Row.Id, ": not the replica's body"));
    return;
  }
  size_t At = 0;
  for (int Event = 1; Event <= Row.Events; ++Event) {
    std::string Want =
        absl::StrCat("id: ", Event, "\ndata: ", Event, " of ", Row.Id, "\n");
    size_t Found = Text.find(Want, At);
    if (Found == std::string::npos ||
        Text.find(Want, Found + 1) != std::string::npos) {
      this->Around.broken(absl::StrCat(Row.Id, ": event ", Event,
                                       " is missing, double or out of order"));
      return;
    }
    At = Found;
  }
}

int Callers::statusNow(const Host &Which, const std::string &Key) {
  tcp::socket Socket(this->Around.Loop);
  ErrorCode Error;
  Socket.connect(endpointOf(this->Around.callers(Which)), Error);
  if (Error)
    return 0;
  this->Probes += 1;
  std::string Bytes = absl::StrCat(
      "POST /safe/x HTTP/1.1\r\nHost: api.test\r\nBerylramp-Attempt-Id: p",
      this->Probes, "\r\nAuthorization: Token ", Key,
      "\r\nContent-Length: 0\r\n\r\n");
  boost::asio::write(Socket, boost::asio::buffer(Bytes), Error);
  std::string Text;
  std::string Buffer(4096, '\0');
  bool Over = false;
  std::function<void()> Read = [&] {
    Socket.async_read_some(boost::asio::buffer(Buffer),
                           [&](const ErrorCode &Failed, size_t Count) {
                             Text.append(Buffer.data(), Count);
                             Over = Failed || isWhole(Text);
                             if (!Over)
                               Read();
                           });
  };
  Read();
  Instant End = this->Around.Timer.now() + absl::Seconds(2);
  while (!Over && this->Around.Timer.now() < End)
    this->Around.Loop.run_for(std::chrono::milliseconds(2));
  Socket.close(Error);
  this->Around.Loop.run_for(std::chrono::milliseconds(2));
  return isWhole(Text) ? std::stoi(Text.substr(9, 3)) : 0;
}

} // namespace berylramp::soak
