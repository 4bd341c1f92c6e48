//===- client_pool.cpp - Pooled HTTP clients over cpp-httplib -------------===//
//
// A cpp-httplib client serves one call at a time, so the pool lends one to
// each call and takes it back when the call ended well.
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
constexpr size_t MaxIdleForEndpoint = 128;
constexpr size_t MaxPendingEventBytes = 1 << 20;
constexpr int StatusOk = 200;

using ClientHandle = std::unique_ptr<httplib::Client>;

void setTimeouts(httplib::Client &Client, const HttpCall &Which) {
  Client.set_connection_timeout(
      absl::ToChronoMicroseconds(Which.ConnectTimeout));
  Client.set_read_timeout(absl::ToChronoMicroseconds(Which.ReadTimeout));
  Client.set_write_timeout(absl::ToChronoMicroseconds(Which.ReadTimeout));
}

httplib::Request requestOf(const HttpCall &Which) {
  httplib::Request Out;
  Out.method = Which.Method;
  Out.path = Which.Path;
  Out.body = Which.Body;
  for (const HeaderLine &Line : Which.Headers)
    Out.set_header(Line.Name, Line.Value);
  if (!Which.Body.empty() && !Out.has_header("Content-Type"))
    Out.set_header("Content-Type", "application/json");
  return Out;
}

HttpFault faultOf(httplib::Error Error) {
  switch (Error) {
  case httplib::Error::Success:
    return HttpFault::None;
  case httplib::Error::Connection:
  case httplib::Error::BindIPAddress:
    return HttpFault::ConnectFailed;
  case httplib::Error::Canceled:
    return HttpFault::StoppedByReceiver;
  default:
    return HttpFault::Broken;
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

  Shard &shardOf(const Endpoint &To) {
    return this->Shards[(stableHash(To.text())) % ShardCount];
  }

  ClientHandle take(const Endpoint &To, bool Fresh) {
    if (!Fresh) {
      Shard &Home = this->shardOf(To);
      MutexLock Hold(&Home.Lock);
      auto &Idle = Home.Idle[To];
      if (!Idle.empty()) {
        ClientHandle Taken = std::move(Idle.back());
        Idle.pop_back();
        return Taken;
      }
    }
    auto Made = std::make_unique<httplib::Client>(To.Ip, To.Port);
    Made->set_keep_alive(true);
    Made->set_tcp_nodelay(true);
    return Made;
  }

  void giveBack(const Endpoint &To, ClientHandle Client) {
    Shard &Home = this->shardOf(To);
    MutexLock Hold(&Home.Lock);
    auto &Idle = Home.Idle[To];
    if (Idle.size() < MaxIdleForEndpoint)
      Idle.push_back(std::move(Client));
  }

  HttpOutcome run(const Endpoint &To, const HttpCall &Which,
                  const httplib::Request &Request) {
    ClientHandle Client = this->take(To, Which.FreshConnection);
    setTimeouts(*Client, Which);
    httplib::Result Result = Client->send(Request);
    HttpOutcome Out;
    Out.Fault = faultOf(Result.error());
    if (!Result) {
      Out.Detail = httplib::to_string(Result.error());
      return Out;
    }
    Out.Status = Result->status;
    Out.Body = std::move(Result->body);
    for (const auto &[Name, Value] : Result->headers)
      Out.Headers.push_back(HeaderLine{Name, Value});
    this->giveBack(To, std::move(Client));
    return Out;
  }
};

HttpClientPool::HttpClientPool() : Inner(std::make_unique<Impl>()) {}
HttpClientPool::~HttpClientPool() = default;

HttpOutcome HttpClientPool::call(const Endpoint &To, const HttpCall &Which) {
  return this->Inner->run(To, Which, requestOf(Which));
}

HttpOutcome HttpClientPool::stream(const Endpoint &To, const HttpCall &Which,
                                   const TextSink &OnBytes) {
  httplib::Request Request = requestOf(Which);
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
  HttpOutcome Out = this->Inner->run(To, Which, Request);
  if (Out.Status == 0)
    Out.Status = Status;
  if (Out.Body.empty())
    Out.Body = std::move(ErrorBody);
  return Out;
}

void HttpClientPool::forget(const Endpoint &To) {
  Impl::Shard &Home = this->Inner->shardOf(To);
  MutexLock Hold(&Home.Lock);
  Home.Idle.erase(To);
}

bool EventSplitter::feed(const std::string &Bytes, const TextSink &OnData) {
  this->Pending += Bytes;
  size_t Start = 0;
  while (true) {
    size_t End = this->Pending.find("\n\n", Start);
    if (End == std::string::npos)
      break;
    absl::string_view Event(this->Pending.data() + Start, End - Start);
    Start = End + 2;
    // An event may name its type on a line before its data.
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
