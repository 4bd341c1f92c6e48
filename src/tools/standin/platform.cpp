//===- platform.cpp - Stand-in of the whole platform ----------------------===//
//
// A fake for tests and measurements that is never installed.
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
constexpr absl::Duration RatingPollInterval = absl::Milliseconds(20);

Endpoint endpointAt(const Json::Value &Source, const char *Key) {
  Endpoint Address{"127.0.0.1", 0};
  parseEndpoint(textAt(Source, Key, "127.0.0.1:0"), Address);
  return Address;
}

VersionModel decodeVersionModel(const Json::Value &Source) {
  VersionModel Model;
  Model.TokenTime = absl::Milliseconds(numberAt(Source, "token_ms", 2));
  Model.LengthShare = numberAt(Source, "length_share", Model.LengthShare);
  Model.Shares[""] = numberAt(Source, "share", 1);
  const Json::Value &ByKind = memberAt(Source, "shares");
  if (ByKind.isObject()) {
    for (const std::string &Kind : ByKind.getMemberNames())
      Model.Shares[Kind] = ByKind[Kind].asDouble();
  }
  return Model;
}

EngineModel decodeEngineModel(const Json::Value &Source) {
  EngineModel Model;
  Model.Name = textAt(Source, "name");
  Model.Place = PlaceId(textAt(Source, "place"));
  Model.Address = endpointAt(Source, "address");
  Model.Slots = static_cast<int>(intAt(Source, "slots", Model.Slots));
  Model.FirstTokenTime = absl::Milliseconds(numberAt(Source, "first_ms", 5));
  Model.PromptTokenTime = absl::Microseconds(numberAt(Source, "prompt_us", 20));
  Model.CacheTokens = intAt(Source, "cache_tokens", Model.CacheTokens);
  Model.LinkDelay = absl::Milliseconds(numberAt(Source, "link_ms"));
  const Json::Value &Versions = memberAt(Source, "versions");
  if (Versions.isObject()) {
    for (const std::string &Name : Versions.getMemberNames())
      Model.Versions[Name] = decodeVersionModel(Versions[Name]);
  }
  return Model;
}

Json::Value makeHostListItem(const std::string &Name, const PlaceId &Place,
                             const char *Role, const Endpoint &Address) {
  Json::Value Item;
  Item["name"] = Name;
  Item["place"] = Place.text();
  Item["role"] = Role;
  Item["address"] = Address.text();
  Item["state"] = "live";
  return Item;
}

} // namespace

PlainService::PlainService(std::string Name, ServiceId Service, PlaceId Place,
                           Endpoint Address)
    : Name(std::move(Name)), Service(std::move(Service)),
      Place(std::move(Place)), Address(std::move(Address)),
      Server(standinLimits()) {
  this->Server.route("GET", "/load", [](const HttpRequest &, HttpReply &Reply) {
    Reply.Body = "{\"running\":0,\"waiting\":0,\"slots\":64}";
  });
  for (const char *Method : {"GET", "POST", "PUT", "DELETE"})
    this->Server.route(Method, "/",
                       [this](const HttpRequest &Request, HttpReply &Reply) {
                         this->handleCall(Request, Reply);
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

Json::Value PlainService::hostListItem() const {
  Json::Value Item =
      makeHostListItem(this->Name, this->Place, "service", this->Address);
  Item["service"] = this->Service.text();
  return Item;
}

void PlainService::setKnobs(const Json::Value &Changes) {
  MutexLock Guard(&this->Lock);
  this->AnswersToDrop =
      static_cast<int>(intAt(Changes, "lose_answers", this->AnswersToDrop));
  if (!memberAt(Changes, "delay_ms").isNull())
    this->Delay = absl::Milliseconds(intAt(Changes, "delay_ms"));
}

std::map<std::string, int64_t> PlainService::runs() const {
  MutexLock Guard(&this->Lock);
  return this->Runs;
}

void PlainService::handleCall(const HttpRequest &Request, HttpReply &Reply) {
  absl::Duration Wait;
  bool DropsAnswer = false;
  {
    MutexLock Guard(&this->Lock);
    std::string Key = Request.header("Idempotency-Key");
    ++this->Runs[Key.empty() ? "(none)" : Key];
    DropsAnswer = this->AnswersToDrop > 0;
    this->AnswersToDrop -= DropsAnswer ? 1 : 0;
    Wait = this->Delay;
  }
  absl::SleepFor(Wait);
  Reply.Body = absl::StrCat("{\"done\":true,\"path\":\"", Request.Path, "\"}");
  if (DropsAnswer)
    Reply.Stream = [](const HttpWriter &) { return false; };
}

Platform::Platform(const Json::Value &Description)
    : Server(standinLimits()), Listen(endpointAt(Description, "listen")) {
  this->Entries = arrayAt(Description, "entries");
  for (const Json::Value &Item : arrayAt(Description, "engines"))
    this->Engines.push_back(std::make_unique<Engine>(decodeEngineModel(Item)));
  for (const Json::Value &Item : arrayAt(Description, "services"))
    this->Services.push_back(std::make_unique<PlainService>(
        textAt(Item, "name"), ServiceId(textAt(Item, "service")),
        PlaceId(textAt(Item, "place")), endpointAt(Item, "address")));
  this->setKnobs(memberAt(Description, "knobs"));
  this->addRoutes();
}

Platform::~Platform() { this->stop(); }

void Platform::addRoutes() {
  this->Log.addRoutes(this->Server);
  this->Server.route("GET", "/hosts",
                     [this](const HttpRequest &, HttpReply &Reply) {
                       this->handleHosts(Reply);
                     });
  this->Server.route("POST", "/rate",
                     [this](const HttpRequest &Request, HttpReply &Reply) {
                       this->handleRate(Request, Reply);
                     });
  this->Server.route("GET", "/runs",
                     [this](const HttpRequest &, HttpReply &Reply) {
                       this->handleRuns(Reply);
                     });
  this->Server.route(
      "POST", "/knobs", [this](const HttpRequest &Request, HttpReply &Reply) {
        absl::StatusOr<Json::Value> Body = parseJson(Request.Body);
        if (Body.ok())
          this->setKnobs(*Body);
        Reply.Body = "{}";
      });
}

absl::Status Platform::start() {
  for (std::unique_ptr<Engine> &Backend : this->Engines) {
    absl::Status Started = Backend->start();
    if (!Started.ok())
      return Started;
  }
  for (std::unique_ptr<PlainService> &Backend : this->Services) {
    absl::Status Started = Backend->start();
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
  // Stopping a server waits for its idle connections. All servers stop in
  // parallel, so that these waits do not add up.
  std::vector<std::thread> Stopping;
  Stopping.emplace_back([this] { this->Server.stop(); });
  for (std::unique_ptr<Engine> &Backend : this->Engines)
    Stopping.emplace_back([&Backend] { Backend->stop(); });
  for (std::unique_ptr<PlainService> &Backend : this->Services)
    Stopping.emplace_back([&Backend] { Backend->stop(); });
  for (std::thread &Thread : Stopping)
    Thread.join();
}

Engine *Platform::findEngine(const std::string &Name) const {
  for (const std::unique_ptr<Engine> &Candidate : this->Engines) {
    if (Candidate->model().Name == Name)
      return Candidate.get();
  }
  return nullptr;
}

/// Knobs are grouped by target: log, rater, hosts, service, and engines by name
/// ("*" for all engines).
void Platform::setKnobs(const Json::Value &Changes) {
  if (!Changes.isObject())
    return;
  this->Log.setKnobs(memberAt(Changes, "log"));
  const Json::Value &EngineChanges = memberAt(Changes, "engines");
  for (std::unique_ptr<Engine> &Backend : this->Engines) {
    const char *Name = Backend->model().Name.c_str();
    for (const char *Key : {"*", Name}) {
      if (!memberAt(EngineChanges, Key).isNull())
        Backend->setKnobs(EngineChanges[Key]);
    }
  }
  for (std::unique_ptr<PlainService> &Backend : this->Services)
    Backend->setKnobs(memberAt(Changes, "service"));
  MutexLock Guard(&this->Lock);
  const Json::Value &Rater = memberAt(Changes, "rater");
  this->RaterDown = boolAt(Rater, "down", this->RaterDown);
  if (!memberAt(Rater, "late_ms").isNull())
    this->RaterDelay = absl::Milliseconds(intAt(Rater, "late_ms"));
  const Json::Value &Hosts = memberAt(Changes, "hosts");
  if (!memberAt(Hosts, "lag_ms").isNull())
    this->HostListLag = absl::Milliseconds(intAt(Hosts, "lag_ms"));
}

void Platform::addEntry(const std::string &Name, const PlaceId &Place,
                        const Endpoint &Address) {
  MutexLock Guard(&this->Lock);
  this->Entries.append(makeHostListItem(Name, Place, "entry", Address));
}

Json::Value Platform::currentHosts() const {
  Json::Value List;
  List["hosts"] = this->Entries;
  for (const std::unique_ptr<Engine> &Backend : this->Engines) {
    const EngineModel &Model = Backend->model();
    Json::Value Item =
        makeHostListItem(Model.Name, Model.Place, "engine", Model.Address);
    Item["state"] = Backend->isLeaving() ? "leaving" : "live";
    List["hosts"].append(Item);
  }
  for (const std::unique_ptr<PlainService> &Backend : this->Services)
    List["hosts"].append(Backend->hostListItem());
  return List;
}

void Platform::handleHosts(HttpReply &Reply) {
  MutexLock Guard(&this->Lock);
  if (absl::Now() - this->LastHostListAt >= this->HostListLag) {
    this->LastHostList = this->currentHosts();
    this->LastHostListAt = absl::Now();
  }
  Reply.Body = writeJson(this->LastHostList);
}

std::map<std::string, int64_t> Platform::runs() const {
  std::map<std::string, int64_t> Total;
  for (const std::unique_ptr<PlainService> &Backend : this->Services) {
    for (const auto &[Key, Count] : Backend->runs())
      Total[Key] += Count;
  }
  return Total;
}

void Platform::handleRuns(HttpReply &Reply) const {
  Json::Value Body;
  Body["services"] = Json::Value(Json::objectValue);
  for (const auto &[Key, Count] : this->runs())
    Body["services"][Key] = Json::Int64(Count);
  for (const std::unique_ptr<Engine> &Backend : this->Engines) {
    for (const auto &[Version, Count] : Backend->startedAnswers()) {
      Json::Value &Sum = Body["versions"][Version];
      Sum = Json::Int64(Sum.asInt64() + Count);
    }
  }
  Body["appends"] = Json::Int64(this->Log.appends());
  Reply.Body = writeJson(Body);
}

void Platform::handleRate(const HttpRequest &Request, HttpReply &Reply) {
  absl::StatusOr<Json::Value> Body = parseJson(Request.Body);
  if (!Body.ok()) {
    Reply.Status = StatusNotFound;
    return;
  }
  absl::Time Deadline =
      absl::Now() + absl::Milliseconds(intAt(*Body, "wait_ms"));
  std::string Key = textAt(*Body, "request") + "/" + textAt(*Body, "version");
  absl::Time FirstRequestAt;
  {
    MutexLock Guard(&this->Lock);
    FirstRequestAt =
        this->FirstRateRequestAt.emplace(Key, absl::Now()).first->second;
  }
  while (true) {
    {
      MutexLock Guard(&this->Lock);
      bool IsDue = absl::Now() >= FirstRequestAt + this->RaterDelay;
      if (this->RaterDown) {
        Reply.Status = StatusUnavailable;
        return;
      }
      if (IsDue) {
        this->FirstRateRequestAt.erase(Key);
        break;
      }
    }
    if (absl::Now() >= Deadline) {
      Reply.Status = StatusAccepted;
      return;
    }
    absl::SleepFor(RatingPollInterval);
  }
  bool IsBad = absl::StrContains(textAt(*Body, "answer"), "poor");
  Json::Value Answer;
  Answer["score"] = IsBad ? BadScore : GoodScore;
  Reply.Body = writeJson(Answer);
}

} // namespace berylramp::standin
