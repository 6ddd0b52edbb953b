package sycamorehill.logic.health;

import java.time.Instant;

/**
 * A target's own word that it is leaving.
 *
 * @param generation the generation that said so, 0 for a plain service
 * @param until until when the word counts
 */
record TargetLeavingNotice(long generation, Instant until) {

}
