//===- deployment.h - Records of a small deployment -------------*- C++ -*-===//

#ifndef BERYLRAMP_REVIEW_DEPLOYMENT_H
#define BERYLRAMP_REVIEW_DEPLOYMENT_H

#include "harness.h"

namespace review {

inline const std::string Host = "ficu95.example";
inline const std::string EngineService = "huvo11a";
inline const std::string PlainService = "wuno96b";
inline const std::string LastingKey = "n2ctnfzs989anu6wsjnb";
inline const std::string SecondKey = "anfqasnmgkcuyj8pjbvk";

/// A configuration with a stream, an unsafe and a safe route of one host.
inline std::string configuration(int64_t Version,
                                 const std::vector<std::string> &Keys) {
  std::string Quoted;
  for (const std::string &Key : Keys)
    Quoted += (Quoted.empty() ? "\"" : ",\"") + Key + "\"";
  auto Route = [](const std::string &Name, const std::string &Prefix,
                  const std::string &Kind, const std::string &Service,
                  int TimeoutMs, int SloMs, int Attempts,
                  const std::string &More) {
    return "{\"name\":\"" + Name + "\",\"host\":\"" + Host +
           "\",\"pathPrefix\":\"" + Prefix + "\",\"routeKind\":\"" + Kind +
           "\",\"service\":\"" + Service +
           "\",\"timeoutMs\":" + std::to_string(TimeoutMs) +
           ",\"sloMs\":" + std::to_string(SloMs) +
           ",\"priority\":1,\"anonymous\":false,\"maxAttempts\":" +
           std::to_string(Attempts) + More + "}";
  };
  return "{\"version\":" + std::to_string(Version) + ",\"routes\":[" +
         Route("r-1", "/lohu930/", "streaming", EngineService, 25000, 3000, 3,
               R"(,"sticky":true,"resumable":true,"gapTargetMs":1500,)"
               R"("sizes":["daka510000","ravo486f6a"])") +
         "," +
         Route("r-2", "/puxa403/", "unsafe", PlainService, 1500, 300, 1, "") +
         "," +
         Route("r-3", "/cufi504/", "safe", PlainService, 1500, 300, 2, "") +
         R"(],"services":[{"name":")" + EngineService +
         R"(","healthPath":"/healthz","maxConns":370,"protocol":"h1",)"
         R"("tls":false,"runtime":{"slots":64,"kvCapacity":675700,)"
         R"("modelList":[{"name":"daka510000","cost":0.014},)"
         R"({"name":"ravo486f6a","cost":0.21}]}},{"name":")" +
         PlainService +
         R"(","healthPath":"/healthz","maxConns":110,"protocol":"h1",)"
         R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":[)" +
         Quoted + R"(],"priority":1}]})";
}

/// A short answer with its length, as of a plain service.
inline std::string plainAnswer(const std::string &Id,
                               const std::string &Replica) {
  std::string Body = "answer to " + Id + " by " + Replica;
  return "HTTP/1.1 200 OK\r\nBerylramp-Attempt-Id: " + Id +
         "\r\nBerylramp-Replica-Signature: " + Replica +
         ".07\r\nBerylramp-Replica-Load: 1,0,6\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline std::string idOf(const Message &Request) {
  return headerOf(Request.Fields, "Berylramp-Attempt-Id").value_or("");
}

} // namespace review

#endif // BERYLRAMP_REVIEW_DEPLOYMENT_H
