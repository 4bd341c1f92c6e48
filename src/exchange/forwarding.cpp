//===- forwarding.cpp - What a replica and a caller are sent --------------===//

#include "forwarding.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include <algorithm>

namespace berylramp {

namespace {

/// The fields that a Connection field names; they concern one connection.
std::vector<std::string>
namedByConnection(const std::vector<HeaderField> &Fields) {
  std::vector<std::string> Names;
  for (const HeaderField &Each : Fields) {
    if (!absl::EqualsIgnoreCase(Each.first, "Connection"))
      continue;
    for (absl::string_view Part : absl::StrSplit(Each.second, ','))
      Names.emplace_back(absl::StripAsciiWhitespace(Part));
  }
  return Names;
}

bool isNamed(const std::vector<std::string> &Names, absl::string_view Name) {
  return std::any_of(Names.begin(), Names.end(), [&](const std::string &Each) {
    return absl::EqualsIgnoreCase(Each, Name);
  });
}

int64_t numberOf(absl::string_view Text) {
  int64_t Value = 0;
  return absl::SimpleAtoi(Text, &Value) ? Value : 0;
}

bool takesBody(const HttpRequest &From) {
  return !From.Body.empty() || From.Method == "POST" || From.Method == "PUT" ||
         From.Method == "PATCH";
}

} // namespace

std::string forwardedRequest(const HttpRequest &From, const HeaderNames &Names,
                             const ForwardFacts &Facts) {
  std::vector<std::string> Dropped = namedByConnection(From.Headers);
  Dropped.insert(Dropped.end(), Names.Reserved.begin(), Names.Reserved.end());
  Dropped.insert(Dropped.end(),
                 {"Content-Length", "Expect", Names.DeadlineMs,
                  Names.ExpectReplica, Names.Workspace, Names.Urgency});
  if (!Facts.Model.empty())
    Dropped.push_back(Names.Model);
  if (Facts.LastEventId >= 0)
    Dropped.push_back(Names.LastEventId);
  std::string Out =
      absl::StrCat(From.Method, " ", From.Target, " HTTP/1.1\r\n");
  std::vector<HeaderField> Fields;
  for (const HeaderField &Each : From.Headers) {
    bool Key = absl::EqualsIgnoreCase(Each.first, "Authorization");
    if (!Key && !isHopByHop(Each.first) && !isNamed(Dropped, Each.first))
      Fields.push_back(Each);
  }
  Fields.emplace_back(Names.DeadlineMs, absl::StrCat(Facts.DeadlineMs));
  Fields.emplace_back(Names.ExpectReplica, Facts.Expect.text());
  if (!Facts.Workspace.empty())
    Fields.emplace_back(Names.Workspace, Facts.Workspace.text());
  if (!Facts.Model.empty())
    Fields.emplace_back(Names.Model, Facts.Model.text());
  if (Facts.LastEventId >= 0)
    Fields.emplace_back(Names.LastEventId, absl::StrCat(Facts.LastEventId));
  if (Facts.Urgency >= 0)
    Fields.emplace_back(Names.Urgency, absl::StrCat(Facts.Urgency));
  if (takesBody(From))
    Fields.emplace_back("Content-Length", absl::StrCat(From.Body.size()));
  appendFields(Out, Fields);
  Out += From.Body;
  return Out;
}

HttpHead relayedHead(const HttpHead &Head) {
  std::vector<std::string> Dropped = namedByConnection(Head.Headers);
  HttpHead Out;
  Out.Status = Head.Status;
  Out.Reason = Head.Reason;
  for (const HeaderField &Each : Head.Headers) {
    bool Length = absl::EqualsIgnoreCase(Each.first, "Content-Length");
    if (!Length && !isHopByHop(Each.first) && !isNamed(Dropped, Each.first))
      Out.Headers.push_back(Each);
  }
  return Out;
}

std::string keyOf(const HttpRequest &From, const HeaderNames &Names) {
  const std::string *Field = findHeader(From.Headers, "Authorization");
  if (Field == nullptr)
    return "";
  absl::string_view Text = *Field;
  size_t Space = Text.find(' ');
  if (Space == absl::string_view::npos ||
      !absl::EqualsIgnoreCase(Text.substr(0, Space), Names.KeyScheme))
    return "";
  return std::string(absl::StripAsciiWhitespace(Text.substr(Space + 1)));
}

std::string hostOf(const HttpRequest &From) {
  const std::string *Field = findHeader(From.Headers, "Host");
  return Field == nullptr ? "" : Field->substr(0, Field->find(':'));
}

PromptFacts promptFacts(const HttpRequest &From, const HeaderNames &Names) {
  PromptFacts Facts;
  if (const std::string *Counts = findHeader(From.Headers, Names.TokenCounts)) {
    std::vector<absl::string_view> Two = absl::StrSplit(*Counts, ',');
    Facts.PromptTokens = numberOf(Two[0]);
    Facts.OutputTokens = Two.size() > 1 ? numberOf(Two[1]) : 0;
  }
  if (const std::string *Parts = findHeader(From.Headers, Names.PromptParts)) {
    for (absl::string_view Each : absl::StrSplit(*Parts, ',')) {
      size_t Colon = Each.find(':');
      if (Colon == absl::string_view::npos)
        continue;
      Facts.Parts.push_back({stableHash(std::string(Each.substr(0, Colon))),
                             numberOf(Each.substr(Colon + 1))});
    }
  }
  return Facts;
}

bool parseLoad(const std::string &Text, ReportedLoad &Out) {
  std::vector<absl::string_view> Three = absl::StrSplit(Text, ',');
  return Three.size() == 3 && absl::SimpleAtoi(Three[0], &Out.Running) &&
         absl::SimpleAtoi(Three[1], &Out.Waiting) &&
         absl::SimpleAtoi(Three[2], &Out.Slots);
}

double drawOf(absl::string_view Text) {
  // 53 bits fit a double without rounding up to 1.
  constexpr double Range = 9007199254740992.0;
  return static_cast<double>(stableHash(std::string(Text)) >> 11) / Range;
}

} // namespace berylramp
