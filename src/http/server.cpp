//===- server.cpp - The HTTP server over cpp-httplib ----------------------===//
//
// The library's listening backlog is small, which turns a burst of connects
// into retransmissions of a second; listen() is called once more with a larger
// one. Its default SO_REUSEPORT would let two daemons share a port unseen.
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

constexpr int StatusTooLong = 413;
constexpr int ListenBacklog = 1024;
constexpr size_t MaxRequestsOnConnection = 1000000;

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

std::vector<HeaderLine> linesOf(const httplib::Headers &Headers) {
  std::vector<HeaderLine> Out;
  for (const auto &[Name, Value] : Headers)
    Out.push_back(HeaderLine{Name, Value});
  return Out;
}

std::vector<HeaderLine> paramsOf(const httplib::Params &Params) {
  std::vector<HeaderLine> Out;
  for (const auto &[Name, Value] : Params)
    Out.push_back(HeaderLine{Name, Value});
  return Out;
}

const HeaderLine *findLine(const std::vector<HeaderLine> &Lines,
                           const char *Name) {
  for (const HeaderLine &Line : Lines) {
    if (absl::EqualsIgnoreCase(Line.Name, Name))
      return &Line;
  }
  return nullptr;
}

void sendStream(const HttpReply &Reply, httplib::Response &Response) {
  auto Provide = [Stream = Reply.Stream](size_t, httplib::DataSink &Sink) {
    HttpWriter Write = [&Sink](const std::string &Bytes) {
      return Sink.write(Bytes.data(), Bytes.size());
    };
    if (!Stream(Write))
      return false;
    Sink.done();
    return true;
  };
  Response.set_chunked_content_provider(Reply.ContentType, Provide);
}

} // namespace

std::string HttpRequest::header(const char *Name) const {
  const HeaderLine *Found = findLine(this->Headers, Name);
  return Found == nullptr ? "" : Found->Value;
}

std::string HttpRequest::param(const char *Name) const {
  const HeaderLine *Found = findLine(this->Params, Name);
  return Found == nullptr ? "" : Found->Value;
}

struct HttpServer::Impl {
  HttpServerLimits Limits;
  httplib::Server Server;
  std::vector<Route> Routes;
  std::atomic<int> Socket{-1};
  std::thread Listener;

  void serve(const httplib::Request &In, httplib::Response &Response) {
    HttpRequest Request{In.method, In.path, In.body, linesOf(In.headers),
                        paramsOf(In.params)};
    for (const Route &Each : this->Routes) {
      if (!Each.matches(Request))
        continue;
      HttpReply Reply;
      Each.Handler(Request, Reply);
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
    : Inner(std::make_unique<Impl>()) {
  Impl &Self = *this->Inner;
  Self.Limits = Limits;
  httplib::Server &Server = Self.Server;
  Server.new_task_queue = [Max = Limits.MaxConnections] {
    return new internal::ElasticTaskQueue(Max);
  };
  Server.set_tcp_nodelay(true);
  Server.set_payload_max_length(Limits.MaxBodyBytes);
  Server.set_keep_alive_max_count(MaxRequestsOnConnection);
  Server.set_keep_alive_timeout(absl::ToInt64Seconds(Limits.KeepAlive));
  Server.set_socket_options([&Self](socket_t Socket) {
    int Yes = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
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
  auto Serve = [&Self](const httplib::Request &In, httplib::Response &Out) {
    Self.serve(In, Out);
  };
  Server.Get(".*", Serve);
  Server.Post(".*", Serve);
  Server.Put(".*", Serve);
  Server.Delete(".*", Serve);
}

HttpServer::~HttpServer() { this->stop(); }

void HttpServer::setTooLongAnswer(std::function<std::string()> Answer) {
  this->Inner->Server.set_error_handler(
      [Answer = std::move(Answer)](const httplib::Request &,
                                   httplib::Response &Response) {
        if (Response.status == StatusTooLong)
          Response.set_content(Answer(), "application/json");
      });
}

void HttpServer::route(std::string Method, std::string Path,
                       HttpHandler Handler) {
  this->Inner->Routes.push_back(
      Route{std::move(Method), std::move(Path), std::move(Handler)});
}

absl::StatusOr<Endpoint> HttpServer::bind(const Endpoint &Listen) {
  Impl &Self = *this->Inner;
  Endpoint Bound = Listen;
  if (Listen.Port == 0)
    Bound.Port = Self.Server.bind_to_any_port(Listen.Ip);
  else if (!Self.Server.bind_to_port(Listen.Ip, Listen.Port))
    Bound.Port = -1;
  if (Bound.Port <= 0)
    return absl::UnavailableError(
        absl::StrCat("cannot listen on ", Listen.text(),
                     "; choose another address or end its holder"));
  ::listen(Self.Socket, ListenBacklog);
  return Bound;
}

void HttpServer::serve() {
  Impl &Self = *this->Inner;
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
  Impl &Self = *this->Inner;
  if (!Self.Listener.joinable())
    return;
  Self.Server.stop();
  Self.Listener.join();
}

} // namespace berylramp
