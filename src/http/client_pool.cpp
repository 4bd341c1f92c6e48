//===- client_pool.cpp - Pool of cpp-httplib clients ----------------------===//
//
// A cpp-httplib client handles one call at a time, so each call acquires a
// client of its own. Only a call that receives a response returns its client to
// the pool, because a failed call leaves its connection in an unknown state.
//
//===----------------------------------------------------------------------===//

#include "berylramp/http.h"

#include "absl/strings/match.h"
#include "absl/strings/strip.h"
#include "berylramp/sync.h"
#include <array>
#include <httplib.h>
#include <map>

namespace berylramp {

namespace {

constexpr size_t ShardCount = 16;
constexpr size_t MaxIdleConnectionsPerEndpoint = 128;
constexpr size_t MaxPendingEventBytes = 1 << 20;
constexpr int StatusOk = 200;

using ClientHandle = std::unique_ptr<httplib::Client>;

void setTimeouts(httplib::Client &Client, const HttpCall &Call) {
  Client.set_connection_timeout(
      absl::ToChronoMicroseconds(Call.ConnectTimeout));
  Client.set_read_timeout(absl::ToChronoMicroseconds(Call.ReadTimeout));
  Client.set_write_timeout(absl::ToChronoMicroseconds(Call.ReadTimeout));
}

httplib::Request makeRequest(const HttpCall &Call) {
  httplib::Request Request;
  Request.method = Call.Method;
  Request.path = Call.Path;
  Request.body = Call.Body;
  for (const HeaderLine &Line : Call.Headers)
    Request.set_header(Line.Name, Line.Value);
  if (!Call.Body.empty() && !Request.has_header("Content-Type"))
    Request.set_header("Content-Type", "application/json");
  return Request;
}

HttpFault toHttpFault(httplib::Error Error) {
  switch (Error) {
  case httplib::Error::Success:
    return HttpFault::None;
  case httplib::Error::Connection:
  case httplib::Error::BindIPAddress:
    return HttpFault::ConnectFailed;
  case httplib::Error::Canceled:
    return HttpFault::CancelledByReceiver;
  default:
    return HttpFault::Interrupted;
  }
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
    std::map<Endpoint, std::vector<ClientHandle>> Idle;
  };
  std::array<Shard, ShardCount> Shards;

  Shard &shardFor(const Endpoint &Target) {
    return this->Shards[(stableHash(Target.text())) % ShardCount];
  }

  ClientHandle acquire(const Endpoint &Target, bool ForceNew) {
    if (!ForceNew) {
      Shard &Owner = this->shardFor(Target);
      MutexLock Guard(&Owner.Lock);
      auto &Idle = Owner.Idle[Target];
      if (!Idle.empty()) {
        ClientHandle Reused = std::move(Idle.back());
        Idle.pop_back();
        return Reused;
      }
    }
    auto Created = std::make_unique<httplib::Client>(Target.Ip, Target.Port);
    Created->set_keep_alive(true);
    Created->set_tcp_nodelay(true);
    return Created;
  }

  void release(const Endpoint &Target, ClientHandle Client) {
    Shard &Owner = this->shardFor(Target);
    MutexLock Guard(&Owner.Lock);
    auto &Idle = Owner.Idle[Target];
    if (Idle.size() < MaxIdleConnectionsPerEndpoint)
      Idle.push_back(std::move(Client));
  }

  HttpOutcome run(const Endpoint &Target, const HttpCall &Call,
                  const httplib::Request &Request) {
    ClientHandle Client = this->acquire(Target, Call.FreshConnection);
    setTimeouts(*Client, Call);
    httplib::Result Result = Client->send(Request);
    HttpOutcome Outcome;
    Outcome.Fault = toHttpFault(Result.error());
    if (!Result) {
      Outcome.Detail = httplib::to_string(Result.error());
      return Outcome;
    }
    Outcome.Status = Result->status;
    Outcome.Body = std::move(Result->body);
    for (const auto &[Name, Value] : Result->headers)
      Outcome.Headers.push_back(HeaderLine{Name, Value});
    this->release(Target, std::move(Client));
    return Outcome;
  }
};

HttpClientPool::HttpClientPool() : State(std::make_unique<Impl>()) {}
HttpClientPool::~HttpClientPool() = default;

HttpOutcome HttpClientPool::call(const Endpoint &Target, const HttpCall &Call) {
  return this->State->run(Target, Call, makeRequest(Call));
}

HttpOutcome HttpClientPool::stream(const Endpoint &Target, const HttpCall &Call,
                                   const TextSink &OnBytes) {
  httplib::Request Request = makeRequest(Call);
  int Status = 0;
  std::string ErrorBody;
  Request.response_handler = [&Status](const httplib::Response &Response) {
    Status = Response.status;
    return true;
  };
  Request.content_receiver = [&](const char *Data, size_t Length, uint64_t,
                                 uint64_t) {
    if (Status == StatusOk)
      return OnBytes(std::string(Data, Length));
    ErrorBody.append(Data, Length);
    return ErrorBody.size() <= MaxPendingEventBytes;
  };
  HttpOutcome Outcome = this->State->run(Target, Call, Request);
  if (Outcome.Status == 0)
    Outcome.Status = Status;
  if (Outcome.Body.empty())
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
