//===- limit_parts.h - Constants shared by the parts of limits --*- C++ -*-===//

#ifndef BERYLRAMP_LIMITS_LIMIT_PARTS_H
#define BERYLRAMP_LIMITS_LIMIT_PARTS_H

#include "berylramp/limits.h"

namespace berylramp {

/// A limit of zero is tried this often, to notice that it ends.
inline constexpr double MinPerSecond = 0.1;

} // namespace berylramp

#endif // BERYLRAMP_LIMITS_LIMIT_PARTS_H
