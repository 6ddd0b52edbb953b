package sycamorehill.logic.quarantine;

import java.time.Instant;

/**
 * An unanswered request to the arbiter for an isolation slot.
 *
 * @param askedAt the monotonic time at which it was sent
 */
record PendingIsolationAsk(Instant askedAt) {

}
