//===- http.h - HTTP server and client adapters -----------------*- C++ -*-===//
//
// Wraps cpp-httplib both ways, so that no other library sees its types. A
// handler runs on the thread of its connection; a reply is whole or streamed.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_HTTP_H
#define BERYLRAMP_HTTP_H

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "berylramp/ports.h"
#include "berylramp/units.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace berylramp {

struct HeaderLine {
  std::string Name;
  std::string Value;
};

/// A request as a handler sees it.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::string Body;
  std::vector<HeaderLine> Headers;
  std::vector<HeaderLine> Params;

  /// The first header of that name in any case; empty when there is none.
  std::string header(const char *Name) const;
  std::string param(const char *Name) const;
};

/// Sends a part of a streamed reply; false once the caller is gone.
using HttpWriter = std::function<bool(const std::string &)>;

struct HttpReply {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  std::vector<HeaderLine> Headers;
  /// When set, the body is what this writes, sent in chunks. A stream that
  /// returns false is cut without an end mark.
  std::function<bool(const HttpWriter &)> Stream;
};

using HttpHandler = std::function<void(const HttpRequest &, HttpReply &)>;

struct HttpServerLimits {
  size_t MaxBodyBytes = 1 << 20;
  /// Connections served at once; each has a thread while it is open.
  size_t MaxConnections = 1024;
  /// How long an idle connection stays open, in whole seconds. A stop waits
  /// for idle connections as long.
  absl::Duration KeepAlive = absl::Seconds(2);
};

/// Serves routes until stop(), which lets requests under way finish.
class HttpServer {
public:
  explicit HttpServer(HttpServerLimits Limits);
  ~HttpServer();

  /// Routes a method and an exact path, or all below a path ending in '/'.
  void route(std::string Method, std::string Path, HttpHandler Handler);
  /// What to answer a body longer than the limit; the status is 413.
  void setTooLongAnswer(std::function<std::string()> Answer);
  /// Takes the address; port 0 takes a free one. Returns the bound address.
  absl::StatusOr<Endpoint> bind(const Endpoint &Listen);
  /// Serves what was bound, on threads of its own.
  void serve();
  /// bind() and serve().
  absl::StatusOr<Endpoint> start(const Endpoint &Listen);
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

/// One call by a client.
struct HttpCall {
  std::string Method = "GET";
  std::string Path = "/";
  std::string Body;
  std::vector<HeaderLine> Headers;
  absl::Duration ConnectTimeout = absl::Seconds(1);
  absl::Duration ReadTimeout = absl::Seconds(10);
  /// Set for calls that must not meet a connection the server is closing.
  bool FreshConnection = false;
};

/// How far a failed call got. Only ConnectFailed shows that nothing was sent.
enum class HttpFault { None, ConnectFailed, Broken, StoppedByReceiver };

struct HttpOutcome {
  HttpFault Fault = HttpFault::None;
  int Status = 0;
  std::string Body;
  std::vector<HeaderLine> Headers;
  std::string Detail;

  /// The first header of that name in any case; empty when there is none.
  std::string header(const char *Name) const;
};

/// Keeps idle connections for each endpoint; any thread may call.
class HttpClientPool {
public:
  HttpClientPool();
  ~HttpClientPool();

  HttpOutcome call(const Endpoint &To, const HttpCall &Which);
  /// Hands body parts to \p OnBytes as they come, for a status of 200 only.
  HttpOutcome stream(const Endpoint &To, const HttpCall &Which,
                     const TextSink &OnBytes);
  /// Closes idle connections to an endpoint that is gone.
  void forget(const Endpoint &To);

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

/// Splits a server-sent event stream into the data of its events.
class EventSplitter {
public:
  /// Calls \p OnData for each event completed by \p Bytes; stops and returns
  /// false when \p OnData does, or when one event grows past its bound.
  bool feed(const std::string &Bytes, const TextSink &OnData);

private:
  std::string Pending;
};

/// Adapters that fill the ports over HTTP.
LogPort makeHttpLog(const std::shared_ptr<HttpClientPool> &Pool,
                    const Endpoint &Service);
HostListPort makeHttpHostList(const std::shared_ptr<HttpClientPool> &Pool,
                              const Endpoint &Service);
RaterPort makeHttpRater(const std::shared_ptr<HttpClientPool> &Pool,
                        const Endpoint &Service);
UpstreamPort makeHttpUpstreams(const std::shared_ptr<HttpClientPool> &Pool);
/// Carries a signed body to a peer and brings back its answer.
using PeerTransport = std::function<absl::StatusOr<std::string>(
    const Endpoint &, const std::string &Mac, const std::string &Body)>;
PeerTransport makePeerTransport(const std::shared_ptr<HttpClientPool> &Pool);

/// The path at which entry hosts take peer calls.
inline constexpr const char *PeerPath = "/internal/rpc";
/// The header that carries the keyed digest of a peer call's body.
inline constexpr const char *PeerMacHeader = "X-Peer-Mac";

} // namespace berylramp

#endif // BERYLRAMP_HTTP_H
