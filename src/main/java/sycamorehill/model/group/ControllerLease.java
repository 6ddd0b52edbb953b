package sycamorehill.model.group;

import java.time.Duration;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.platform.PlatformValue;

/**
 * The lease of the node that controls the groups of a data centre. It only avoids
 * duplicate work: safety rests on the conditional update of the allocation.
 *
 * @param dataCentre the data centre
 * @param holder the node that holds the lease
 * @param fencingNumber the fencing number, which grows with each change of holder
 * @param length how long other nodes wait after a renewal before they may acquire the
 * lease
 * @param renewal the number of renewals. Other nodes watch it change and measure the time
 * on their own clocks
 */
public record ControllerLease(DataCentreName dataCentre, NodeIncarnation holder, long fencingNumber, Duration length,
		long renewal) implements PlatformValue {

}
