package sycamorehill.model.group;

import java.time.Instant;

/**
 * A report of a VM and the time from which it is valid.
 *
 * @param report the report
 * @param seenAt the monotonic time of this node just before it requested the report
 */
public record VmObservation(VmReport report, Instant seenAt) {

}
