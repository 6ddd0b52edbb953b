package sycamorehill.logic.quarantine;

import java.time.Instant;

/**
 * A question to the arbiter that has no answer yet.
 *
 * @param askedAt when it was asked
 */
record PendingIsolationAsk(Instant askedAt) {

}
