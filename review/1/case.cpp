//===- case.cpp - A stream over a host that is stopped --------------------===//
//
// A machine lost its path to one replica and reaches it over another machine.
// The replica answers without a length. While its stream pauses, the machine
// in between is stopped as planned.
//
//===----------------------------------------------------------------------===//

#include "../standin/deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace {

using namespace review;

constexpr int EventsBeforePause = 5;
constexpr int EventsAfterPause = 5;
constexpr double EventIntervalS = 0.1;
constexpr double PauseS = 4.0;
constexpr int StreamCount = 12;

struct Run {
  std::string Replica;
  size_t Front = 0;
  int EventsMade = 0;
};

std::mutex RunsLock;
std::map<std::string, std::vector<Run>> Runs;

std::string streamHead(const std::string &Id, const std::string &Replica) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Berylramp-Attempt-Id: " +
         Id + "\r\nBerylramp-Replica-Signature: " + Replica +
         ".07\r\nBerylramp-Replica-Load: 8,0,64\r\n"
         "Berylramp-Weight-Versions: 1\r\nBerylramp-Confidence: 99\r\n"
         "Connection: close\r\n\r\n";
}

std::string eventText(int Number) {
  return "id: " + std::to_string(Number) + "\ndata: event " +
         std::to_string(Number) + "\n\n";
}

/// Makes a stream of ten events with one pause, as after a preemption. Its
/// answer has no length and ends with the connection.
bool stream(Recorder &Log, const Message &Request, int Socket, size_t Front,
            const std::string &Replica) {
  std::string Id = idOf(Request);
  int Last = std::atoi(
      headerOf(Request.Fields, "Last-Event-Id").value_or("0").c_str());
  size_t Number = 0;
  {
    std::lock_guard<std::mutex> Guard(RunsLock);
    Number = Runs[Id].size();
    Runs[Id].push_back({Replica, Front, 0});
  }
  Log.line("replica " + Replica + " runs " + Id + " after event " +
           std::to_string(Last) + ", from machine " +
           std::to_string(Front + 1));
  if (!sendAll(Socket, streamHead(Id, Replica)))
    return false;
  for (int Event = Last + 1; Event <= EventsBeforePause + EventsAfterPause;
       ++Event) {
    sleepFor(Event == EventsBeforePause + 1 ? PauseS : EventIntervalS);
    if (!sendAll(Socket, eventText(Event))) {
      Log.line("replica " + Replica + ": the caller of " + Id + " left");
      return false;
    }
    std::lock_guard<std::mutex> Guard(RunsLock);
    Runs[Id][Number].EventsMade = Event;
  }
  Log.line("replica " + Replica + " ends " + Id);
  return false;
}

Headers streamHeaders(const std::string &Id, int Number) {
  return {{"Host", Host},
          {"Berylramp-Attempt-Id", Id},
          {"Berylramp-Model", "daka510000"},
          {"Berylramp-Token-Usage", "1460,80"},
          {"Berylramp-Prefix-Hash",
           "5c1e07a2:800,e4402b7" + std::to_string(Number) + ":660"},
          {"Berylramp-Deadline-Ms", "25000"},
          {"Authorization", "Token " + LastingKey}};
}

int lastEvent(const std::string &Body) {
  size_t At = Body.rfind("id: ");
  return At == std::string::npos ? 0 : std::atoi(Body.c_str() + At + 4);
}

int runCase(Recorder &Log, Fleet &Machines, Store &Registry,
            const std::string &Net, bool Trouble) {
  Machines.add("colombo-a", "western", Net + ".1.1");
  Machines.add("kandy-a", "central", Net + ".2.1");
  Machines.add("galle-a", "southern", Net + ".3.1");
  Registry.put("keyed.op", "config", configuration(7, {LastingKey}));
  std::vector<Replica *> Replicas;
  const char *Zones[] = {"colombo-a", "kandy-a", "galle-a"};
  for (int Index = 0; Index < 3; ++Index) {
    std::string Engine = "i-engine-" + std::to_string(Index + 1);
    std::string Plain = "i-plain-" + std::to_string(Index + 1);
    std::string Ip = Net + ".8." + std::to_string(Index + 1);
    Replicas.push_back(new Replica(
        Registry, Engine, EngineService, Zones[Index], "v1", Ip, 64,
        [&Log, Engine](const Message &Request, int Socket, size_t Front) {
          return stream(Log, Request, Socket, Front, Engine);
        }));
    Replicas.push_back(
        new Replica(Registry, Plain, PlainService, Zones[Index], "v1", Ip, 6,
                    [Plain](const Message &Request, int Socket, size_t) {
                      return sendAll(Socket, plainAnswer(idOf(Request), Plain));
                    }));
  }
  for (Replica *Each : Replicas)
    Each->start();
  for (Machine &Each : Machines.machines())
    Machines.start(Each);
  if (!Machines.awaitReady(20)) {
    Log.line("cannot run: the machines are not ready");
    return CannotRun;
  }
  sleepFor(6);
  Machine &First = Machines.machines()[0];
  if (Trouble) {
    Log.line("disruption: machine 1 loses its path to i-engine-1");
    Replicas[0]->cut(0);
    sleepFor(0.2);
  }
  // Streams of a few seconds, so that the machine has noticed its lost path.
  auto SendStreams = [&](const std::string &Name,
                         std::vector<Message> &Answers) {
    std::vector<std::thread> Clients;
    Answers.resize(StreamCount);
    for (int Number = 0; Number < StreamCount; ++Number)
      Clients.emplace_back([&, Number] {
        std::string Id = Name + std::to_string(Number);
        Answers[static_cast<size_t>(Number)] =
            call(Machines.frontend(First), "POST", "/lohu930/2f",
                 streamHeaders(Id, Number), "prompt " + Id, 25);
        const Message &Answer = Answers[static_cast<size_t>(Number)];
        Log.line("client " + Id + ": " + std::to_string(Answer.status()) +
                 ", " + readEndName(Answer.End) + ", last event " +
                 std::to_string(lastEvent(Answer.Body)));
      });
    return Clients;
  };
  std::vector<Message> Early;
  for (std::thread &Client : SendStreams("early", Early))
    Client.join();
  sleepFor(4.5);
  std::vector<Message> Answers;
  std::vector<std::thread> Clients = SendStreams("late", Answers);
  sleepFor(0.3);
  int64_t OverOthers = 0;
  if (Trouble) {
    std::vector<int> Used(3);
    {
      std::lock_guard<std::mutex> Guard(RunsLock);
      for (int Number = 0; Number < StreamCount; ++Number)
        for (const Run &Each : Runs["late" + std::to_string(Number)])
          if (Each.Replica == "i-engine-1")
            Used[Each.Front] += 1;
    }
    OverOthers = Used[1] + Used[2];
    Log.line(
        "streams of i-engine-1 over machine 2: " + std::to_string(Used[1]) +
        ", over machine 3: " + std::to_string(Used[2]));
    Machine &Between = Machines.machines()[Used[1] >= Used[2] ? 1 : 2];
    Log.line("planned stop of the machine in between");
    Machines.signal(Between, SIGTERM);
    Machines.awaitEnd(Between, 9);
  }
  for (std::thread &Client : Clients)
    Client.join();
  int Broken = 0;
  int Complete = 0;
  for (int Number = 0; Number < StreamCount; ++Number) {
    const Message &Answer = Answers[static_cast<size_t>(Number)];
    bool Ends = Answer.status() == 200 && Answer.End == ReadEnd::Complete;
    int Last = lastEvent(Answer.Body);
    if (!Ends)
      continue;
    Complete += 1;
    if (Last < EventsBeforePause + EventsAfterPause) {
      Broken += 1;
      Log.line("ORDER broken: the stream late" + std::to_string(Number) +
               " ends as complete after event " + std::to_string(Last) +
               " of " + std::to_string(EventsBeforePause + EventsAfterPause));
    }
  }
  Log.line("streams sent " + std::to_string(StreamCount) + ", complete " +
           std::to_string(Complete) + ", complete though cut " +
           std::to_string(Broken));
  if (Complete == 0 || (Trouble && OverOthers == 0))
    return CannotRun;
  return Broken > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Argc, char **Argv) { review::runScript(Argc, Argv, 3, runCase); }
