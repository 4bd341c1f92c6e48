//===- fleet_fixture.cpp - A small fleet in one process -------------------===//

#include "fleet_fixture.h"

#include "berylramp/billing.h"
#include "berylramp/json.h"
#include "berylramp/table.h"

#include "absl/time/clock.h"

namespace berylramp::test {

namespace {

constexpr absl::Duration PollEvery = absl::Milliseconds(10);
constexpr absl::Duration GiveUpAfter = absl::Seconds(60);

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

const std::vector<std::string> FirstTable = {
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
  absl::Time Until = absl::Now() + GiveUpAfter;
  while (absl::Now() < Until) {
    if (Condition())
      return true;
    absl::SleepFor(PollEvery);
  }
  return false;
}

std::string freshKey() { return makeUuidV7(absl::ToUnixMillis(absl::Now())); }

void CutList::set(const Endpoint &Address, bool IsCut) {
  MutexLock Hold(&this->Lock);
  if (IsCut)
    this->Cut.insert(Address);
  else
    this->Cut.erase(Address);
}

bool CutList::has(const Endpoint &Address) const {
  MutexLock Hold(&this->Lock);
  return this->Cut.count(Address) != 0;
}

TestHost::TestHost(const EntrySettings &Settings, CutList &Cuts) : Cuts(Cuts) {
  this->Entry = std::make_unique<standin::LocalEntry>(
      Settings, [this](RouterPorts &Ports) { this->adapt(Ports); });
}

void TestHost::cutOff(bool Wanted) {
  this->IsCut = Wanted;
  this->Cuts.set(this->address(), Wanted);
}

void TestHost::kill() {
  this->IsCut = true;
  this->Entry->stop();
}

void TestHost::adapt(RouterPorts &Ports) {
  const absl::Status Cut = absl::UnavailableError("cut off");
  Ports.Log.Append = [this, Cut, Append = Ports.Log.Append](
                         const StreamName &Stream,
                         const std::string &Data) -> absl::StatusOr<Offset> {
    if (this->IsCut)
      return Cut;
    return Append(Stream, Data);
  };
  Ports.Log.Read = [this, Cut, Read = Ports.Log.Read](
                       const StreamName &Stream, Offset From,
                       absl::Duration Wait) -> absl::StatusOr<LogPage> {
    if (this->IsCut)
      return Cut;
    absl::StatusOr<LogPage> Page = Read(Stream, From, Wait);
    // An answer under way when the cut came does not arrive.
    if (this->IsCut)
      return Cut;
    return Page;
  };
  Ports.Peers.Call =
      [this, Cut, Call = Ports.Peers.Call](
          const Endpoint &To, const std::string &Method,
          const Json::Value &Params) -> absl::StatusOr<Json::Value> {
    if (this->IsCut || this->Cuts.has(To))
      return Cut;
    return Call(To, Method, Params);
  };
}

TestFleet::TestFleet(int Count) : Pool(std::make_shared<HttpClientPool>()) {
  this->Services =
      std::make_unique<standin::Platform>(*parseJson(PlatformText));
  absl::Status Started = this->Services->start();
  if (!Started.ok())
    throw std::runtime_error(std::string(Started.message()));
  for (int I = 0; I < Count; ++I)
    this->addHost(I);
}

TestFleet::~TestFleet() {
  this->knobs(R"({"log":{"down":false}})");
  this->Hosts.clear();
  this->Services->stop();
}

EntrySettings TestFleet::settingsFor(int Index) const {
  EntrySettings Out;
  Out.Host = HostId("h" + std::to_string(Index));
  Out.Place = PlaceId(Index % 2 == 0 ? "p1" : "p2");
  Out.Listen = Endpoint{"127.0.0.1", 0};
  Out.Log = this->Services->address();
  Out.HostList = this->Services->address();
  Out.Rater = this->Services->address();
  Out.WorkspaceKeys = {{WorkspaceId("w"), CallerKey}};
  Out.OperatorKeys = {OperatorKey};
  Out.AdminKeys = {AdminKey};
  Out.SessionKeys = {"test-session-key"};
  Out.PeerKeys = {"test-peer-key"};
  Out.Times.FreshnessBound = absl::Milliseconds(1500);
  Out.Times.PeerSilenceTimeout = absl::Milliseconds(2500);
  Out.Times.DetachedTimeout = absl::Milliseconds(4000);
  Out.GossipInterval = absl::Milliseconds(50);
  Out.LoadPollInterval = absl::Milliseconds(50);
  Out.LogPollTimeout = absl::Milliseconds(100);
  Out.BillFlushInterval = absl::Milliseconds(2);
  Out.EntriesTtl = absl::Milliseconds(300);
  if (!this->Hosts.empty())
    Out.Peers = {{this->Hosts.front()->id(), this->Hosts.front()->address()}};
  return Out;
}

void TestFleet::addHost(int Index) {
  EntrySettings Settings = this->settingsFor(Index);
  this->Hosts.push_back(std::make_unique<TestHost>(Settings, this->Cuts));
  TestHost &Added = *this->Hosts.back();
  this->Services->addEntry(Added.id().text(), Settings.Place, Added.address());
}

void TestFleet::knobs(const std::string &Json) {
  this->Services->setKnobs(*parseJson(Json));
}

EditId TestFleet::publish(const std::vector<std::string> &Texts, Offset Base) {
  Edit Out;
  Out.Id = EditId(freshKey());
  Out.Author = "tester";
  Out.BaseOffset = Base;
  for (const std::string &Text : Texts) {
    size_t Equals = Text.find('=');
    size_t Dot = Text.rfind('.', Equals);
    Out.Changes.push_back(CellChange{Text.substr(0, Dot),
                                     Text.substr(Dot + 1, Equals - Dot - 1),
                                     Text.substr(Equals + 1), false});
  }
  LogPort Log = makeHttpLog(this->Pool, this->Services->address());
  absl::StatusOr<Offset> At =
      Log.Append(ConfigStream, encodeEdit(Out, OperatorKeys{{OperatorKey}}));
  return Out.Id;
}

void TestFleet::publishTable() {
  EditId Id = this->publish(FirstTable, NoOffset);
  for (size_t I = 0; I < this->Hosts.size(); ++I) {
    if (!this->waitInForce(I, Id))
      throw std::runtime_error("the first table did not come in force");
  }
  bool Ready = eventually([this] {
    for (size_t I = 0; I < this->Hosts.size(); ++I) {
      if (this->admin(I, "/v1/admin/replicas")["replicas"].size() < 4 ||
          this->admin(I, "/v1/admin/members")["members"].size() <
              this->Hosts.size())
        return false;
    }
    return true;
  });
  if (!Ready)
    throw std::runtime_error("the hosts did not find replicas and peers");
}

Json::Value TestFleet::admin(size_t Host, const std::string &Path) {
  HttpCall Call;
  Call.Path = Path;
  Call.Headers = {{"Authorization", std::string("Bearer ") + AdminKey}};
  HttpOutcome Out = this->Pool->call(this->Hosts[Host]->address(), Call);
  absl::StatusOr<Json::Value> Body = parseJson(Out.Body);
  return Body.ok() ? *Body : Json::Value();
}

Json::Value TestFleet::editStanding(size_t Host, const EditId &Id) {
  Json::Value Found = this->admin(Host, "/v1/admin/edits/" + Id.text());
  return Found.isObject() && Found.isMember("verdict") ? Found : Json::Value();
}

bool TestFleet::waitInForce(size_t Host, const EditId &Id) {
  return eventually(
      [&] { return boolAt(this->editStanding(Host, Id), "in_force"); });
}

HttpOutcome TestFleet::chat(size_t Host, const std::string &Kind,
                            const std::vector<HeaderLine> &Headers,
                            bool Streamed) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = "/v1/chat/completions";
  Call.Headers = Headers;
  Call.Headers.push_back({"Authorization", std::string("Bearer ") + CallerKey});
  Call.Headers.push_back({"X-Request-Kind", Kind});
  Call.ReadTimeout = GiveUpAfter;
  // Prompts differ, since an engine's answer is good or bad by its prompt.
  Json::Value Body;
  Body["stream"] = Streamed;
  Body["messages"][0]["role"] = "user";
  Body["messages"][0]["content"] =
      "prompt " + std::to_string(this->ChatNumber++);
  Call.Body = writeJson(Body);
  return this->Pool->call(this->Hosts[Host]->address(), Call);
}

HttpOutcome TestFleet::order(size_t Host, const std::string &Key,
                             const std::string &Body) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = "/v1/services/works/dig";
  Call.Body = Body;
  Call.ReadTimeout = GiveUpAfter;
  Call.Headers = {{"Authorization", std::string("Bearer ") + CallerKey},
                  {"X-Request-Kind", "order"},
                  {"Idempotency-Key", Key}};
  return this->Pool->call(this->Hosts[Host]->address(), Call);
}

std::vector<std::string> TestFleet::bills() {
  LogPort Log = makeHttpLog(this->Pool, this->Services->address());
  BillState State;
  absl::StatusOr<LogPage> Page =
      Log.Read(BillStream, Offset(0), absl::ZeroDuration());
  if (Page.ok()) {
    for (const LogRecord &Record : Page->Records)
      foldBills(State, Record.Position, Record.Data);
  }
  std::vector<std::string> Out;
  for (const auto &[Key, Which] : State.Counted)
    Out.push_back(Key);
  return Out;
}

int64_t TestFleet::runsOf(const std::string &Key) {
  std::map<std::string, int64_t> Runs = this->Services->runs();
  return Runs[Key];
}

int64_t TestFleet::begunOn(const std::string &Version) {
  int64_t Sum = 0;
  for (const char *Name : {"e1", "e2"})
    Sum += this->Services->findEngine(Name)->startedAnswers()[Version];
  return Sum;
}

} // namespace berylramp::test
