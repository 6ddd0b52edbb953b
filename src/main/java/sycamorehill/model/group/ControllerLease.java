package sycamorehill.model.group;

import java.time.Duration;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.platform.PlatformValue;

/**
 * Who controls the groups of a data centre. It saves work; the conditional update of the
 * allocation gives safety.
 *
 * @param dataCentre the data centre
 * @param holder the holder
 * @param fencingNumber grows with each change of holder
 * @param length how long after a renewal the others wait
 * @param renewal counts the renewals: others watch it change on their own clocks
 */
public record ControllerLease(DataCentreName dataCentre, NodeIncarnation holder, long fencingNumber, Duration length,
		long renewal) implements PlatformValue {

}
