//===- audit.h - Checks the runs of replicas against the calls --*- C++ -*-===//

#ifndef BERYLRAMP_TEST_SOAK_AUDIT_H
#define BERYLRAMP_TEST_SOAK_AUDIT_H

#include "callers.h"

namespace berylramp::soak {

/// Compares the runs that the replicas recorded with the callers' requests and
/// records each violated guarantee.
void audit(Environment &Env, const Callers &Traffic);

/// Checks the outcome of a roll-out ordered at \p OrderedAt and records each
/// violated guarantee. A roll-out to a \p Good version must complete, any other
/// must be reverted.
void auditRollout(Environment &Env, const Callers &Traffic, bool Good,
                  Instant OrderedAt);

} // namespace berylramp::soak

#endif // BERYLRAMP_TEST_SOAK_AUDIT_H
