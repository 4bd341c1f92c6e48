//===- forwarding.cpp - Forwarded requests and relayed answers ------------===//

#include "forwarding.h"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include <algorithm>
#include <cmath>

namespace berylramp {

namespace {

/// The fields that Connection headers list; they are hop-by-hop. A look-up does
/// not depend on their number: a caller may list thousands.
class ConnectionOptions {
public:
  void add(absl::string_view Value) {
    for (absl::string_view Part : absl::StrSplit(Value, ','))
      this->Hashes.insert(hashOf(absl::StripAsciiWhitespace(Part)));
  }
  bool contains(absl::string_view Name) const {
    return !this->Hashes.empty() && this->Hashes.contains(hashOf(Name));
  }

private:
  static uint64_t hashOf(absl::string_view Name) {
    return stableHash(absl::AsciiStrToLower(Name));
  }
  absl::flat_hash_set<uint64_t> Hashes;
};

bool containsName(const std::vector<absl::string_view> &Names,
                  absl::string_view Name) {
  return std::any_of(Names.begin(), Names.end(),
                     [&](absl::string_view Candidate) {
                       return absl::EqualsIgnoreCase(Candidate, Name);
                     });
}

constexpr absl::string_view ConnectionField = "Connection";

/// A replica that needs a longer pause is replaced.
constexpr absl::Duration MaxPause = absl::Minutes(10);

/// Higher counts in a load report are not usable.
constexpr int MaxReportedCount = 1'000'000;

/// The figure of a replica on which work takes as long as usual.
constexpr double UsualWorkPercent = 100;

int64_t parseNumber(absl::string_view Text) {
  int64_t Value = 0;
  return absl::SimpleAtoi(Text, &Value) ? Value : 0;
}

bool parseCount(absl::string_view Text, int &Count) {
  return absl::SimpleAtoi(Text, &Count) && Count >= 0 &&
         Count <= MaxReportedCount;
}

bool mayHaveRequestBody(const CallerRequest &Request) {
  return !Request.Body.empty() || Request.Method == "POST" ||
         Request.Method == "PUT" || Request.Method == "PATCH";
}

} // namespace

std::string forwardedHead(const CallerRequest &Request,
                          const HeaderNames &Names,
                          const ForwardOverrides &Overrides) {
  ConnectionOptions Options;
  for (const HeaderBlock::Field &Field : Request.Headers)
    if (absl::EqualsIgnoreCase(Field.Name, ConnectionField))
      Options.add(Field.Value);
  std::vector<absl::string_view> Dropped(Names.Reserved.begin(),
                                         Names.Reserved.end());
  Dropped.insert(Dropped.end(),
                 {"Content-Length", "Expect", "Authorization", Names.DeadlineMs,
                  Names.ExpectReplica, Names.Workspace, Names.Urgency});
  if (!Overrides.Model.empty())
    Dropped.push_back(Names.Model);
  if (Overrides.LastEventId >= 0)
    Dropped.push_back(Names.LastEventId);
  std::string Message =
      absl::StrCat(Request.Method, " ", Request.Target, " HTTP/1.1\r\n");
  for (const HeaderBlock::Field &Field : Request.Headers)
    if (!isHopByHop(Field.Name) && !containsName(Dropped, Field.Name) &&
        !Options.contains(Field.Name))
      absl::StrAppend(&Message, Field.Line);
  std::vector<HeaderField> Fields;
  Fields.emplace_back(Names.DeadlineMs, absl::StrCat(Overrides.DeadlineMs));
  Fields.emplace_back(Names.ExpectReplica, Overrides.ExpectedReplica.text());
  if (!Overrides.Workspace.empty())
    Fields.emplace_back(Names.Workspace, Overrides.Workspace.text());
  if (!Overrides.Model.empty())
    Fields.emplace_back(Names.Model, Overrides.Model.text());
  if (Overrides.LastEventId >= 0)
    Fields.emplace_back(Names.LastEventId, absl::StrCat(Overrides.LastEventId));
  if (Overrides.Urgency >= 0)
    Fields.emplace_back(Names.Urgency, absl::StrCat(Overrides.Urgency));
  if (mayHaveRequestBody(Request))
    Fields.emplace_back("Content-Length", absl::StrCat(Request.Body.size()));
  appendFields(Message, Fields);
  return Message;
}

HttpHead relayedHead(const HttpHead &Head) {
  ConnectionOptions Options;
  for (const HeaderField &Field : Head.Headers)
    if (absl::EqualsIgnoreCase(Field.first, ConnectionField))
      Options.add(Field.second);
  HttpHead Result;
  Result.Status = Head.Status;
  Result.Reason = Head.Reason;
  for (const HeaderField &Field : Head.Headers) {
    bool IsContentLength =
        absl::EqualsIgnoreCase(Field.first, "Content-Length");
    if (!IsContentLength && !isHopByHop(Field.first) &&
        !Options.contains(Field.first))
      Result.Headers.push_back(Field);
  }
  return Result;
}

std::string apiKeyOf(const CallerRequest &Request, const HeaderNames &Names) {
  auto Field = findHeader(Request.Headers, "Authorization");
  if (!Field)
    return "";
  absl::string_view Text = *Field;
  size_t Space = Text.find(' ');
  if (Space == absl::string_view::npos ||
      !absl::EqualsIgnoreCase(Text.substr(0, Space), Names.KeyScheme))
    return "";
  return std::string(absl::StripAsciiWhitespace(Text.substr(Space + 1)));
}

std::string hostWithoutPort(const CallerRequest &Request) {
  absl::string_view Field = findHeader(Request.Headers, "Host").value_or("");
  return std::string(Field.substr(0, Field.find(':')));
}

uint64_t requestIdentity(const CallerRequest &Request,
                         const WorkspaceId &Workspace) {
  // None of the parts contains a line break.
  return stableHash(absl::StrCat(Request.Method, "\n", hostWithoutPort(Request),
                                 "\n", Request.Target, "\n", Workspace.text(),
                                 "\n", stableHash(Request.Body)));
}

PromptInfo parsePromptInfo(const CallerRequest &Request,
                           const HeaderNames &Names) {
  PromptInfo Info;
  if (auto Counts = findHeader(Request.Headers, Names.TokenCounts)) {
    std::vector<absl::string_view> Values = absl::StrSplit(*Counts, ',');
    Info.PromptTokens = parseNumber(Values[0]);
    Info.OutputTokens = Values.size() > 1 ? parseNumber(Values[1]) : 0;
  }
  if (auto Segments = findHeader(Request.Headers, Names.PromptSegments)) {
    for (absl::string_view Segment : absl::StrSplit(*Segments, ',')) {
      size_t Colon = Segment.find(':');
      if (Colon == absl::string_view::npos)
        continue;
      Info.Segments.push_back(
          {stableHash(std::string(Segment.substr(0, Colon))),
           parseNumber(Segment.substr(Colon + 1))});
    }
  }
  return Info;
}

std::vector<uint64_t> sharedSegments(const PromptInfo &Prompt) {
  std::vector<uint64_t> Ids;
  for (size_t Index = 0; Index + 1 < Prompt.Segments.size(); ++Index)
    Ids.push_back(Prompt.Segments[Index].Id);
  return Ids;
}

bool parseLoad(const std::string &Text, ReportedLoad &Load) {
  std::vector<absl::string_view> Values = absl::StrSplit(Text, ',');
  ReportedLoad Stated;
  if (Values.size() < 3 || !parseCount(Values[0], Stated.Running) ||
      !parseCount(Values[1], Stated.Waiting) ||
      !parseCount(Values[2], Stated.Slots))
    return false;
  // Later values belong to newer versions of the replica's software.
  if (Values.size() > 3) {
    double Percent = 0;
    if (!absl::SimpleAtod(Values[3], &Percent) || !std::isfinite(Percent) ||
        Percent <= 0)
      return false;
    Stated.WorkTime = Percent / UsualWorkPercent;
  }
  Load = Stated;
  return true;
}

std::optional<double> parseLimit(const std::string &Text) {
  double PerSecond = 0;
  if (!absl::SimpleAtod(Text, &PerSecond) || !std::isfinite(PerSecond) ||
      PerSecond < 0)
    return std::nullopt;
  return PerSecond;
}

PauseRequest parsePause(const std::string &Text) {
  PauseRequest Pause;
  double Seconds = 0;
  if (!absl::SimpleAtod(Text, &Seconds) || !std::isfinite(Seconds) ||
      Seconds < 0)
    return Pause;
  absl::Duration Stated = absl::Seconds(Seconds);
  Pause.Length = std::min(Stated, MaxPause);
  Pause.Accepted = Stated <= MaxPause;
  return Pause;
}

double hashToUnitInterval(absl::string_view Text) {
  // A double represents 53 bits exactly, so the result never rounds up to 1.
  constexpr double Range = 9007199254740992.0;
  return static_cast<double>(stableHash(std::string(Text)) >> 11) / Range;
}

} // namespace berylramp
