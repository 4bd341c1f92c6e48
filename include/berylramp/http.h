//===- http.h - HTTP server and client adapters -----------------*- C++ -*-===//
//
// A server for handlers that block, and a client. A handler runs on a thread of
// its own and sends its reply either as one body or as a stream.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_HTTP_H
#define BERYLRAMP_HTTP_H

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "berylramp/ports.h"
#include "berylramp/serving.h"
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

/// A request as passed to a handler.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::string Body;
  HeaderBlock Headers;
  /// The part of the target after '?', as received.
  std::string Query;

  /// Returns the first header with this name, ignoring case, or an empty string
  /// if there is none.
  std::string header(const char *Name) const;
  /// Returns the first parameter of the query with this name, decoded, or an
  /// empty string.
  std::string param(const char *Name) const;
};

/// Sends a part of a streamed reply. Returns false once the caller has
/// disconnected.
using HttpWriter = std::function<bool(const std::string &)>;

struct HttpReply {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  std::vector<HeaderLine> Headers;
  /// If set, this function writes the body, which is sent with chunked
  /// encoding. If it returns false, the connection closes without the final
  /// chunk.
  std::function<bool(const HttpWriter &)> Stream;
};

using HttpHandler = std::function<void(const HttpRequest &, HttpReply &)>;

struct HttpServerLimits {
  size_t MaxBodyBytes = 1 << 20;
  /// Open connections, and requests in progress, each of which occupies a
  /// thread. Above it, the connection that has waited longest for its client
  /// closes.
  size_t MaxConnections = 1024;
  /// How long a connection stays open without a byte of a request.
  absl::Duration KeepAliveTimeout = absl::Seconds(5);
  /// Memory of the process, of which requests and replies may take a part.
  int64_t MemoryBytes = 512LL << 20;
};

/// Serves the registered routes until stop(), which lets active requests
/// finish.
class HttpServer {
public:
  explicit HttpServer(HttpServerLimits Limits);
  ~HttpServer();

  /// Registers a handler for a method and a path. A path that ends in '/'
  /// matches every path below it; any other path matches exactly.
  void route(std::string Method, std::string Path, HttpHandler Handler);
  /// Sets the function that makes the JSON body of a refusal that no handler
  /// sees: 413 if a body exceeds the limit, 431 for a header, 503 if the
  /// process holds too many bytes, 400 for a malformed request.
  void setRefusalBody(std::function<std::string(int Status)> MakeBody);
  /// Binds the address and returns it. Port 0 selects a free port.
  absl::StatusOr<Endpoint> bind(const Endpoint &Listen);
  /// Starts to serve the bound address on threads of the server and returns.
  void serve();
  /// Calls bind() and, if it succeeds, serve().
  absl::StatusOr<Endpoint> start(const Endpoint &Listen);
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// A request sent by a client.
struct HttpCall {
  std::string Method = "GET";
  std::string Path = "/";
  std::string Body;
  std::vector<HeaderLine> Headers;
  absl::Duration ConnectTimeout = absl::Seconds(1);
  absl::Duration ReadTimeout = absl::Seconds(10);
  /// Opens a new connection instead of reusing a pooled one, which the server
  /// may be closing.
  bool FreshConnection = false;
};

/// The reason why a call failed. Only ConnectFailed proves that nothing was
/// sent.
enum class HttpFault { None, ConnectFailed, Interrupted, CancelledByReceiver };

struct HttpOutcome {
  HttpFault Fault = HttpFault::None;
  int Status = 0;
  std::string Body;
  std::vector<HeaderLine> Headers;
  std::string Detail;

  /// Returns the first header with this name, ignoring case, or an empty string
  /// if there is none.
  std::string header(const char *Name) const;
};

/// Pools idle connections for each endpoint. Thread-safe.
class HttpClientPool {
public:
  HttpClientPool();
  ~HttpClientPool();

  HttpOutcome call(const Endpoint &Target, const HttpCall &Call);
  /// Passes the parts of the body to \p OnBytes as they arrive. The body of a
  /// response whose status is not 200 goes to HttpOutcome::Body instead.
  HttpOutcome stream(const Endpoint &Target, const HttpCall &Call,
                     const TextSink &OnBytes);
  /// Closes the idle connections to an endpoint that is no longer in use.
  void closeIdleConnections(const Endpoint &Target);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// Splits a stream of server-sent events into the data of the events.
class EventDataSplitter {
public:
  /// Appends \p Bytes and calls \p OnData for each event that is now complete.
  /// Stops and returns false if \p OnData returns false or if an incomplete
  /// event exceeds 1 MiB.
  bool feed(const std::string &Bytes, const TextSink &OnData);

private:
  std::string Pending;
};

/// The following functions make ports that work over HTTP.
LogPort makeHttpLog(const std::shared_ptr<HttpClientPool> &Pool,
                    const Endpoint &Service);
HostListPort makeHttpHostList(const std::shared_ptr<HttpClientPool> &Pool,
                              const Endpoint &Service);
RaterPort makeHttpRater(const std::shared_ptr<HttpClientPool> &Pool,
                        const Endpoint &Service);
UpstreamPort makeHttpUpstreams(const std::shared_ptr<HttpClientPool> &Pool);
/// Sends a signed request body to a peer and returns the response body.
using PeerTransport = std::function<absl::StatusOr<std::string>(
    const Endpoint &, const std::string &Mac, const std::string &Body)>;
PeerTransport makePeerTransport(const std::shared_ptr<HttpClientPool> &Pool);

/// The path at which entry hosts accept peer calls.
inline constexpr const char *PeerPath = "/internal/rpc";
/// The header with the keyed digest of the body of a peer call.
inline constexpr const char *PeerMacHeader = "X-Peer-Mac";

} // namespace berylramp

#endif // BERYLRAMP_HTTP_H
