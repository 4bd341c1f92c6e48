//===- smuggled_request.cpp - A body that looks like a request ------------===//
//
// Clients post orders whose body is the text of another request. With the
// disruption they state a transfer coding other than chunks and no length;
// without it, the length of the body. No client sends the inner requests, so no
// replica may run one, and no order may run without its body.
//
//===----------------------------------------------------------------------===//

#include "platform.h"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace review;

constexpr int Rounds = 5;

struct Run {
  std::string Id;
  std::string Target;
  std::string Body;
};

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 3)
    return 2;
  openRecord(Argv[2]);
  const char *Text = std::getenv("TROUBLE");
  bool Trouble = Text == nullptr || std::string(Text) != "0";
  record(Trouble ? "with the disruption" : "without the disruption");
  std::string Prefix = addressPrefix();
  const char *Zones[] = {"colombo-a", "kandy-a", "galle-a"};
  Store Platform;
  int StorePort = Platform.listen(Prefix + "200");
  Platform.put("keyed.op", "config",
               configuration(1,
                             {routeRow("dig-order", "/dig/", "unsafe",
                                       "works-app", 1, 1500, 150)},
                             {"works-app"}));
  std::mutex Lock;
  std::vector<Run> Runs;
  std::vector<std::unique_ptr<Replica>> Replicas;
  for (int Index = 0; Index < 3; ++Index) {
    Replicas.push_back(
        std::make_unique<Replica>(Platform, "i-works-" + std::to_string(Index),
                                  "works-app", Zones[Index], "v1"));
    Replica &Added = *Replicas.back();
    Added.OnRequest = [&, Source = &Added](Connection &Caller,
                                           const Message &Request) {
      Run Seen{Request.header("Berylramp-Attempt-Id"), Request.target(),
               Request.Body};
      record("replica " + Source->Id + " runs " + Seen.Id + " " + Seen.Target +
             " with a body of " + std::to_string(Seen.Body.size()) + " bytes");
      {
        std::lock_guard<std::mutex> Guard(Lock);
        Runs.push_back(Seen);
      }
      sleepFor(Source->WorkTime);
      Caller.write(answerOf(*Source, Request, 200, "done\n"));
    };
    Added.start(Prefix + "100");
  }
  int Port = freePort(Prefix + "1");
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<std::string> Seeds;
  for (int Index = 0; Index < 3; ++Index)
    Seeds.push_back(Prefix + std::to_string(Index + 1) + ":" +
                    std::to_string(Port + 2));
  for (int Index = 0; Index < 3; ++Index) {
    Daemons.push_back(std::make_unique<Daemon>(
        "edge-" + std::to_string(Index + 1), Prefix + std::to_string(Index + 1),
        Port, Zones[Index]));
    Daemons.back()->start(Argv[1], Prefix + "200", StorePort, Seeds);
  }
  if (!awaitReady(Daemons, 15))
    return 2;

  // What clients sent as requests of their own: the body by the id.
  std::map<std::string, std::string> Sent;
  std::set<std::string> Inner;
  for (const char *Coding :
       {"identity", "gzip", "deflate", "chunked, identity"})
    for (int Round = 0; Round < Rounds; ++Round) {
      Daemon &Host = *Daemons[static_cast<size_t>(Round % 3)];
      std::string Id = freshId();
      std::string InnerId = freshId();
      std::string Body = "POST /dig/inner HTTP/1.1\r\nHost: ficu95.example\r\n"
                         "Berylramp-Attempt-Id: " +
                         InnerId +
                         "\r\nBerylramp-Deadline-Ms: 1500\r\n"
                         "Content-Length: 0\r\n\r\n";
      Sent[Id] = Body;
      Inner.insert(InnerId);
      std::string Framing =
          Trouble ? "Transfer-Encoding: " + std::string(Coding)
                  : "Content-Length: " + std::to_string(Body.size());
      std::unique_ptr<Connection> Caller =
          Connection::open(Host.Ip, Host.frontend(), 1);
      if (Caller == nullptr)
        return 2;
      Caller->write("POST /dig/7 HTTP/1.1\r\nHost: ficu95.example\r\n"
                    "Berylramp-Attempt-Id: " +
                    Id + "\r\nBerylramp-Deadline-Ms: 1500\r\n" + Framing +
                    "\r\n\r\n" + Body);
      record("client sends " + Id + " to " + Host.Name + ": POST /dig/7, " +
             Framing + ", body with the text of " + InnerId);
      Message Answer;
      int Answers = 0;
      while (Caller->read(Answer, 0.4, true)) {
        Answers += 1;
        record("client gets " + std::to_string(Answer.status()) + " for " +
               Answer.header("Berylramp-Attempt-Id"));
      }
      record("client got " + std::to_string(Answers) + " answers to " + Id);
    }
  sleepFor(0.5);
  int Smuggled = 0;
  int Changed = 0;
  std::lock_guard<std::mutex> Guard(Lock);
  for (const Run &Seen : Runs) {
    auto Found = Sent.find(Seen.Id);
    Smuggled += Inner.count(Seen.Id) != 0 || Found == Sent.end() ? 1 : 0;
    Changed += Found != Sent.end() && Found->second != Seen.Body ? 1 : 0;
  }
  char Line[256];
  std::snprintf(Line, sizeof(Line),
                "%d requests sent, %d run; %d runs of requests that were "
                "smuggled inside another one, %d runs with a changed body. %s",
                static_cast<int>(Sent.size()), static_cast<int>(Runs.size()),
                Smuggled, Changed, Smuggled + Changed > 0 ? "BROKEN" : "held");
  record(Line);
  std::puts(Line);
  return Smuggled + Changed > 0 ? 1 : 0;
}
