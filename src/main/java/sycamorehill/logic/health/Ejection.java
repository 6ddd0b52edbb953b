package sycamorehill.logic.health;

import java.time.Instant;

/**
 * A target put aside.
 *
 * @param reason why
 * @param until when it may be tried again
 */
record Ejection(EjectionReason reason, Instant until) {

}
