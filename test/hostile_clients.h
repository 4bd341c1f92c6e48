//===- hostile_clients.h - Clients that do not behave -----------*- C++ -*-===//
//
// Crowds of clients that send what servers find hard to hold, and the checks
// that a daemon in a process of its own withstands them. The checks concern
// memory, descriptors and an ordinary request afterwards; none concerns time.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_TEST_HOSTILE_CLIENTS_H
#define BERYLRAMP_TEST_HOSTILE_CLIENTS_H

#include "berylramp/units.h"
#include "process.h"
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace berylramp {

/// How a client sends its bytes.
enum class Delivery {
  Whole,
  /// In portions, with pauses between them.
  Pieces,
  /// All but the last byte. The connection stays open.
  ShortOfEnd
};

inline constexpr Delivery AllDeliveries[] = {Delivery::Whole, Delivery::Pieces,
                                             Delivery::ShortOfEnd};

/// Whether clients read answers.
enum class Reading { Yes, No };

/// The limits of a host.
struct HostLimits {
  int64_t MemoryBytes = 0;
  int Descriptors = 0;
};

/// Clients that send the same bytes and keep their connections open.
class Crowd {
public:
  Crowd(boost::asio::io_context &Loop, const Endpoint &Target,
        std::string Payload, int Clients, Delivery How,
        Reading Reads = Reading::Yes);
  ~Crowd();

  /// Whether every client has sent its bytes or lost its connection.
  bool isDone() const;

private:
  struct Client;
  std::vector<std::shared_ptr<Client>> Clients;
};

using Crowds = std::vector<std::unique_ptr<Crowd>>;

/// Lets \p All send until they are done, or for some seconds; returns the most
/// descriptors that \p Daemon had open.
int runCrowds(boost::asio::io_context &Loop, const Crowds &All,
              const ChildProcess &Daemon);

/// Checks that \p Daemon lives and stayed within \p Limits.
void checkLimits(ChildProcess &Daemon, const HostLimits &Limits,
                 int PeakDescriptors);

/// The header lines of \p Bytes bytes: as many as fit, or with names and values
/// of unusual forms.
std::string shortHeaderLines(size_t Bytes);
std::string oddHeaderLines(size_t Bytes);

/// A chunked body of \p Bytes bytes in chunks of \p ChunkBytes.
std::string chunkedBody(size_t Bytes, size_t ChunkBytes);

} // namespace berylramp

#endif // BERYLRAMP_TEST_HOSTILE_CLIENTS_H
