package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;

/**
 * Settings of an entry node's process.
 *
 * @param nodeName the node's name
 * @param dataCentre where it runs
 * @param dataCentres all data centres
 * @param processorCores its share of a processor, in cores of usual speed
 * @param callerAddress where it takes callers' connections
 * @param readinessAddress where the balancer asks whether it is ready
 * @param peerAddress where it takes messages of other nodes
 * @param storeAddress where the platform's store is reached
 * @param firstStart whether the whole system starts for the first time
 * @param stopTime time from the order to stop until the process is killed
 * @param retryWindow length of the window of the retry budget
 * @param retryRatio repeats allowed for each request, over all nodes
 * @param retryAllowance repeats allowed besides in a window, over all nodes
 * @param stallTime time after which a group that lost a member is surely broken
 * @param loadWindow length of the window in which loads from the weight store are bounded
 */
public record EntrySettings(String nodeName, DataCentreName dataCentre, List<DataCentreName> dataCentres,
		double processorCores, Address callerAddress, Address readinessAddress, Address peerAddress,
		Address storeAddress, boolean firstStart, Duration stopTime, Duration retryWindow, double retryRatio,
		double retryAllowance, Duration stallTime, Duration loadWindow) {

	/**
	 * What this node tells the others of itself.
	 * @return its record
	 */
	public NodeRecord toNodeRecord() {
		return new NodeRecord(this.nodeName, this.peerAddress, this.dataCentre, this.processorCores);
	}

}
