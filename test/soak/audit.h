//===- audit.h - What replicas and callers together show --------*- C++ -*-===//

#ifndef BERYLRAMP_TEST_SOAK_AUDIT_H
#define BERYLRAMP_TEST_SOAK_AUDIT_H

#include "callers.h"

namespace berylramp::soak {

/// Notes each promise that the runs at the replicas show to be broken.
void audit(World &Around, const Callers &Asking);

/// The same for the end of a roll-out that was ordered at \p OrderedAt.
void auditRollout(World &Around, const Callers &Asking, bool Good,
                  Instant OrderedAt);

} // namespace berylramp::soak

#endif // BERYLRAMP_TEST_SOAK_AUDIT_H
