//===- workload.cpp - Workload of simulated callers -----------------------===//
//
// All arrivals are drawn before the run, so that a slow answer does not change
// the requests that follow.
//
//===----------------------------------------------------------------------===//

#include "workload.h"

#include "berylramp/json.h"

#include "absl/strings/str_cat.h"
#include <random>

namespace berylramp::load {

namespace {

constexpr int64_t SessionCount = 20;
constexpr double ClosedLoopRequestsPerWorker = 2000;
constexpr const char *Filler = "lorem ipsum dolor sit amet consectetur ";

KindShare decodeKind(const Json::Value &Item) {
  KindShare Result;
  Result.Kind = RequestKindId(textAt(Item, "kind"));
  Result.Weight = numberAt(Item, "weight", Result.Weight);
  Result.MaxTokens =
      Tokens(intAt(Item, "max_tokens", Result.MaxTokens.count()));
  Result.Priority = static_cast<int>(intAt(Item, "priority"));
  Result.Streamed = boolAt(Item, "streamed");
  Result.InSession = boolAt(Item, "session");
  Result.PrefixBytes =
      static_cast<int>(intAt(Item, "prefix_bytes", Result.PrefixBytes));
  Result.UniqueBytes =
      static_cast<int>(intAt(Item, "own_bytes", Result.UniqueBytes));
  Result.Prefixes = static_cast<int>(
      std::max<int64_t>(1, intAt(Item, "prefixes", Result.Prefixes)));
  Result.Service = ServiceId(textAt(Item, "service"));
  Result.Path = textAt(Item, "path", Result.Path);
  Result.IsNonIdempotent = boolAt(Item, "order");
  return Result;
}

/// Returns a text of \p Bytes bytes that begins with \p Beginning.
std::string makeText(const std::string &Beginning, int Bytes) {
  std::string Text = Beginning + " ";
  while (static_cast<int>(Text.size()) < Bytes)
    Text += Filler;
  Text.resize(static_cast<size_t>(std::max(Bytes, 1)));
  return Text;
}

template <typename T>
std::discrete_distribution<size_t> byWeight(const std::vector<T> &Items) {
  std::vector<double> Weights;
  Weights.reserve(Items.size());
  for (const T &Item : Items)
    Weights.push_back(Item.Weight);
  return {Weights.begin(), Weights.end()};
}

/// Returns a distribution that draws lower numbers more often, because callers
/// use some prompts more than others.
std::discrete_distribution<int> skewedDraw(int Count) {
  std::vector<double> Weights;
  Weights.reserve(static_cast<size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Weights.push_back(1.0 / (I + 1));
  return {Weights.begin(), Weights.end()};
}

void readLists(const Json::Value &Source, Workload &Load) {
  for (const Json::Value &Item : arrayAt(Source, "entries")) {
    Endpoint Address;
    if (Item.isString() && parseEndpoint(Item.asString(), Address))
      Load.Entries.push_back(Address);
  }
  for (const Json::Value &Item : arrayAt(Source, "workspaces"))
    Load.Workspaces.push_back(
        WorkspaceShare{WorkspaceId(textAt(Item, "workspace")),
                       textAt(Item, "key"), numberAt(Item, "weight", 1)});
  for (const Json::Value &Item : arrayAt(Source, "kinds"))
    Load.Kinds.push_back(decodeKind(Item));
}

} // namespace

absl::StatusOr<Workload> readWorkload(const std::string &Text) {
  absl::StatusOr<Json::Value> Source = parseJson(Text);
  if (!Source.ok())
    return Source.status();
  Workload Load;
  readLists(*Source, Load);
  Load.IsPinned = boolAt(*Source, "pinned");
  Load.Place = textAt(*Source, "place");
  Load.AdminKey = textAt(*Source, "admin_key");
  parseEndpoint(textAt(*Source, "log"), Load.Log);
  Load.Seed = static_cast<uint64_t>(intAt(*Source, "seed", 1));
  Load.Rate = numberAt(*Source, "rate", Load.Rate);
  Load.Workers = static_cast<int>(
      std::max<int64_t>(1, intAt(*Source, "workers", Load.Workers)));
  Load.RunDuration = absl::Seconds(numberAt(*Source, "seconds", 5));
  Load.MaxRequests = intAt(*Source, "max_requests");
  if (Load.Entries.empty() || Load.Workspaces.empty() || Load.Kinds.empty())
    return absl::InvalidArgumentError("the workload needs non-empty lists "
                                      "'entries', 'workspaces' and 'kinds'");
  return Load;
}

std::vector<Arrival> makeArrivals(const Workload &Load) {
  std::mt19937_64 Random(Load.Seed);
  auto Workspaces = byWeight(Load.Workspaces);
  auto Kinds = byWeight(Load.Kinds);
  std::exponential_distribution<double> Intervals(std::max(Load.Rate, 1e-9));
  std::vector<Arrival> Arrivals;
  absl::Duration DueAt = absl::ZeroDuration();
  bool IsOpenLoop = Load.Rate > 0;
  int64_t MaxCount = Load.MaxRequests > 0 ? Load.MaxRequests : INT64_MAX;
  if (!IsOpenLoop)
    MaxCount = std::min<int64_t>(
        MaxCount,
        static_cast<int64_t>(ClosedLoopRequestsPerWorker * Load.Workers));
  while (static_cast<int64_t>(Arrivals.size()) < MaxCount) {
    if (IsOpenLoop)
      DueAt += absl::Seconds(Intervals(Random));
    if (DueAt >= Load.RunDuration)
      break;
    Arrival Request;
    Request.Number = static_cast<int64_t>(Arrivals.size());
    Request.DueAt = DueAt;
    Request.Workspace = Workspaces(Random);
    Request.Kind = Kinds(Random);
    const KindShare &Kind = Load.Kinds[Request.Kind];
    int Prefix = skewedDraw(Kind.Prefixes)(Random);
    Request.Prefix =
        makeText(absl::StrCat("shared ", Kind.Kind.text(), " ", Prefix),
                 Kind.PrefixBytes);
    Request.Prompt =
        makeText(absl::StrCat("kind=", Kind.Kind.text(), " number ",
                              Request.Number, " seed ", Load.Seed),
                 std::max(Kind.UniqueBytes, 64));
    Request.Session = static_cast<int64_t>(Random() % SessionCount);
    Arrivals.push_back(std::move(Request));
  }
  return Arrivals;
}

} // namespace berylramp::load
