package sycamorehill.model.group;

import java.time.Instant;

/**
 * A VM was said to leave.
 *
 * @param instance the VM list's instance at that time, empty if the list did not know it
 * @param lastSign own monotonic time of the last sign that it leaves
 */
public record VmLeavingNotice(String instance, Instant lastSign) {

}
