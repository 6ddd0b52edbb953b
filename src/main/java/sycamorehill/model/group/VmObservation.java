package sycamorehill.model.group;

import java.time.Instant;

/**
 * The last good sight of a VM.
 *
 * @param report what it reported
 * @param seenAt own monotonic time from before the report was asked for
 */
public record VmObservation(VmReport report, Instant seenAt) {

}
