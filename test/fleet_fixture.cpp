//===- fleet_fixture.cpp - A small fleet in one process -------------------===//

#include "fleet_fixture.h"

#include "berylramp/billing.h"
#include "berylramp/json.h"
#include "berylramp/table.h"

#include "absl/time/clock.h"

namespace berylramp::test {

namespace {

constexpr absl::Duration PollInterval = absl::Milliseconds(10);
constexpr absl::Duration WaitTimeout = absl::Seconds(60);

const char *const PlatformText = R"json({
  "engines": [
    {"name": "e1", "place": "p1", "versions": {
      "m/good": {"share": 1.0, "token_ms": 1},
      "m/cheap": {"share": 1.0, "token_ms": 1}}},
    {"name": "e2", "place": "p2", "versions": {
      "m/good": {"share": 1.0, "token_ms": 1},
      "m/cheap": {"share": 1.0, "token_ms": 1}}}],
  "services": [{"name": "s1", "service": "works", "place": "p1"}]
})json";

const std::vector<std::string> InitialTable = {
    "workspace/w.title=Test",
    "model/m.title=Model",
    "version/m/good.cost_out=1000",
    "version/m/good.expected_share=0.99",
    "version/m/cheap.cost_out=100",
    "version/m/cheap.expected_share=0.99",
    "allow/w/m.allowed=yes",
    "allow-service/w/works.allowed=yes",
    "request-kind/note.share=0.9",
    "request-kind/note.max_answer=16",
    "request-kind/long.share=0.9",
    "request-kind/long.max_answer=400",
    "request-kind/order.service=works",
    "request-kind/order.idempotent=no",
    "request-kind/order.call_cost=7",
    "request-kind/look.service=works"};

} // namespace

bool eventually(const std::function<bool()> &Condition) {
  absl::Time Deadline = absl::Now() + WaitTimeout;
  while (absl::Now() < Deadline) {
    if (Condition())
      return true;
    absl::SleepFor(PollInterval);
  }
  return false;
}

std::string makeIdempotencyKey() {
  return makeUuidV7(absl::ToUnixMillis(absl::Now()));
}

void PartitionedEndpoints::set(const Endpoint &Address, bool IsPartitioned) {
  MutexLock Guard(&this->Lock);
  if (IsPartitioned)
    this->Endpoints.insert(Address);
  else
    this->Endpoints.erase(Address);
}

bool PartitionedEndpoints::has(const Endpoint &Address) const {
  MutexLock Guard(&this->Lock);
  return this->Endpoints.count(Address) != 0;
}

TestHost::TestHost(const EntrySettings &Settings,
                   PartitionedEndpoints &Partitioned)
    : Partitioned(Partitioned) {
  this->Entry = std::make_unique<standin::LocalEntry>(
      Settings, [this](RouterPorts &Ports) { this->interceptPorts(Ports); });
}

void TestHost::setPartitioned(bool Partition) {
  this->IsPartitioned = Partition;
  this->Partitioned.set(this->address(), Partition);
}

void TestHost::kill() {
  this->IsPartitioned = true;
  this->Entry->stop();
}

void TestHost::interceptPorts(RouterPorts &Ports) {
  const absl::Status PartitionError =
      absl::UnavailableError("the host is partitioned");
  Ports.Log.Append = [this, PartitionError, Append = Ports.Log.Append](
                         const StreamName &Stream,
                         const std::string &Data) -> absl::StatusOr<Offset> {
    if (this->IsPartitioned)
      return PartitionError;
    return Append(Stream, Data);
  };
  Ports.Log.Read = [this, PartitionError, Read = Ports.Log.Read](
                       const StreamName &Stream, Offset From,
                       absl::Duration Wait) -> absl::StatusOr<LogPage> {
    if (this->IsPartitioned)
      return PartitionError;
    absl::StatusOr<LogPage> Page = Read(Stream, From, Wait);
    // Drops an answer that was in transit when the partition began.
    if (this->IsPartitioned)
      return PartitionError;
    return Page;
  };
  Ports.Peers.Call =
      [this, PartitionError, Call = Ports.Peers.Call](
          const Endpoint &To, const std::string &Method,
          const Json::Value &Params) -> absl::StatusOr<Json::Value> {
    if (this->IsPartitioned || this->Partitioned.has(To))
      return PartitionError;
    return Call(To, Method, Params);
  };
}

TestFleet::TestFleet(int Count) : Pool(std::make_shared<HttpClientPool>()) {
  this->StandinPlatform =
      std::make_unique<standin::Platform>(*parseJson(PlatformText));
  absl::Status StartStatus = this->StandinPlatform->start();
  if (!StartStatus.ok())
    throw std::runtime_error(std::string(StartStatus.message()));
  for (int I = 0; I < Count; ++I)
    this->addHost(I);
}

TestFleet::~TestFleet() {
  this->applyKnobs(R"({"log":{"down":false}})");
  this->Hosts.clear();
  this->StandinPlatform->stop();
}

EntrySettings TestFleet::settingsFor(int Index) const {
  EntrySettings Settings;
  Settings.Host = HostId("h" + std::to_string(Index));
  Settings.Place = PlaceId(Index % 2 == 0 ? "p1" : "p2");
  Settings.Listen = Endpoint{"127.0.0.1", 0};
  Settings.Log = this->StandinPlatform->address();
  Settings.HostList = this->StandinPlatform->address();
  Settings.Rater = this->StandinPlatform->address();
  Settings.WorkspaceKeys = {{WorkspaceId("w"), CallerKey}};
  Settings.OperatorKeys = {OperatorKey};
  Settings.AdminKeys = {AdminKey};
  Settings.SessionKeys = {"test-session-key"};
  Settings.PeerKeys = {"test-peer-key"};
  Settings.Times.FreshnessBound = absl::Milliseconds(1500);
  Settings.Times.PeerSilenceTimeout = absl::Milliseconds(2500);
  Settings.Times.DetachedTimeout = absl::Milliseconds(4000);
  Settings.GossipInterval = absl::Milliseconds(50);
  Settings.LoadPollInterval = absl::Milliseconds(50);
  Settings.LogPollTimeout = absl::Milliseconds(100);
  Settings.BillFlushInterval = absl::Milliseconds(2);
  Settings.EntriesTtl = absl::Milliseconds(300);
  if (!this->Hosts.empty())
    Settings.Peers = {
        {this->Hosts.front()->id(), this->Hosts.front()->address()}};
  return Settings;
}

void TestFleet::addHost(int Index) {
  EntrySettings Settings = this->settingsFor(Index);
  this->Hosts.push_back(
      std::make_unique<TestHost>(Settings, this->Partitioned));
  TestHost &Added = *this->Hosts.back();
  this->StandinPlatform->addEntry(Added.id().text(), Settings.Place,
                                  Added.address());
}

void TestFleet::applyKnobs(const std::string &Json) {
  this->StandinPlatform->setKnobs(*parseJson(Json));
}

EditId TestFleet::publishEdit(const std::vector<std::string> &Cells,
                              Offset Base) {
  Edit NewEdit;
  NewEdit.Id = EditId(makeIdempotencyKey());
  NewEdit.Author = "tester";
  NewEdit.BaseOffset = Base;
  for (const std::string &Cell : Cells) {
    size_t Equals = Cell.find('=');
    size_t Dot = Cell.rfind('.', Equals);
    NewEdit.Changes.push_back(CellChange{Cell.substr(0, Dot),
                                         Cell.substr(Dot + 1, Equals - Dot - 1),
                                         Cell.substr(Equals + 1), false});
  }
  LogPort Log = makeHttpLog(this->Pool, this->StandinPlatform->address());
  absl::StatusOr<Offset> Appended = Log.Append(
      ConfigStream, encodeEdit(NewEdit, OperatorKeys{{OperatorKey}}));
  return NewEdit.Id;
}

void TestFleet::publishInitialTable() {
  EditId Id = this->publishEdit(InitialTable, NoOffset);
  for (size_t I = 0; I < this->Hosts.size(); ++I) {
    if (!this->waitUntilInForce(I, Id))
      throw std::runtime_error("the initial table did not come into force");
  }
  bool Ready = eventually([this] {
    for (size_t I = 0; I < this->Hosts.size(); ++I) {
      if (this->getAdmin(I, "/v1/admin/replicas")["replicas"].size() < 4 ||
          this->getAdmin(I, "/v1/admin/members")["members"].size() <
              this->Hosts.size())
        return false;
    }
    return true;
  });
  if (!Ready)
    throw std::runtime_error(
        "the hosts did not discover all replicas and peers");
}

Json::Value TestFleet::getAdmin(size_t Host, const std::string &Path) {
  HttpCall Call;
  Call.Path = Path;
  Call.Headers = {{"Authorization", std::string("Bearer ") + AdminKey}};
  HttpOutcome Answer = this->Pool->call(this->Hosts[Host]->address(), Call);
  absl::StatusOr<Json::Value> Body = parseJson(Answer.Body);
  return Body.ok() ? *Body : Json::Value();
}

Json::Value TestFleet::editStatus(size_t Host, const EditId &Id) {
  Json::Value Status = this->getAdmin(Host, "/v1/admin/edits/" + Id.text());
  return Status.isObject() && Status.isMember("verdict") ? Status
                                                         : Json::Value();
}

bool TestFleet::waitUntilInForce(size_t Host, const EditId &Id) {
  return eventually(
      [&] { return boolAt(this->editStatus(Host, Id), "in_force"); });
}

HttpOutcome TestFleet::sendChat(size_t Host, const std::string &Kind,
                                const std::vector<HeaderLine> &Headers,
                                bool Streamed) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = "/v1/chat/completions";
  Call.Headers = Headers;
  Call.Headers.push_back({"Authorization", std::string("Bearer ") + CallerKey});
  Call.Headers.push_back({"X-Request-Kind", Kind});
  Call.ReadTimeout = WaitTimeout;
  // Every prompt differs, because the stand-in engine derives from the prompt
  // whether its answer is good or bad.
  Json::Value Body;
  Body["stream"] = Streamed;
  Body["messages"][0]["role"] = "user";
  Body["messages"][0]["content"] =
      "prompt " + std::to_string(this->ChatCount++);
  Call.Body = writeJson(Body);
  return this->Pool->call(this->Hosts[Host]->address(), Call);
}

HttpOutcome TestFleet::sendNonIdempotent(size_t Host, const std::string &Key,
                                         const std::string &Body) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = "/v1/services/works/dig";
  Call.Body = Body;
  Call.ReadTimeout = WaitTimeout;
  Call.Headers = {{"Authorization", std::string("Bearer ") + CallerKey},
                  {"X-Request-Kind", "order"},
                  {"Idempotency-Key", Key}};
  return this->Pool->call(this->Hosts[Host]->address(), Call);
}

std::vector<std::string> TestFleet::billKeys() {
  LogPort Log = makeHttpLog(this->Pool, this->StandinPlatform->address());
  BillState State;
  absl::StatusOr<LogPage> Page =
      Log.Read(BillStream, Offset(0), absl::ZeroDuration());
  if (Page.ok()) {
    for (const LogRecord &Record : Page->Records)
      foldBills(State, Record.Position, Record.Data);
  }
  std::vector<std::string> Keys;
  for (const auto &[Key, CountedBill] : State.Counted)
    Keys.push_back(Key);
  return Keys;
}

int64_t TestFleet::runCount(const std::string &Key) {
  std::map<std::string, int64_t> Runs = this->StandinPlatform->runs();
  return Runs[Key];
}

int64_t TestFleet::startedCount(const std::string &Version) {
  int64_t Sum = 0;
  for (const char *Name : {"e1", "e2"})
    Sum += this->StandinPlatform->findEngine(Name)->startedAnswers()[Version];
  return Sum;
}

} // namespace berylramp::test
