//===- connection_check.h - Opens and closes a connection -------*- C++ -*-===//

#ifndef BERYLRAMP_EXCHANGE_CONNECTION_CHECK_H
#define BERYLRAMP_EXCHANGE_CONNECTION_CHECK_H

#include "tunnel.h"

namespace berylramp {

/// Opens a connection to \p Remote, closes it and reports the result; never
/// ServiceRefused.
void checkConnection(boost::asio::io_context &Loop, const Endpoint &Remote,
                     absl::Duration Timeout, TunnelCallback Done);

/// The same for a tunnel to \p Replica over the host at \p Peer; Unavailable if
/// the host does not answer within \p Timeout.
void checkTunnel(boost::asio::io_context &Loop, const Endpoint &Peer,
                 uint64_t Replica, absl::Duration Timeout, TunnelCallback Done);

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_CONNECTION_CHECK_H
