//===- callers.h - Callers of the system under test -------------*- C++ -*-===//

#ifndef BERYLRAMP_TEST_SOAK_CALLERS_H
#define BERYLRAMP_TEST_SOAK_CALLERS_H

#include "world.h"

namespace berylramp::soak {

/// Whether \p Text is one whole answer.
bool isWhole(const std::string &Text);

/// What was asked and what came back.
struct Asked {
  std::string Id;
  /// "once", "safe" or "stream".
  std::string Kind;
  int Events = 0;
  /// Asked while only planned work went on.
  bool InPlannedTime = false;
  /// The caller closed before the end, on purpose.
  bool Left = false;
  int Status = 0;
  bool Whole = false;
  Instant SentAt;
  Instant EndedAt{absl::InfiniteDuration()};
};

/// Callers that each send one request after the other. In planned time they
/// ask the directory for hosts and keep their connections.
class Callers {
public:
  explicit Callers(World &Around) : Around(Around) {}

  void start();
  void stop() { this->Calling = false; }
  void startPlannedTime();
  void endPlannedTime() { this->Planned = false; }

  /// Whether \p Which answers a request with \p Key; its status, or 0.
  int statusNow(const Host &Which, const std::string &Key);

  std::vector<Asked> Rows;
  int Good = 0;
  int Refused = 0;
  int Other = 0;

private:
  struct Caller;
  void next(const std::shared_ptr<Caller> &Who);
  void send(const std::shared_ptr<Caller> &Who);
  void read(const std::shared_ptr<Caller> &Who, size_t Row);
  void finish(const std::shared_ptr<Caller> &Who, size_t Row);
  void judge(const std::string &Text, Asked &Row);
  std::string requestFor(const Asked &Row) const;
  std::string hostFor();
  void askDirectory();

  World &Around;
  std::vector<std::string> Listed;
  bool Calling = true;
  bool Planned = false;
  int Probes = 0;
};

} // namespace berylramp::soak

#endif // BERYLRAMP_TEST_SOAK_CALLERS_H
