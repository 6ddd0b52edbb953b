package sycamorehill.model.peer;

import java.time.Duration;

import sycamorehill.model.request.Fingerprint;

/**
 * Quarantined content, which is refused.
 *
 * @param fingerprint the fingerprint of the content
 * @param remaining the remaining time of the quarantine when the message is sent. It is a
 * duration because clocks of different nodes are never compared
 */
public record QuarantineEntry(Fingerprint fingerprint, Duration remaining) {

}
