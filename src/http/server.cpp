//===- server.cpp - The HTTP server over cpp-httplib ----------------------===//
//
// The listen backlog of cpp-httplib is so small that a burst of connection
// attempts overflows it and clients retransmit after a second. bind() therefore
// calls listen() again with a larger backlog. The socket options omit
// SO_REUSEPORT, the default of the library, because it would let two daemons
// bind the same port without an error.
//
//===----------------------------------------------------------------------===//

#include "berylramp/http.h"
#include "elastic_task_queue.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <atomic>
#include <httplib.h>
#include <sys/socket.h>

namespace berylramp {

namespace {

constexpr int StatusPayloadTooLarge = 413;
constexpr int ListenBacklog = 1024;
constexpr size_t MaxRequestsPerConnection = 1000000;

struct Route {
  std::string Method;
  std::string Path;
  HttpHandler Handler;

  bool matches(const HttpRequest &Request) const {
    if (this->Method != Request.Method)
      return false;
    if (absl::EndsWith(this->Path, "/"))
      return absl::StartsWith(Request.Path, this->Path);
    return this->Path == Request.Path;
  }
};

std::vector<HeaderLine> toHeaderLines(const httplib::Headers &Headers) {
  std::vector<HeaderLine> Lines;
  for (const auto &[Name, Value] : Headers)
    Lines.push_back(HeaderLine{Name, Value});
  return Lines;
}

std::vector<HeaderLine> toParamLines(const httplib::Params &Params) {
  std::vector<HeaderLine> Lines;
  for (const auto &[Name, Value] : Params)
    Lines.push_back(HeaderLine{Name, Value});
  return Lines;
}

const HeaderLine *findHeader(const std::vector<HeaderLine> &Lines,
                             const char *Name) {
  for (const HeaderLine &Line : Lines) {
    if (absl::EqualsIgnoreCase(Line.Name, Name))
      return &Line;
  }
  return nullptr;
}

void sendStream(const HttpReply &Reply, httplib::Response &Response) {
  auto WriteBody = [Stream = Reply.Stream](size_t, httplib::DataSink &Sink) {
    HttpWriter Write = [&Sink](const std::string &Bytes) {
      return Sink.write(Bytes.data(), Bytes.size());
    };
    if (!Stream(Write))
      return false;
    Sink.done();
    return true;
  };
  Response.set_chunked_content_provider(Reply.ContentType, WriteBody);
}

} // namespace

std::string HttpRequest::header(const char *Name) const {
  const HeaderLine *Found = findHeader(this->Headers, Name);
  return Found == nullptr ? "" : Found->Value;
}

std::string HttpRequest::param(const char *Name) const {
  const HeaderLine *Found = findHeader(this->Params, Name);
  return Found == nullptr ? "" : Found->Value;
}

struct HttpServer::Impl {
  HttpServerLimits Limits;
  httplib::Server Server;
  std::vector<Route> Routes;
  std::atomic<int> Socket{-1};
  std::thread Listener;

  void dispatch(const httplib::Request &Incoming, httplib::Response &Response) {
    HttpRequest Request{Incoming.method, Incoming.path, Incoming.body,
                        toHeaderLines(Incoming.headers),
                        toParamLines(Incoming.params)};
    for (const Route &Candidate : this->Routes) {
      if (!Candidate.matches(Request))
        continue;
      HttpReply Reply;
      Candidate.Handler(Request, Reply);
      this->send(Reply, Response);
      return;
    }
    Response.status = 404;
    Response.set_content("{\"error\":{\"type\":\"no_such_path\"}}",
                         "application/json");
  }

  void send(const HttpReply &Reply, httplib::Response &Response) {
    Response.status = Reply.Status;
    for (const HeaderLine &Line : Reply.Headers)
      Response.set_header(Line.Name, Line.Value);
    if (Reply.Stream)
      sendStream(Reply, Response);
    else
      Response.set_content(Reply.Body, Reply.ContentType);
  }
};

HttpServer::HttpServer(HttpServerLimits Limits)
    : State(std::make_unique<Impl>()) {
  Impl &Self = *this->State;
  Self.Limits = Limits;
  httplib::Server &Server = Self.Server;
  Server.new_task_queue = [Max = Limits.MaxConnections] {
    return new internal::ElasticTaskQueue(Max);
  };
  Server.set_tcp_nodelay(true);
  Server.set_payload_max_length(Limits.MaxBodyBytes);
  Server.set_keep_alive_max_count(MaxRequestsPerConnection);
  Server.set_keep_alive_timeout(absl::ToInt64Seconds(Limits.KeepAliveTimeout));
  Server.set_socket_options([&Self](socket_t Socket) {
    int Enable = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
    Self.Socket = Socket;
  });
  Server.set_exception_handler([](const httplib::Request &,
                                  httplib::Response &Response,
                                  const std::exception_ptr &) {
    Response.status = 500;
    Response.set_content("{\"error\":{\"type\":\"internal\",\"ran\":"
                         "\"unknown\"}}",
                         "application/json");
  });
  auto Dispatch = [&Self](const httplib::Request &Incoming,
                          httplib::Response &Response) {
    Self.dispatch(Incoming, Response);
  };
  Server.Get(".*", Dispatch);
  Server.Post(".*", Dispatch);
  Server.Put(".*", Dispatch);
  Server.Delete(".*", Dispatch);
}

HttpServer::~HttpServer() { this->stop(); }

void HttpServer::setPayloadTooLargeBody(std::function<std::string()> MakeBody) {
  this->State->Server.set_error_handler(
      [MakeBody = std::move(MakeBody)](const httplib::Request &,
                                       httplib::Response &Response) {
        if (Response.status == StatusPayloadTooLarge)
          Response.set_content(MakeBody(), "application/json");
      });
}

void HttpServer::route(std::string Method, std::string Path,
                       HttpHandler Handler) {
  this->State->Routes.push_back(
      Route{std::move(Method), std::move(Path), std::move(Handler)});
}

absl::StatusOr<Endpoint> HttpServer::bind(const Endpoint &Listen) {
  Impl &Self = *this->State;
  Endpoint Bound = Listen;
  if (Listen.Port == 0)
    Bound.Port = Self.Server.bind_to_any_port(Listen.Ip);
  else if (!Self.Server.bind_to_port(Listen.Ip, Listen.Port))
    Bound.Port = -1;
  if (Bound.Port <= 0)
    return absl::UnavailableError(absl::StrCat(
        "cannot listen on ", Listen.text(),
        "; choose another address or stop the process that uses it"));
  ::listen(Self.Socket, ListenBacklog);
  return Bound;
}

void HttpServer::serve() {
  Impl &Self = *this->State;
  Self.Listener = std::thread([&Self] { Self.Server.listen_after_bind(); });
  while (!Self.Server.is_running())
    std::this_thread::yield();
}

absl::StatusOr<Endpoint> HttpServer::start(const Endpoint &Listen) {
  absl::StatusOr<Endpoint> Bound = this->bind(Listen);
  if (Bound.ok())
    this->serve();
  return Bound;
}

void HttpServer::stop() {
  Impl &Self = *this->State;
  if (!Self.Listener.joinable())
    return;
  Self.Server.stop();
  Self.Listener.join();
}

} // namespace berylramp
