//===- report_codec.cpp - Packing of reports ------------------------------===//
//
// A report is an array that begins with the kind of the report. Datagrams with
// states of hosts begin with the version of their layout, which is lower.
//
//===----------------------------------------------------------------------===//

#include "codec.h"

#include <algorithm>

namespace berylramp {

namespace {

enum class ReportKind {
  Work = 101,
  Leaving,
  Full,
  InputCrash,
  Input,
  Limits,
  Shares
};

/// More segments of a prompt are not reported.
constexpr size_t MaxReportedSegments = 32;
constexpr uint32_t LimitFields = 5;
constexpr uint32_t WorkFields = 4;
/// Larger numbers of tokens or milliseconds are malformed.
constexpr int64_t MaxReportedCount = 100'000'000;
constexpr uint32_t ShareFields = 3;
/// States that a replica names no limit any more.
constexpr double NoLimit = -1;

/// Writes the entries of the array behind the kind.
struct ReportWriter {
  Packer &Writer;

  void begin(ReportKind Kind, uint32_t Fields) const {
    this->Writer.pack_array(Fields + 1);
    this->Writer.pack(static_cast<int>(Kind));
  }

  void operator()(const WorkDigest &Digest) const {
    size_t Count = std::min(Digest.size(), MaxReportedWork);
    this->begin(ReportKind::Work, 1);
    this->Writer.pack_array(static_cast<uint32_t>(Count));
    for (size_t Index = 0; Index < Count; ++Index) {
      const WorkReport &Report = Digest[Index];
      size_t Chain = std::min(Report.Use.Shared.size(), MaxReportedChain);
      this->Writer.pack_array(WorkFields);
      this->Writer.pack(Report.Replica);
      this->Writer.pack(Report.WorkMs);
      this->Writer.pack(Report.Use.PrivateTokens);
      this->Writer.pack_array(static_cast<uint32_t>(2 * Chain));
      for (size_t Position = 0; Position < Chain; ++Position) {
        this->Writer.pack(Report.Use.Shared[Position].Id);
        this->Writer.pack(Report.Use.Shared[Position].Tokens);
      }
    }
  }
  void operator()(const LeavingReport &Report) const {
    this->begin(ReportKind::Leaving, 2);
    this->Writer.pack(Report.Replica);
    this->Writer.pack(Report.StartedAtMs);
  }
  void operator()(const FullReport &Report) const {
    this->begin(ReportKind::Full, 2);
    this->Writer.pack(Report.Replica);
    this->Writer.pack(Report.StartedAtMs);
  }
  void operator()(const InputReport &Report) const {
    this->begin(ReportKind::Input, 2);
    this->Writer.pack(Report.Input);
    this->Writer.pack(Report.EndsReplicas);
  }
  void operator()(const InputCrash &Crash) const {
    const std::vector<uint64_t> &Segments = Crash.Input.Segments;
    size_t Count = std::min(Segments.size(), MaxReportedSegments);
    this->begin(ReportKind::InputCrash, 3);
    this->Writer.pack(Crash.Replica);
    this->Writer.pack(Crash.Input.Identity);
    this->Writer.pack_array(static_cast<uint32_t>(Count));
    for (size_t Index = 0; Index < Count; ++Index)
      this->Writer.pack(Segments[Index]);
  }
  void operator()(const LimitReports &Reports) const {
    size_t Count = std::min(Reports.size(), MaxReportedLimits);
    this->begin(ReportKind::Limits, 1);
    this->Writer.pack_array(static_cast<uint32_t>(Count));
    for (size_t Index = 0; Index < Count; ++Index) {
      const NamedLimit &Report = Reports[Index];
      this->Writer.pack_array(LimitFields);
      this->Writer.pack(Report.Replica);
      this->Writer.pack(Report.StartedAtMs);
      this->Writer.pack(Report.Sequence);
      this->Writer.pack(Report.PerSecond.value_or(NoLimit));
      this->Writer.pack(Report.Rejections.value_or(NoLimit));
    }
  }
  void operator()(const ShareReport &Report) const {
    size_t Count = std::min(Report.Shares.size(), MaxReportedShares);
    this->begin(ReportKind::Shares, 2);
    this->Writer.pack(Report.Service);
    this->Writer.pack_array(static_cast<uint32_t>(Count));
    for (size_t Index = 0; Index < Count; ++Index) {
      const WorkspaceShare &Share = Report.Shares[Index];
      this->Writer.pack_array(ShareFields);
      this->Writer.pack(Share.Workspace);
      this->Writer.pack(static_cast<float>(Share.Recent));
      this->Writer.pack(static_cast<float>(Share.Usual));
    }
  }
};

const msgpack::object_array &arrayOf(const msgpack::object &Value) {
  if (Value.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  return Value.via.array;
}

int64_t unpackCount(const msgpack::object &Value) {
  auto Count = Value.as<int64_t>();
  if (Count < 0 || Count > MaxReportedCount)
    throw msgpack::type_error();
  return Count;
}

WorkDigest unpackWork(const msgpack::object &Value) {
  WorkDigest Digest;
  const msgpack::object_array &Entries = arrayOf(Value);
  if (Entries.size > MaxReportedWork)
    throw msgpack::type_error();
  for (uint32_t Index = 0; Index < Entries.size; ++Index) {
    const msgpack::object *Fields = arrayFields(Entries.ptr[Index], WorkFields);
    WorkReport Report{Fields[0].as<uint64_t>(), unpackCount(Fields[1]), {}};
    Report.Use.PrivateTokens = unpackCount(Fields[2]);
    const msgpack::object_array &Chain = arrayOf(Fields[3]);
    if (Chain.size % 2 != 0 || Chain.size > 2 * MaxReportedChain)
      throw msgpack::type_error();
    for (uint32_t Position = 0; Position < Chain.size; Position += 2)
      Report.Use.Shared.push_back({Chain.ptr[Position].as<uint64_t>(),
                                   unpackCount(Chain.ptr[Position + 1])});
    Digest.push_back(std::move(Report));
  }
  return Digest;
}

InputCrash unpackCrash(const msgpack::object *Fields) {
  InputCrash Crash;
  Crash.Replica = Fields[0].as<uint64_t>();
  Crash.Input.Identity = Fields[1].as<uint64_t>();
  const msgpack::object_array &Segments = arrayOf(Fields[2]);
  for (uint32_t Index = 0; Index < Segments.size; ++Index)
    Crash.Input.Segments.push_back(Segments.ptr[Index].as<uint64_t>());
  return Crash;
}

std::optional<double> unpackLimit(const msgpack::object &Value) {
  auto Limit = Value.as<double>();
  return Limit >= 0 ? std::make_optional(Limit) : std::nullopt;
}

LimitReports unpackLimits(const msgpack::object &Value) {
  LimitReports Reports;
  const msgpack::object_array &Entries = arrayOf(Value);
  for (uint32_t Index = 0; Index < Entries.size; ++Index) {
    const msgpack::object *Fields =
        arrayFields(Entries.ptr[Index], LimitFields);
    Reports.push_back({Fields[0].as<uint64_t>(), Fields[1].as<int64_t>(),
                       Fields[2].as<int64_t>(), unpackLimit(Fields[3]),
                       unpackLimit(Fields[4])});
  }
  return Reports;
}

/// Throws if \p Value is not a share.
double unpackShare(const msgpack::object &Value) {
  auto Share = Value.as<double>();
  if (!(Share >= 0 && Share <= 1))
    throw msgpack::type_error();
  return Share;
}

ShareReport unpackShares(const msgpack::object *Fields) {
  ShareReport Report;
  Report.Service = Fields[0].as<uint64_t>();
  const msgpack::object_array &Entries = arrayOf(Fields[1]);
  for (uint32_t Index = 0; Index < Entries.size && Index < MaxReportedShares;
       ++Index) {
    const msgpack::object *Share = arrayFields(Entries.ptr[Index], ShareFields);
    Report.Shares.push_back({Share[0].as<uint64_t>(), unpackShare(Share[1]),
                             unpackShare(Share[2])});
  }
  return Report;
}

std::optional<GossipReport> unpackReport(const msgpack::object &Value) {
  const msgpack::object_array &Entries = arrayOf(Value);
  if (Entries.size == 0)
    throw msgpack::type_error();
  const msgpack::object *Fields = Entries.ptr + 1;
  auto CheckFields = [&](uint32_t Count) { arrayFields(Value, Count + 1); };
  switch (static_cast<ReportKind>(Entries.ptr[0].as<int>())) {
  case ReportKind::Work:
    CheckFields(1);
    return unpackWork(Fields[0]);
  case ReportKind::Leaving:
    CheckFields(2);
    return LeavingReport{Fields[0].as<uint64_t>(), Fields[1].as<int64_t>()};
  case ReportKind::Full:
    CheckFields(2);
    return FullReport{Fields[0].as<uint64_t>(), Fields[1].as<int64_t>()};
  case ReportKind::InputCrash:
    CheckFields(3);
    return unpackCrash(Fields);
  case ReportKind::Input:
    CheckFields(2);
    return InputReport{Fields[0].as<uint64_t>(), Fields[1].as<bool>()};
  case ReportKind::Limits:
    CheckFields(1);
    return unpackLimits(Fields[0]);
  case ReportKind::Shares:
    CheckFields(2);
    return unpackShares(Fields);
  }
  return std::nullopt;
}

} // namespace

std::string encodeReport(const GossipReport &Report) {
  msgpack::sbuffer Bytes;
  Packer Writer(Bytes);
  std::visit(ReportWriter{Writer}, Report);
  return {Bytes.data(), Bytes.size()};
}

std::optional<GossipReport> decodeReport(const std::string &Datagram) {
  try {
    return unpackReport(unpackBounded(Datagram).get());
  } catch (const std::exception &) {
    // The caller counts malformed datagrams when it reads them as states.
    return std::nullopt;
  }
}

} // namespace berylramp
