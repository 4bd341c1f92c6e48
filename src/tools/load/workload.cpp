//===- workload.cpp - What callers ask for --------------------------------===//
//
// Arrivals are drawn before the run, so that a slow answer changes nothing of
// what is asked later.
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

KindShare kindOf(const Json::Value &In) {
  KindShare Out;
  Out.Kind = RequestKindId(textAt(In, "kind"));
  Out.Weight = numberAt(In, "weight", Out.Weight);
  Out.MaxTokens = Tokens(intAt(In, "max_tokens", Out.MaxTokens.count()));
  Out.Priority = static_cast<int>(intAt(In, "priority"));
  Out.Streamed = boolAt(In, "streamed");
  Out.InSession = boolAt(In, "session");
  Out.PrefixBytes =
      static_cast<int>(intAt(In, "prefix_bytes", Out.PrefixBytes));
  Out.OwnBytes = static_cast<int>(intAt(In, "own_bytes", Out.OwnBytes));
  Out.Prefixes = static_cast<int>(
      std::max<int64_t>(1, intAt(In, "prefixes", Out.Prefixes)));
  Out.Service = ServiceId(textAt(In, "service"));
  Out.Path = textAt(In, "path", Out.Path);
  Out.IsOrder = boolAt(In, "order");
  return Out;
}

/// Text of \p Bytes bytes that begins with \p Head.
std::string textOf(const std::string &Head, int Bytes) {
  std::string Out = Head + " ";
  while (static_cast<int>(Out.size()) < Bytes)
    Out += Filler;
  Out.resize(static_cast<size_t>(std::max(Bytes, 1)));
  return Out;
}

template <typename T>
std::discrete_distribution<size_t> byWeight(const std::vector<T> &Items) {
  std::vector<double> Weights;
  Weights.reserve(Items.size());
  for (const T &Each : Items)
    Weights.push_back(Each.Weight);
  return {Weights.begin(), Weights.end()};
}

/// Lower numbers are drawn more often, as callers favour some prompts.
std::discrete_distribution<int> skewed(int Count) {
  std::vector<double> Weights;
  Weights.reserve(static_cast<size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Weights.push_back(1.0 / (I + 1));
  return {Weights.begin(), Weights.end()};
}

void readLists(const Json::Value &In, Workload &Out) {
  for (const Json::Value &Item : arrayAt(In, "entries")) {
    Endpoint Address;
    if (Item.isString() && parseEndpoint(Item.asString(), Address))
      Out.Entries.push_back(Address);
  }
  for (const Json::Value &Item : arrayAt(In, "workspaces"))
    Out.Workspaces.push_back(
        WorkspaceShare{WorkspaceId(textAt(Item, "workspace")),
                       textAt(Item, "key"), numberAt(Item, "weight", 1)});
  for (const Json::Value &Item : arrayAt(In, "kinds"))
    Out.Kinds.push_back(kindOf(Item));
}

} // namespace

absl::StatusOr<Workload> readWorkload(const std::string &Text) {
  absl::StatusOr<Json::Value> In = parseJson(Text);
  if (!In.ok())
    return In.status();
  Workload Out;
  readLists(*In, Out);
  Out.IsPinned = boolAt(*In, "pinned");
  Out.Place = textAt(*In, "place");
  Out.AdminKey = textAt(*In, "admin_key");
  parseEndpoint(textAt(*In, "log"), Out.Log);
  Out.Seed = static_cast<uint64_t>(intAt(*In, "seed", 1));
  Out.Rate = numberAt(*In, "rate", Out.Rate);
  Out.Workers = static_cast<int>(
      std::max<int64_t>(1, intAt(*In, "workers", Out.Workers)));
  Out.Length = absl::Seconds(numberAt(*In, "seconds", 5));
  Out.MaxRequests = intAt(*In, "max_requests");
  if (Out.Entries.empty() || Out.Workspaces.empty() || Out.Kinds.empty())
    return absl::InvalidArgumentError(
        "a workload needs entries, workspaces and kinds");
  return Out;
}

std::vector<Arrival> makeArrivals(const Workload &Given) {
  std::mt19937_64 Bits(Given.Seed);
  auto Workspaces = byWeight(Given.Workspaces);
  auto Kinds = byWeight(Given.Kinds);
  std::exponential_distribution<double> Gaps(std::max(Given.Rate, 1e-9));
  std::vector<Arrival> Out;
  absl::Duration DueAt = absl::ZeroDuration();
  bool IsOpen = Given.Rate > 0;
  int64_t Bound = Given.MaxRequests > 0 ? Given.MaxRequests : INT64_MAX;
  if (!IsOpen)
    Bound = std::min<int64_t>(
        Bound,
        static_cast<int64_t>(ClosedLoopRequestsPerWorker * Given.Workers));
  while (static_cast<int64_t>(Out.size()) < Bound) {
    if (IsOpen)
      DueAt += absl::Seconds(Gaps(Bits));
    if (DueAt >= Given.Length)
      break;
    Arrival Next;
    Next.Number = static_cast<int64_t>(Out.size());
    Next.DueAt = DueAt;
    Next.Workspace = Workspaces(Bits);
    Next.Kind = Kinds(Bits);
    const KindShare &Kind = Given.Kinds[Next.Kind];
    int Prefix = skewed(Kind.Prefixes)(Bits);
    Next.Prefix = textOf(absl::StrCat("shared ", Kind.Kind.text(), " ", Prefix),
                         Kind.PrefixBytes);
    Next.Prompt = textOf(absl::StrCat("kind=", Kind.Kind.text(), " number ",
                                      Next.Number, " seed ", Given.Seed),
                         std::max(Kind.OwnBytes, 64));
    Next.Session = static_cast<int64_t>(Bits() % SessionCount);
    Out.push_back(std::move(Next));
  }
  return Out;
}

} // namespace berylramp::load
