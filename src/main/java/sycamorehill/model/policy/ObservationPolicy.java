package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Bounds of the sight of target VMs.
 *
 * @param reportInterval how often an observer asks an engine for its report
 * @param listInterval how often the VM list is read
 * @param listPatience when an unanswered read of the VM list is given up
 * @param freshness the oldest sight of a member with which its group is routed to
 * @param observersPerVm how many nodes ask each engine
 * @param vmsPerShare about how many VMs are observed by the same nodes
 * @param stewards how many nodes of a data centre collect the sights of all its VMs
 * @param digestInterval how often digests of sights are sent to other nodes
 * @param relayFanOut to how many nodes one node passes a digest on
 * @param leavingMemory how long all signs must say that a VM stays before it is taken
 * back after it was said to leave
 */
public record ObservationPolicy(Duration reportInterval, Duration listInterval, Duration listPatience,
		Duration freshness, int observersPerVm, int vmsPerShare, int stewards, Duration digestInterval, int relayFanOut,
		Duration leavingMemory) {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static ObservationPolicy standard() {
		return new ObservationPolicy(Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofSeconds(4),
				Duration.ofSeconds(5), 2, 8, 2, Duration.ofSeconds(1), 3, Duration.ofMinutes(5));
	}

}
