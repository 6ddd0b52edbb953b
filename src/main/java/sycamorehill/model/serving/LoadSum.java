package sycamorehill.model.serving;

import java.util.Map;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;

/**
 * Sum of the loads of the nodes of a data centre.
 *
 * @param aggregator node that computed the sum
 * @param dataCentre the data centre
 * @param liveNodes number of live nodes of the data centre that are known to the
 * aggregator
 * @param requests number of requests in flight by target
 * @param use recent use by workspace
 */
public record LoadSum(String aggregator, DataCentreName dataCentre, int liveNodes, Map<TargetName, Integer> requests,
		UseReport use) {

	/**
	 * Copies the numbers.
	 */
	public LoadSum {
		requests = Map.copyOf(requests);
	}

	/**
	 * Creates a sum that contains no use by workspace.
	 * @param aggregator node that computed the sum
	 * @param dataCentre the data centre
	 * @param liveNodes number of live nodes of the data centre that are known to the
	 * aggregator
	 * @param requests number of requests in flight by target
	 */
	public LoadSum(String aggregator, DataCentreName dataCentre, int liveNodes, Map<TargetName, Integer> requests) {
		this(aggregator, dataCentre, liveNodes, requests, UseReport.NONE);
	}

}
