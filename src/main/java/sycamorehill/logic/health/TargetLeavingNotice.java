package sycamorehill.logic.health;

import java.time.Instant;

/**
 * A target's announcement that it is leaving.
 *
 * @param generation the group generation that is leaving, 0 for a plain service
 * @param until the monotonic time at which the notice expires
 */
record TargetLeavingNotice(long generation, Instant until) {

}
