package sycamorehill.model.group;

import java.time.Instant;

/**
 * A notice that a VM is about to leave.
 *
 * @param instance the instance of the VM in the VM list at that time, empty if the list
 * had no entry for it
 * @param lastSign the monotonic time of this node at the latest notice
 */
public record VmLeavingNotice(String instance, Instant lastSign) {

}
