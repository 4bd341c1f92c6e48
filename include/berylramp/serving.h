//===- serving.h - Event-driven HTTP/1.1 server -----------------*- C++ -*-===//
//
// Non-blocking connections from callers on one Boost.Asio event loop. What they
// hold is counted from the first byte, and their number is bounded.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SERVING_H
#define BERYLRAMP_SERVING_H

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "berylramp/memory_account.h"
#include "berylramp/observe.h"
#include "berylramp/routes.h"
#include "berylramp/timer.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylramp {

using HeaderField = std::pair<std::string, std::string>;

/// The first field of \p Fields named \p Name in any case, or null.
const std::string *findHeader(const std::vector<HeaderField> &Fields,
                              absl::string_view Name);

/// The header fields of a request, in their order. Names have no colon, values
/// no line break.
class HeaderBlock {
public:
  struct Field {
    absl::string_view Name;
    absl::string_view Value;
    /// The whole field with the line break at its end.
    absl::string_view Line;
  };
  class Iterator {
  public:
    explicit Iterator(absl::string_view Rest) : Rest(Rest) { this->read(); }
    const Field &operator*() const { return this->Current; }
    Iterator &operator++() {
      this->Rest.remove_prefix(this->Current.Line.size());
      this->read();
      return *this;
    }
    bool operator!=(const Iterator &Other) const {
      return this->Rest.size() != Other.Rest.size();
    }

  private:
    void read();
    absl::string_view Rest;
    Field Current;
  };

  HeaderBlock() = default;
  HeaderBlock(
      std::initializer_list<std::pair<absl::string_view, absl::string_view>>
          Fields);
  void add(absl::string_view Name, absl::string_view Value);
  Iterator begin() const { return Iterator(this->Text); }
  Iterator end() const { return Iterator(absl::string_view()); }
  /// Bytes of memory that the fields take.
  size_t memory() const { return this->Text.capacity(); }
  /// Gives back memory that the fields do not need.
  void shrink() { this->Text.shrink_to_fit(); }

private:
  std::string Text;
};

/// The value of the first field named \p Name in any case.
std::optional<absl::string_view> findHeader(const HeaderBlock &Fields,
                                            absl::string_view Name);

/// A complete request of a caller.
struct CallerRequest {
  std::string Method;
  /// Path and query exactly as in the request line.
  std::string Target;
  HeaderBlock Headers;
  std::string Body;
  Instant ArrivedAt;
  /// The body was not received, because the host holds too many bytes.
  bool BodyRefused = false;
};

/// Bytes of memory that the request takes.
size_t memoryOf(const CallerRequest &Request);

/// Status line and header of an answer.
struct HttpHead {
  int Status = 0;
  std::string Reason;
  std::vector<HeaderField> Headers;
};

/// Answers one request. The methods may be called only from the loop's thread.
class Responder {
public:
  virtual ~Responder() = default;
  /// States whose bytes the connection holds.
  virtual void identify(uint64_t Owner, const std::string &RequestId) {}
  /// Sends a complete answer and closes the connection afterwards if
  /// \p CloseAfter is set.
  virtual void sendWhole(const HttpHead &Head, const std::string &Body,
                         bool CloseAfter) = 0;
  virtual void beginStream(const HttpHead &Head) = 0;
  virtual void sendChunk(std::string Chunk) = 0;
  virtual void endStream() = 0;
  /// Closes the connection without the end of the stream, once the chunks are
  /// sent.
  virtual void cutStream() = 0;
  /// Resets the connection so that the caller cannot mistake a truncated answer
  /// for a complete one.
  virtual void abort() = 0;
  /// Registers \p Call, which runs at most once: when the caller closes the
  /// connection before the answer has ended.
  virtual void onCallerDisconnect(std::function<void()> Call) = 0;
};

using ResponderPtr = std::shared_ptr<Responder>;
using RequestHandler = std::function<void(CallerRequest, ResponderPtr)>;

/// Timer service that runs its callbacks on the event loop.
class LoopTimer : public TimerService {
public:
  explicit LoopTimer(boost::asio::io_context &Loop);
  ~LoopTimer() override;

  Instant now() const override;
  absl::Time wallNow() const override;
  Subscription schedulePeriodic(absl::Duration Period, Callback Call) override;
  void cancel(Subscription Id) override;
  /// Runs \p Call once after \p Delay unless it is cancelled.
  Subscription after(absl::Duration Delay, Callback Call);

private:
  struct Entry {
    explicit Entry(boost::asio::io_context &Loop) : DelayTimer(Loop) {}
    boost::asio::steady_timer DelayTimer;
    absl::Duration Period;
    bool Repeats = true;
    Callback Call;
  };
  void arm(Subscription Id);

  boost::asio::io_context &Loop;
  std::map<Subscription, std::unique_ptr<Entry>> Entries;
  Subscription NextId = 1;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

class HeldMemory;
class ConnectionLimit;

/// Bounds that the listeners of a process share.
struct ServingBounds {
  std::shared_ptr<HeldMemory> Memory;
  std::shared_ptr<ConnectionLimit> Connections;
};

/// The number of descriptors that this process may have open.
int64_t descriptorsOfProcess();

/// Bounds for a process that may use \p Memory and accept \p MaxConnections.
/// \p Counters must outlive them.
ServingBounds makeServingBounds(boost::asio::io_context &Loop,
                                TimerService &Timer, Metrics &Counters,
                                const MemoryBounds &Memory,
                                size_t MaxConnections);

/// Accepts connections on one address and passes complete requests to a
/// handler.
class HttpListener {
public:
  /// \p Limits is evaluated again for each request. Without \p Bounds, the
  /// connections and the bytes that they hold together are not bounded.
  HttpListener(boost::asio::io_context &Loop, TimerService &Timer,
               std::function<CallerLimits()> Limits, RequestHandler Handler,
               ServingBounds Bounds = {});
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~HttpListener();

  absl::Status listen(const Endpoint &ListenAddress);
  /// \p Call adds a header and a body to the refusals of requests that no
  /// handler sees: malformed, too large, or received while the host holds too
  /// many bytes.
  void setRefusalBody(std::function<void(HttpHead &, std::string &)> Call);
  /// Makes every further answer carry "Connection: close".
  void startDraining();
  /// Closes the listening socket.
  void stopAccepting();
  /// Closes the listening socket and all connections.
  void close();
  size_t connections() const;
  /// Connections with a request that was begun and whose answer is not sent
  /// completely.
  size_t busyConnections() const;
  /// The bound port; the one that the kernel assigned if port 0 was requested.
  int port() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
};

/// Runs the loop until it is stopped. An exception that a handler throws is
/// logged and ends only that handler.
void runLoop(boost::asio::io_context &Loop);

} // namespace berylramp

#endif // BERYLRAMP_SERVING_H
