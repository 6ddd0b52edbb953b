package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.RegionName;

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
 * @param regions region of each data centre, as far as the settings name it
 * @param coldTargetTolerance how far cold targets may be overloaded; empty if nothing
 * limits their requests
 * @param evacuationTime time within which no request reaches a data centre that is
 * evacuated; empty if none is ever evacuated
 */
public record EntrySettings(String nodeName, DataCentreName dataCentre, List<DataCentreName> dataCentres,
		double processorCores, int maximumDescriptors, Address callerAddress, Address readinessAddress,
		Address peerAddress, Address proxyAddress, Address storeAddress, boolean firstStart, Duration stopTime,
		Duration retryWindow, double retryRatio, double retryAllowance, Duration stallTime, Duration loadWindow,
		Map<DataCentreName, RegionName> regions, Optional<ColdTargetTolerance> coldTargetTolerance,
		Optional<Duration> evacuationTime) {

	/**
	 * Copies the regions.
	 */
	public EntrySettings {
		regions = Map.copyOf(regions);
	}

	/**
	 * Creates settings without regions, cold targets and evacuations.
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
	 * @param loadWindow length of the window in which loads from the weight store are
	 * limited
	 */
	public EntrySettings(String nodeName, DataCentreName dataCentre, List<DataCentreName> dataCentres,
			double processorCores, int maximumDescriptors, Address callerAddress, Address readinessAddress,
			Address peerAddress, Address proxyAddress, Address storeAddress, boolean firstStart, Duration stopTime,
			Duration retryWindow, double retryRatio, double retryAllowance, Duration stallTime, Duration loadWindow) {
		this(nodeName, dataCentre, dataCentres, processorCores, maximumDescriptors, callerAddress, readinessAddress,
				peerAddress, proxyAddress, storeAddress, firstStart, stopTime, retryWindow, retryRatio, retryAllowance,
				stallTime, loadWindow, Map.of(), Optional.empty(), Optional.empty());
	}

	/**
	 * Returns these settings with regions.
	 * @param knownRegions region of each data centre
	 * @return the settings
	 */
	public EntrySettings withRegions(Map<DataCentreName, RegionName> knownRegions) {
		return with(knownRegions, this.coldTargetTolerance, this.evacuationTime);
	}

	/**
	 * Returns these settings with a limit on the requests that cold targets receive.
	 * @param tolerance how far cold targets may be overloaded
	 * @return the settings
	 */
	public EntrySettings withColdTargetTolerance(ColdTargetTolerance tolerance) {
		return with(this.regions, Optional.of(tolerance), this.evacuationTime);
	}

	/**
	 * Returns these settings for a deployment whose data centres may be evacuated.
	 * @param time time within which no request reaches an evacuated data centre
	 * @return the settings
	 */
	public EntrySettings withEvacuationTime(Duration time) {
		return with(this.regions, this.coldTargetTolerance, Optional.of(time));
	}

	private EntrySettings with(Map<DataCentreName, RegionName> knownRegions, Optional<ColdTargetTolerance> tolerance,
			Optional<Duration> evacuation) {
		return new EntrySettings(this.nodeName, this.dataCentre, this.dataCentres, this.processorCores,
				this.maximumDescriptors, this.callerAddress, this.readinessAddress, this.peerAddress, this.proxyAddress,
				this.storeAddress, this.firstStart, this.stopTime, this.retryWindow, this.retryRatio,
				this.retryAllowance, this.stallTime, this.loadWindow, knownRegions, tolerance, evacuation);
	}

	/**
	 * Returns the record that this node publishes to other nodes.
	 * @return the node's record
	 */
	public NodeRecord toNodeRecord() {
		return new NodeRecord(this.nodeName, this.peerAddress, this.dataCentre, this.processorCores,
				Optional.of(this.proxyAddress));
	}

}
