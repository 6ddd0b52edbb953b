package sycamorehill.logic.health;

import java.time.Instant;

/**
 * Ejection of a target: it receives no requests for a limited time.
 *
 * @param reason the reason for the ejection
 * @param until the monotonic time from which the target may receive requests again
 */
record Ejection(EjectionReason reason, Instant until) {

}
