package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Timings and limits of the observation of target VMs.
 *
 * @param reportInterval how often an observer requests an engine's report
 * @param listInterval how often the VM list is read
 * @param listPatience timeout of a read of the VM list
 * @param freshness maximum age of the observations of a group's members at which requests
 * are routed to the group
 * @param observersPerVm number of nodes that observe each engine
 * @param vmsPerShare approximate number of VMs that are observed by the same nodes
 * @param stewards number of nodes of a data centre that collect the observations of all
 * its VMs
 * @param digestInterval how often digests of observations are sent to other nodes
 * @param relayFanOut number of nodes to which a node relays a digest
 * @param leavingMemory how long a VM that was reported as leaving has to be reported as
 * staying by all sources before it is used again
 */
public record ObservationPolicy(Duration reportInterval, Duration listInterval, Duration listPatience,
		Duration freshness, int observersPerVm, int vmsPerShare, int stewards, Duration digestInterval, int relayFanOut,
		Duration leavingMemory) {

	/**
	 * Returns the defaults for values that the settings leave out.
	 * @return the default values
	 */
	public static ObservationPolicy standard() {
		return new ObservationPolicy(Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofSeconds(4),
				Duration.ofSeconds(5), 2, 8, 2, Duration.ofSeconds(1), 3, Duration.ofMinutes(5));
	}

}
