//===- events.cpp - Events of a text/event-stream -------------------------===//

#include "events.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"

namespace berylramp {

namespace {

/// Returns the index behind the empty line that ends the first event, or npos.
size_t findEventEnd(const std::string &Text) {
  size_t LineStart = 0;
  while (true) {
    size_t Break = Text.find('\n', LineStart);
    if (Break == std::string::npos)
      return std::string::npos;
    size_t Length = Break - LineStart;
    bool Empty = Length == 0 || (Length == 1 && Text[LineStart] == '\r');
    if (Empty)
      return Break + 1;
    LineStart = Break + 1;
  }
}

int64_t parseEventId(const std::string &Event) {
  size_t LineStart = 0;
  while (LineStart < Event.size()) {
    size_t Break = Event.find('\n', LineStart);
    size_t End = Break == std::string::npos ? Event.size() : Break;
    absl::string_view Line(Event.data() + LineStart, End - LineStart);
    if (absl::ConsumePrefix(&Line, "id:")) {
      int64_t Id = -1;
      return absl::SimpleAtoi(Line, &Id) ? Id : -1;
    }
    LineStart = End + 1;
  }
  return -1;
}

} // namespace

bool isComment(absl::string_view Event) {
  for (absl::string_view Line : absl::StrSplit(Event, '\n'))
    if (!Line.empty() && Line != "\r" && Line[0] != ':')
      return false;
  return true;
}

std::vector<StreamEvent> EventSplitter::feed(const std::string &Chunk) {
  this->Pending += Chunk;
  std::vector<StreamEvent> Events;
  for (size_t End = findEventEnd(this->Pending); End != std::string::npos;
       End = findEventEnd(this->Pending)) {
    StreamEvent Event;
    Event.Bytes = this->Pending.substr(0, End);
    Event.Id = parseEventId(Event.Bytes);
    this->Pending.erase(0, End);
    Events.push_back(std::move(Event));
  }
  return Events;
}

EventSequence::Verdict EventSequence::check(int64_t Id) {
  if (Id < 0)
    return Verdict::Next;
  if (this->LastId >= 0 && Id <= this->LastId)
    return Verdict::Repeated;
  if (this->LastId >= 0 && Id != this->LastId + 1)
    return Verdict::Gap;
  this->LastId = Id;
  return Verdict::Next;
}

} // namespace berylramp
