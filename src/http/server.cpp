//===- server.cpp - HTTP server with blocking handlers --------------------===//
//
// One loop receives requests and sends replies, so that connections and
// incomplete requests take no thread; a handler runs on a thread of its own.
// Replies are posted to the loop, which owns the connections.
//
//===----------------------------------------------------------------------===//

#include "berylramp/http.h"
#include "elastic_task_queue.h"
#include "held_memory.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "berylramp/json.h"
#include "berylramp/sync.h"
#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <thread>

namespace berylramp {

namespace {

/// Memory of a request in progress besides its bytes: a thread's stack and
/// what the handler keeps.
constexpr int64_t RequestBytes = 72LL << 10;
/// Bytes of a stream that a handler may be ahead of the loop.
constexpr size_t MaxPostedBytes = 64U << 10;
/// Time in which the last replies are sent when the server stops.
constexpr absl::Duration FlushTimeout = absl::Seconds(2);
constexpr absl::Duration FlushPollInterval = absl::Milliseconds(5);
/// Time after which a caller that was refused for want of memory finds room.
constexpr const char *RetryAfterFull = "1";

struct Entry {
  std::string Method;
  std::string Path;
  HttpHandler Handler;

  bool matches(const HttpRequest &Request) const {
    bool SameMethod = this->Method == Request.Method ||
                      (this->Method == "GET" && Request.Method == "HEAD");
    if (!SameMethod)
      return false;
    if (absl::EndsWith(this->Path, "/"))
      return absl::StartsWith(Request.Path, this->Path);
    return this->Path == Request.Path;
  }
};

/// Decodes "%XX", and '+' as a space in queries.
std::string decodeUrl(absl::string_view Text, bool IsQuery) {
  std::string Result;
  for (size_t Index = 0; Index < Text.size(); ++Index) {
    int Code = 0;
    if (Text[Index] == '%' && Index + 2 < Text.size() &&
        absl::SimpleHexAtoi(Text.substr(Index + 1, 2), &Code)) {
      Result += static_cast<char>(Code);
      Index += 2;
    } else {
      Result += IsQuery && Text[Index] == '+' ? ' ' : Text[Index];
    }
  }
  return Result;
}

HttpRequest toHttpRequest(CallerRequest Request) {
  absl::string_view Target = Request.Target;
  size_t Mark = Target.find('?');
  HttpRequest Result;
  Result.Path = decodeUrl(Target.substr(0, Mark), /*IsQuery=*/false);
  if (Mark != absl::string_view::npos)
    Result.Query = std::string(Target.substr(Mark + 1));
  Result.Method = std::move(Request.Method);
  Result.Body = std::move(Request.Body);
  Result.Headers = std::move(Request.Headers);
  return Result;
}

/// A connection that the reply asks to close closes after it.
bool takeClose(HttpHead &Head) {
  size_t Before = Head.Headers.size();
  Head.Headers.erase(
      std::remove_if(Head.Headers.begin(), Head.Headers.end(),
                     [](const HeaderField &Field) {
                       return absl::EqualsIgnoreCase(Field.first,
                                                     "Connection") &&
                              absl::EqualsIgnoreCase(Field.second, "close");
                     }),
      Head.Headers.end());
  return Head.Headers.size() < Before;
}

HttpHead headOf(const HttpReply &Reply) {
  HttpHead Head;
  Head.Status = Reply.Status;
  Head.Headers.emplace_back("Content-Type", Reply.ContentType);
  for (const HeaderLine &Line : Reply.Headers)
    Head.Headers.emplace_back(Line.Name, Line.Value);
  return Head;
}

/// What a handler that streams and the loop share.
struct StreamState {
  Mutex Lock;
  size_t PostedBytes = 0;
  bool CallerLeft = false;
};

} // namespace

std::string HttpRequest::header(const char *Name) const {
  return std::string(findHeader(this->Headers, Name).value_or(""));
}

std::string HttpRequest::param(const char *Name) const {
  for (absl::string_view Part : absl::StrSplit(this->Query, '&')) {
    std::pair<absl::string_view, absl::string_view> Pair =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    if (decodeUrl(Pair.first, /*IsQuery=*/true) == Name)
      return decodeUrl(Pair.second, /*IsQuery=*/true);
  }
  return "";
}

struct HttpServer::Impl {
  explicit Impl(const HttpServerLimits &Limits)
      : Bounds(makeServingBounds(Loop, Timer, Counters,
                                 memoryBounds(Limits.MemoryBytes),
                                 Limits.MaxConnections)),
        Listener(
            Loop, Timer,
            [Limits] {
              CallerLimits Result;
              Result.BodyBytes = static_cast<int64_t>(Limits.MaxBodyBytes);
              Result.IdleTimeout = Limits.KeepAliveTimeout;
              return Result;
            },
            [this](CallerRequest Request, const ResponderPtr &Responder) {
              this->handle(std::move(Request), Responder);
            },
            Bounds),
        Workers(Limits.MaxConnections) {
    this->Listener.setRefusalBody([this](HttpHead &Head, std::string &Body) {
      this->addRefusalBody(Head, Body);
    });
  }

  void addRefusalBody(HttpHead &Head, std::string &Body) const {
    if (this->RefusalBody)
      Body = this->RefusalBody(Head.Status);
    Head.Headers.emplace_back("Content-Type", "application/json");
  }

  void refuseFull(const ResponderPtr &Responder) const {
    HttpHead Head;
    Head.Status = 503;
    Head.Headers.emplace_back("Retry-After", RetryAfterFull);
    std::string Body;
    this->addRefusalBody(Head, Body);
    Responder->sendWhole(Head, Body, /*CloseAfter=*/true);
  }

  void handle(CallerRequest Incoming, const ResponderPtr &Responder) {
    if (Incoming.BodyRefused ||
        !this->Bounds.Memory->account().admits(RequestBytes)) {
      this->refuseFull(Responder);
      return;
    }
    auto Request =
        std::make_shared<HttpRequest>(toHttpRequest(std::move(Incoming)));
    for (const Entry &Candidate : this->Entries)
      if (Candidate.matches(*Request)) {
        this->startHandler(Candidate.Handler, std::move(Request), Responder);
        return;
      }
    HttpHead Head;
    Head.Status = 404;
    Head.Headers.emplace_back("Content-Type", "application/json");
    Responder->sendWhole(Head, R"({"error":{"type":"no_such_path"}})", false);
  }

  void startHandler(const HttpHandler &Handler,
                    std::shared_ptr<HttpRequest> Request,
                    const ResponderPtr &Responder) {
    auto Held =
        std::make_shared<HeldBytes>(this->Bounds.Memory, HeldKind::CallerInput);
    Held->set(RequestBytes);
    auto Stream = std::make_shared<StreamState>();
    Responder->onCallerDisconnect([Stream] {
      MutexLock Guard(&Stream->Lock);
      Stream->CallerLeft = true;
    });
    {
      MutexLock Guard(&this->Lock);
      this->ActiveHandlers += 1;
    }
    this->Workers.enqueue([this, Handler, Request = std::move(Request),
                           Responder = ResponderPtr(Responder), Stream,
                           Held]() mutable {
      HttpReply Reply = runHandler(Handler, *Request);
      Request.reset();
      if (Reply.Stream)
        this->sendStream(Reply, Responder, Stream);
      // The connection and its account belong to the loop.
      boost::asio::post(this->Loop, [this, Reply = std::move(Reply),
                                     Responder = std::move(Responder),
                                     Held = std::move(Held)]() mutable {
        if (!Reply.Stream) {
          HttpHead Head = headOf(Reply);
          bool Close = takeClose(Head);
          Responder->sendWhole(Head, Reply.Body, Close);
        }
        MutexLock Guard(&this->Lock);
        this->ActiveHandlers -= 1;
      });
    });
  }

  static HttpReply runHandler(const HttpHandler &Handler,
                              const HttpRequest &Request) {
    HttpReply Reply;
    try {
      Handler(Request, Reply);
    } catch (const std::exception &Error) {
      Json::Value Line(Json::objectValue);
      Line["path"] = Request.Path;
      Line["error"] = Error.what();
      logEvent(LogLevel::Error, "handler_failed", Line);
      Reply = HttpReply();
      Reply.Status = 500;
      Reply.Body = R"({"error":{"type":"internal","ran":"unknown"}})";
    }
    return Reply;
  }

  /// Runs on the handler's thread.
  void sendStream(const HttpReply &Reply, const ResponderPtr &Responder,
                  const std::shared_ptr<StreamState> &Stream) {
    boost::asio::post(this->Loop, [Head = headOf(Reply), Responder] {
      Responder->beginStream(Head);
    });
    bool IsComplete = Reply.Stream([&](const std::string &Bytes) {
      {
        MutexLock Guard(&Stream->Lock);
        Stream->Lock.await([&] {
          return Stream->CallerLeft || Stream->PostedBytes < MaxPostedBytes;
        });
        if (Stream->CallerLeft)
          return false;
        Stream->PostedBytes += Bytes.size();
      }
      boost::asio::post(this->Loop, [Responder, Stream, Bytes] {
        Responder->sendChunk(Bytes);
        MutexLock Guard(&Stream->Lock);
        Stream->PostedBytes -= Bytes.size();
      });
      return true;
    });
    boost::asio::post(this->Loop, [Responder, IsComplete] {
      if (IsComplete)
        Responder->endStream();
      else
        Responder->cutStream();
    });
  }

  void closeWhenFlushed(Instant Deadline) {
    bool IsFlushed = this->Listener.busyConnections() == 0;
    if (!IsFlushed && this->Timer.now() < Deadline) {
      this->Timer.after(FlushPollInterval,
                        [this, Deadline] { this->closeWhenFlushed(Deadline); });
      return;
    }
    this->Listener.close();
    this->Loop.stop();
  }

  boost::asio::io_context Loop{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      KeepsRunning{Loop.get_executor()};
  LoopTimer Timer{Loop};
  Metrics Counters;
  ServingBounds Bounds;
  HttpListener Listener;
  internal::ElasticTaskQueue Workers;
  std::vector<Entry> Entries;
  std::function<std::string(int)> RefusalBody;
  Mutex Lock;
  int ActiveHandlers = 0;
  std::thread Thread;
};

HttpServer::HttpServer(HttpServerLimits Limits)
    : State(std::make_unique<Impl>(Limits)) {}

HttpServer::~HttpServer() { this->stop(); }

void HttpServer::setRefusalBody(std::function<std::string(int)> MakeBody) {
  this->State->RefusalBody = std::move(MakeBody);
}

void HttpServer::route(std::string Method, std::string Path,
                       HttpHandler Handler) {
  this->State->Entries.push_back(
      Entry{std::move(Method), std::move(Path), std::move(Handler)});
}

absl::StatusOr<Endpoint> HttpServer::bind(const Endpoint &Listen) {
  absl::Status Opened = this->State->Listener.listen(Listen);
  if (!Opened.ok())
    return absl::UnavailableError(absl::StrCat(
        "cannot listen on ", Listen.text(), " (", Opened.message(),
        "); choose another address or stop the process that uses it"));
  return Endpoint{Listen.Ip, this->State->Listener.port()};
}

void HttpServer::serve() {
  Impl &Self = *this->State;
  Self.Thread = std::thread([&Self] { runLoop(Self.Loop); });
}

absl::StatusOr<Endpoint> HttpServer::start(const Endpoint &Listen) {
  absl::StatusOr<Endpoint> Bound = this->bind(Listen);
  if (Bound.ok())
    this->serve();
  return Bound;
}

void HttpServer::stop() {
  Impl &Self = *this->State;
  if (!Self.Thread.joinable())
    return;
  boost::asio::post(Self.Loop, [&Self] {
    Self.Listener.stopAccepting();
    Self.Listener.startDraining();
  });
  {
    MutexLock Guard(&Self.Lock);
    Self.Lock.await([&Self] { return Self.ActiveHandlers == 0; });
  }
  boost::asio::post(Self.Loop, [&Self] {
    Self.closeWhenFlushed(Self.Timer.now() + FlushTimeout);
  });
  Self.Thread.join();
  Self.Workers.shutdown();
}

} // namespace berylramp
