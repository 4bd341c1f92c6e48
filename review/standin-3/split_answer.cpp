//===- split_answer.cpp - Recovery before replicas that send heads first --===//
//
// The replicas of a service are replaced by new ones that send the head of an
// answer before its body. Then all daemons are killed and start again.
//
// Usage: split_answer RECORD FOLDER. TROUBLE=0: no replica is replaced and no
// daemon is killed. TROUBLE=whole: both happen, but the new replicas send head
// and body together.
//
//===----------------------------------------------------------------------===//

#include "standin.h"

#include <cstdlib>
#include <random>

using namespace review;

namespace {

constexpr int HostCount = 3;
constexpr int ReplicaCount = 3;
constexpr int ClientCount = 9;
constexpr double RequestInterval = 0.2;
constexpr double HeadFirstSeconds = 0.02;
constexpr double ReleaseAt = 10;
/// Between the replacements of two replicas.
constexpr double ReleaseGap = 1;
/// drainMs, and a little longer.
constexpr double DrainSeconds = 3;
constexpr double FaultAt = 22;
constexpr double DownSeconds = 1;
constexpr double RecoverySeconds = 12;
constexpr double JudgedSeconds = 10;
constexpr int64_t DeadlineMs = 3000;
constexpr double AnswerSeconds = 3;
constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

/// Requests sent and served in one phase.
struct Count {
  std::atomic<int> Sent{0};
  std::atomic<int> Served{0};
  double share() const {
    return this->Sent == 0 ? 0 : double(this->Served) / this->Sent;
  }
};

struct Phases {
  Count BeforeRelease;
  Count AfterRelease;
  Count AfterRecovery;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount != 3)
    return ExitNotRun;
  const char *Setting = std::getenv("TROUBLE");
  std::string Trouble = Setting == nullptr ? "1" : Setting;
  Recorder Record(Arguments[1]);
  std::random_device Random;
  // A loopback network of this run's own, so that the fixed port of the
  // metrics is free too.
  std::string Net = "127." + std::to_string(10 + Random() % 200) + "." +
                    std::to_string(Random() % 250) + ".";
  std::vector<std::string> Ips;
  for (int Index = 1; Index <= HostCount; ++Index)
    Ips.push_back(Net + std::to_string(Index));
  std::vector<int> Ports = freePorts(Ips, 5);
  Runs Executed;
  Store Platform(Net + "100");
  Platform.put("keyed.op", "config", configuration(1, Limits()));
  std::vector<std::unique_ptr<Replica>> Replicas;
  auto AddReplica = [&] {
    size_t Number = Replicas.size();
    Replicas.push_back(std::make_unique<Replica>(
        Platform, Executed, "i-" + std::to_string(Number), "app", "zone-1",
        Net + std::to_string(50 + Number)));
  };
  for (int Index = 0; Index < ReplicaCount; ++Index)
    AddReplica();
  std::vector<std::unique_ptr<Host>> Hosts;
  for (int Index = 0; Index < HostCount; ++Index)
    Hosts.push_back(std::make_unique<Host>(Index + 1, Ips[Index], Ports,
                                           "zone-1", Platform, Ips[0],
                                           Arguments[2]));
  for (const auto &Started : Hosts)
    if (!Started->start())
      return ExitNotRun;
  for (const auto &Started : Hosts)
    if (!Started->waitUntilReady(20))
      return ExitNotRun;
  Record.line("all daemons are ready");
  double Start = now();
  double JudgeFrom = Start + FaultAt + DownSeconds + RecoverySeconds;
  double End = JudgeFrom + JudgedSeconds;
  Phases Counted;
  std::vector<std::thread> Clients;
  for (int Index = 0; Index < ClientCount; ++Index)
    Clients.emplace_back([&, Index] {
      std::unique_ptr<Connection> Kept;
      for (int Number = 0; now() < End; ++Number) {
        sleepFor(RequestInterval);
        double SentAt = now();
        Count *Phase = SentAt < Start + ReleaseAt ? &Counted.BeforeRelease
                       : SentAt < Start + FaultAt ? &Counted.AfterRelease
                       : SentAt >= JudgeFrom      ? &Counted.AfterRecovery
                                                  : nullptr;
        std::string Attempt =
            "c" + std::to_string(Index) + "-" + std::to_string(Number);
        size_t Target = static_cast<size_t>(Index + Number / 10) % Ips.size();
        if (Kept == nullptr || Number % 10 == 0)
          Kept = Connection::open(Ips[Target], Ports[0]);
        bool IsOrder = Number % 2 == 0;
        bool Sent = Kept != nullptr &&
                    Kept->send(IsOrder ? orderRequest(Attempt, 300, DeadlineMs)
                                       : lookupRequest(Attempt, DeadlineMs));
        std::optional<Message> Answer;
        if (Sent)
          Answer = Kept->read(AnswerSeconds);
        int Status = Answer && Answer->IsComplete ? Answer->status() : 0;
        bool IsServed = Status == 200 && Answer->Body == "answer to " + Attempt;
        if (Status == 0)
          Kept.reset();
        if (Phase != nullptr) {
          Phase->Sent += 1;
          Phase->Served += IsServed ? 1 : 0;
        }
        Record.line((IsOrder ? "order " : "lookup ") + Attempt + ": answer " +
                    std::to_string(Status) + ", runs " +
                    std::to_string(Executed.countOf(Attempt)));
      }
    });
  auto WaitUntil = [&](double At) {
    while (now() < Start + At)
      sleepFor(0.01);
  };
  if (Trouble != "0") {
    for (int Index = 0; Index < ReplicaCount; ++Index) {
      WaitUntil(ReleaseAt + Index * (DrainSeconds + ReleaseGap));
      AddReplica();
      Replicas.back()->HeadFirstSeconds =
          Trouble == "whole" ? -1 : HeadFirstSeconds;
      Replicas[static_cast<size_t>(Index)]->drain();
      Record.line("replica i-" + std::to_string(ReplicaCount + Index) +
                  " starts and i-" + std::to_string(Index) + " drains");
      sleepFor(DrainSeconds);
      Replicas[static_cast<size_t>(Index)]->removeEntry();
      Replicas[static_cast<size_t>(Index)].reset();
    }
    WaitUntil(FaultAt);
    Record.line("all daemons are killed");
    for (const auto &Killed : Hosts)
      Killed->kill();
    sleepFor(DownSeconds);
    for (const auto &Started : Hosts)
      if (!Started->start())
        std::exit(ExitNotRun);
    Record.line("all daemons start again");
  }
  for (std::thread &Client : Clients)
    Client.join();
  bool AllRun = true;
  for (const auto &Started : Hosts)
    AllRun = AllRun && Started->isRunning();
  Count Before;
  Before.Sent = Counted.BeforeRelease.Sent + Counted.AfterRelease.Sent;
  Before.Served = Counted.BeforeRelease.Served + Counted.AfterRelease.Served;
  auto Describe = [&](const char *Name, const Count &Phase) {
    Record.line(std::string(Name) + ": " + std::to_string(Phase.Served) +
                " of " + std::to_string(Phase.Sent) + " requests served");
  };
  Describe("before the replicas are replaced", Counted.BeforeRelease);
  Describe("from then to the final fault", Counted.AfterRelease);
  Describe("before the final fault", Before);
  Describe("later than recoveryS after it", Counted.AfterRecovery);
  if (!AllRun || Counted.AfterRecovery.Sent == 0 || Before.share() < 0.25)
    return ExitNotRun;
  bool IsBroken = Counted.AfterRecovery.share() < 0.25;
  Record.line(IsBroken ? "RECOVER is broken" : "RECOVER held");
  return IsBroken ? ExitBroken : ExitHeld;
}
