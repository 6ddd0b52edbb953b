package sycamorehill.model.peer;

import java.time.Duration;

import sycamorehill.model.request.Fingerprint;

/**
 * Content that is refused.
 *
 * @param fingerprint the content
 * @param remaining for how long from when it was sent: clocks are not compared
 */
public record QuarantineEntry(Fingerprint fingerprint, Duration remaining) {

}
