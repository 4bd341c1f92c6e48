//===- platform.cpp - The stand-in platform as a whole --------------------===//
//
// Everything here is a fake for tests and measurements; it is never installed.
//
//===----------------------------------------------------------------------===//

#include "platform.h"

#include "berylramp/json.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include <thread>

namespace berylramp::standin {

namespace {

constexpr int StatusAccepted = 202;
constexpr int StatusUnavailable = 503;
constexpr int StatusNotFound = 404;
constexpr double GoodScore = 0.9;
constexpr double BadScore = 0.2;
constexpr absl::Duration WaitStep = absl::Milliseconds(20);

Endpoint endpointAt(const Json::Value &In, const char *Key) {
  Endpoint Out{"127.0.0.1", 0};
  parseEndpoint(textAt(In, Key, "127.0.0.1:0"), Out);
  return Out;
}

VersionModel versionModelOf(const Json::Value &In) {
  VersionModel Out;
  Out.TokenTime = absl::Milliseconds(numberAt(In, "token_ms", 2));
  Out.LengthShare = numberAt(In, "length_share", Out.LengthShare);
  Out.Shares[""] = numberAt(In, "share", 1);
  const Json::Value &ByKind = memberAt(In, "shares");
  if (ByKind.isObject()) {
    for (const std::string &Kind : ByKind.getMemberNames())
      Out.Shares[Kind] = ByKind[Kind].asDouble();
  }
  return Out;
}

EngineModel engineModelOf(const Json::Value &In) {
  EngineModel Out;
  Out.Name = textAt(In, "name");
  Out.Place = PlaceId(textAt(In, "place"));
  Out.Address = endpointAt(In, "address");
  Out.Slots = static_cast<int>(intAt(In, "slots", Out.Slots));
  Out.FirstTokenTime = absl::Milliseconds(numberAt(In, "first_ms", 5));
  Out.PromptTokenTime = absl::Microseconds(numberAt(In, "prompt_us", 20));
  Out.CacheTokens = intAt(In, "cache_tokens", Out.CacheTokens);
  Out.LinkDelay = absl::Milliseconds(numberAt(In, "link_ms"));
  const Json::Value &Versions = memberAt(In, "versions");
  if (Versions.isObject()) {
    for (const std::string &Name : Versions.getMemberNames())
      Out.Versions[Name] = versionModelOf(Versions[Name]);
  }
  return Out;
}

Json::Value listedHost(const std::string &Name, const PlaceId &Place,
                       const char *Role, const Endpoint &Address) {
  Json::Value Out;
  Out["name"] = Name;
  Out["place"] = Place.text();
  Out["role"] = Role;
  Out["address"] = Address.text();
  Out["state"] = "live";
  return Out;
}

} // namespace

PlainService::PlainService(std::string Name, ServiceId Service, PlaceId Place,
                           Endpoint Address)
    : Name(std::move(Name)), Service(std::move(Service)),
      Place(std::move(Place)), Address(std::move(Address)),
      Server(standinLimits()) {
  this->Server.route("GET", "/load", [](const HttpRequest &, HttpReply &Out) {
    Out.Body = "{\"running\":0,\"waiting\":0,\"slots\":64}";
  });
  for (const char *Method : {"GET", "POST", "PUT", "DELETE"})
    this->Server.route(Method, "/",
                       [this](const HttpRequest &In, HttpReply &Out) {
                         this->serve(In, Out);
                       });
}

absl::Status PlainService::start() {
  absl::StatusOr<Endpoint> Bound = this->Server.start(this->Address);
  if (!Bound.ok())
    return Bound.status();
  this->Address = *Bound;
  return absl::OkStatus();
}

void PlainService::stop() { this->Server.stop(); }

Json::Value PlainService::listed() const {
  Json::Value Out =
      listedHost(this->Name, this->Place, "service", this->Address);
  Out["service"] = this->Service.text();
  return Out;
}

void PlainService::setKnobs(const Json::Value &In) {
  MutexLock Hold(&this->Lock);
  this->LoseAnswers =
      static_cast<int>(intAt(In, "lose_answers", this->LoseAnswers));
  if (!memberAt(In, "delay_ms").isNull())
    this->Delay = absl::Milliseconds(intAt(In, "delay_ms"));
}

std::map<std::string, int64_t> PlainService::runs() const {
  MutexLock Hold(&this->Lock);
  return this->Runs;
}

void PlainService::serve(const HttpRequest &In, HttpReply &Out) {
  absl::Duration Wait;
  bool Loses = false;
  {
    MutexLock Hold(&this->Lock);
    std::string Key = In.header("Idempotency-Key");
    ++this->Runs[Key.empty() ? "(none)" : Key];
    Loses = this->LoseAnswers > 0;
    this->LoseAnswers -= Loses ? 1 : 0;
    Wait = this->Delay;
  }
  absl::SleepFor(Wait);
  Out.Body = absl::StrCat("{\"done\":true,\"path\":\"", In.Path, "\"}");
  if (Loses)
    Out.Stream = [](const HttpWriter &) { return false; };
}

Platform::Platform(const Json::Value &In)
    : Server(standinLimits()), Listen(endpointAt(In, "listen")) {
  this->Entries = arrayAt(In, "entries");
  for (const Json::Value &Item : arrayAt(In, "engines"))
    this->Engines.push_back(std::make_unique<Engine>(engineModelOf(Item)));
  for (const Json::Value &Item : arrayAt(In, "services"))
    this->Services.push_back(std::make_unique<PlainService>(
        textAt(Item, "name"), ServiceId(textAt(Item, "service")),
        PlaceId(textAt(Item, "place")), endpointAt(Item, "address")));
  this->setKnobs(memberAt(In, "knobs"));
  this->addRoutes();
}

Platform::~Platform() { this->stop(); }

void Platform::addRoutes() {
  this->Log.addRoutes(this->Server);
  this->Server.route(
      "GET", "/hosts",
      [this](const HttpRequest &, HttpReply &Out) { this->listHosts(Out); });
  this->Server.route(
      "POST", "/rate",
      [this](const HttpRequest &In, HttpReply &Out) { this->rate(In, Out); });
  this->Server.route(
      "GET", "/runs",
      [this](const HttpRequest &, HttpReply &Out) { this->reportRuns(Out); });
  this->Server.route("POST", "/knobs",
                     [this](const HttpRequest &In, HttpReply &Out) {
                       absl::StatusOr<Json::Value> Body = parseJson(In.Body);
                       if (Body.ok())
                         this->setKnobs(*Body);
                       Out.Body = "{}";
                     });
}

absl::Status Platform::start() {
  for (std::unique_ptr<Engine> &Each : this->Engines) {
    absl::Status Started = Each->start();
    if (!Started.ok())
      return Started;
  }
  for (std::unique_ptr<PlainService> &Each : this->Services) {
    absl::Status Started = Each->start();
    if (!Started.ok())
      return Started;
  }
  absl::StatusOr<Endpoint> Started = this->Server.start(this->Listen);
  if (!Started.ok())
    return Started.status();
  this->Bound = *Started;
  return absl::OkStatus();
}

void Platform::stop() {
  this->Log.close();
  // Each server waits for its idle connections, so all stop at once.
  std::vector<std::thread> Stopping;
  Stopping.emplace_back([this] { this->Server.stop(); });
  for (std::unique_ptr<Engine> &Each : this->Engines)
    Stopping.emplace_back([&Each] { Each->stop(); });
  for (std::unique_ptr<PlainService> &Each : this->Services)
    Stopping.emplace_back([&Each] { Each->stop(); });
  for (std::thread &Each : Stopping)
    Each.join();
}

Engine *Platform::findEngine(const std::string &Name) const {
  for (const std::unique_ptr<Engine> &Each : this->Engines) {
    if (Each->model().Name == Name)
      return Each.get();
  }
  return nullptr;
}

/// Knobs are grouped by what they turn: log, rater, hosts, service, and
/// engines by name ("*" for all).
void Platform::setKnobs(const Json::Value &In) {
  if (!In.isObject())
    return;
  this->Log.setKnobs(memberAt(In, "log"));
  const Json::Value &OfEngines = memberAt(In, "engines");
  for (std::unique_ptr<Engine> &Each : this->Engines) {
    const char *Name = Each->model().Name.c_str();
    for (const char *Key : {"*", Name}) {
      if (!memberAt(OfEngines, Key).isNull())
        Each->setKnobs(OfEngines[Key]);
    }
  }
  for (std::unique_ptr<PlainService> &Each : this->Services)
    Each->setKnobs(memberAt(In, "service"));
  MutexLock Hold(&this->Lock);
  const Json::Value &Rater = memberAt(In, "rater");
  this->RaterDown = boolAt(Rater, "down", this->RaterDown);
  if (!memberAt(Rater, "late_ms").isNull())
    this->RaterLate = absl::Milliseconds(intAt(Rater, "late_ms"));
  const Json::Value &Hosts = memberAt(In, "hosts");
  if (!memberAt(Hosts, "lag_ms").isNull())
    this->ListLag = absl::Milliseconds(intAt(Hosts, "lag_ms"));
}

void Platform::addEntry(const std::string &Name, const PlaceId &Place,
                        const Endpoint &Address) {
  MutexLock Hold(&this->Lock);
  this->Entries.append(listedHost(Name, Place, "entry", Address));
}

Json::Value Platform::hostsNow() const {
  Json::Value Out;
  Out["hosts"] = this->Entries;
  for (const std::unique_ptr<Engine> &Each : this->Engines) {
    const EngineModel &Model = Each->model();
    Json::Value Item =
        listedHost(Model.Name, Model.Place, "engine", Model.Address);
    Item["state"] = Each->isLeaving() ? "leaving" : "live";
    Out["hosts"].append(Item);
  }
  for (const std::unique_ptr<PlainService> &Each : this->Services)
    Out["hosts"].append(Each->listed());
  return Out;
}

void Platform::listHosts(HttpReply &Out) {
  MutexLock Hold(&this->Lock);
  if (absl::Now() - this->LastListAt >= this->ListLag) {
    this->LastList = this->hostsNow();
    this->LastListAt = absl::Now();
  }
  Out.Body = writeJson(this->LastList);
}

std::map<std::string, int64_t> Platform::runs() const {
  std::map<std::string, int64_t> Out;
  for (const std::unique_ptr<PlainService> &Each : this->Services) {
    for (const auto &[Key, Count] : Each->runs())
      Out[Key] += Count;
  }
  return Out;
}

void Platform::reportRuns(HttpReply &Out) const {
  Json::Value Body;
  Body["services"] = Json::Value(Json::objectValue);
  for (const auto &[Key, Count] : this->runs())
    Body["services"][Key] = Json::Int64(Count);
  for (const std::unique_ptr<Engine> &Each : this->Engines) {
    for (const auto &[Version, Count] : Each->begun()) {
      Json::Value &Sum = Body["versions"][Version];
      Sum = Json::Int64(Sum.asInt64() + Count);
    }
  }
  Body["appends"] = Json::Int64(this->Log.appends());
  Out.Body = writeJson(Body);
}

void Platform::rate(const HttpRequest &In, HttpReply &Out) {
  absl::StatusOr<Json::Value> Body = parseJson(In.Body);
  if (!Body.ok()) {
    Out.Status = StatusNotFound;
    return;
  }
  absl::Time Until = absl::Now() + absl::Milliseconds(intAt(*Body, "wait_ms"));
  std::string Key = textAt(*Body, "request") + "/" + textAt(*Body, "version");
  absl::Time AskedAt;
  {
    MutexLock Hold(&this->Lock);
    AskedAt = this->RateAskedAt.emplace(Key, absl::Now()).first->second;
  }
  while (true) {
    {
      MutexLock Hold(&this->Lock);
      bool IsDue = absl::Now() >= AskedAt + this->RaterLate;
      if (this->RaterDown) {
        Out.Status = StatusUnavailable;
        return;
      }
      if (IsDue) {
        this->RateAskedAt.erase(Key);
        break;
      }
    }
    if (absl::Now() >= Until) {
      Out.Status = StatusAccepted;
      return;
    }
    absl::SleepFor(WaitStep);
  }
  bool IsBad = absl::StrContains(textAt(*Body, "answer"), "poor");
  Json::Value Answer;
  Answer["score"] = IsBad ? BadScore : GoodScore;
  Out.Body = writeJson(Answer);
}

} // namespace berylramp::standin
