//===- end_check.h - Whether a replica's process has ended ------*- C++ -*-===//

#ifndef BERYLRAMP_EXCHANGE_END_CHECK_H
#define BERYLRAMP_EXCHANGE_END_CHECK_H

#include "berylramp/units.h"
#include <boost/asio/io_context.hpp>
#include <functional>

namespace berylramp {

/// Calls \p OnEnded if the address refuses a connection, which shows that no
/// process listens there.
void checkEnded(boost::asio::io_context &Loop, const Endpoint &Address,
                std::function<void()> OnEnded);

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_END_CHECK_H
