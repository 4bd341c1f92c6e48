//===- codec.h - Packing of datagrams ---------------------------*- C++ -*-===//

#ifndef BERYLRAMP_GOSSIP_CODEC_H
#define BERYLRAMP_GOSSIP_CODEC_H

#include "berylramp/gossip.h"
#include <msgpack.hpp>

namespace berylramp {

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Unpacks with limits that fit a datagram; throws when it is malformed.
msgpack::object_handle unpackBounded(const std::string &Datagram);
/// The entries of an array; throws unless it has \p Size entries.
const msgpack::object *arrayFields(const msgpack::object &Value, uint32_t Size);

/// A state and the time since its host sent it.
struct AgedState {
  PeerState State;
  absl::Duration Age;
};

void packState(Packer &Writer, const PeerState &State, absl::Duration Age);
/// Throws when the state is malformed.
AgedState unpackState(const msgpack::object &Value);

} // namespace berylramp

#endif // BERYLRAMP_GOSSIP_CODEC_H
