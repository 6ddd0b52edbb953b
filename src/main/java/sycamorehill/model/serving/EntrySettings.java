package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;

/**
 * Settings of an entry node's process.
 *
 * @param nodeName the node's name
 * @param dataCentre data centre in which it runs
 * @param dataCentres all data centres
 * @param processorCores its share of a processor, in cores of normal speed
 * @param maximumDescriptors how many files and sockets it may open
 * @param callerAddress where it accepts connections of callers
 * @param readinessAddress where the load balancer queries its readiness
 * @param peerAddress where it receives messages of other nodes
 * @param proxyAddress where it accepts requests that other nodes send through it
 * @param storeAddress address of the platform's store
 * @param firstStart whether the whole system starts for the first time
 * @param stopTime time from the stop signal until the process is killed
 * @param retryWindow length of the retry budget's window
 * @param retryRatio retries allowed per request, over all nodes
 * @param retryAllowance additional retries allowed per window, over all nodes
 * @param stallTime time after which a group that lost a member has certainly failed
 * @param loadWindow length of the window in which loads from the weight store are limited
 */
public record EntrySettings(String nodeName, DataCentreName dataCentre, List<DataCentreName> dataCentres,
		double processorCores, int maximumDescriptors, Address callerAddress, Address readinessAddress,
		Address peerAddress, Address proxyAddress, Address storeAddress, boolean firstStart, Duration stopTime,
		Duration retryWindow, double retryRatio, double retryAllowance, Duration stallTime, Duration loadWindow) {

	/**
	 * Returns the record that this node publishes to other nodes.
	 * @return the node's record
	 */
	public NodeRecord toNodeRecord() {
		return new NodeRecord(this.nodeName, this.peerAddress, this.dataCentre, this.processorCores,
				Optional.of(this.proxyAddress));
	}

}
