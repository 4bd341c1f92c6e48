//===- logging.cpp - JSON-lines logging through log4cplus -----------------===//
//
// log4cplus has no JSON layout. The fields of an event are passed as the
// message text, and JsonLayout adds the fields that all lines have in common.
//
//===----------------------------------------------------------------------===//

#include "berylramp/json.h"
#include "berylramp/observe.h"

#include "log_queue.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

namespace berylramp {

namespace {

class JsonLayout : public log4cplus::Layout {
public:
  JsonLayout(HostId Host, PlaceId Place)
      : Host(std::move(Host)), Place(std::move(Place)) {}

  void
  formatAndAppend(log4cplus::tostream &Stream,
                  const log4cplus::spi::InternalLoggingEvent &Event) override {
    absl::StatusOr<Json::Value> Fields = parseJson(Event.getMessage());
    Json::Value Line = Fields.ok() ? *Fields : Json::Value(Json::objectValue);
    std::chrono::microseconds SinceEpoch =
        Event.getTimestamp().time_since_epoch();
    Line["time"] = absl::FormatTime(absl::RFC3339_full,
                                    absl::FromUnixMicros(SinceEpoch.count()),
                                    absl::UTCTimeZone());
    Line["level"] = this->llmCache.toString(Event.getLogLevel());
    Line["host"] = this->Host.text();
    Line["place"] = this->Place.text();
    Stream << writeJson(Line) << '\n';
  }

private:
  HostId Host;
  PlaceId Place;
};

log4cplus::LogLevel toLog4cplusLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warn:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

} // namespace

void startLogging(const HostId &Host, const PlaceId &Place, bool Verbose) {
  static log4cplus::Initializer Library;
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  log4cplus::SharedAppenderPtr Console(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  Console->setLayout(std::make_unique<JsonLayout>(Host, Place));
  Root.addAppender(Console);
  Root.setLogLevel(Verbose ? log4cplus::DEBUG_LOG_LEVEL
                           : log4cplus::INFO_LOG_LEVEL);
}

void logEvent(LogLevel Level, const char *Event, const Json::Value &Fields) {
  if (LogQueue *Queue = LogQueue::instance()) {
    Queue->add(Level, Event, Fields);
    return;
  }
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  if (!Root.isEnabledFor(toLog4cplusLevel(Level)))
    return;
  Json::Value Line = Fields;
  Line["event"] = Event;
  Root.log(toLog4cplusLevel(Level), writeJson(Line), __FILE__, __LINE__);
}

} // namespace berylramp
