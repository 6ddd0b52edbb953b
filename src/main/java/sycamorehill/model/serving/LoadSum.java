package sycamorehill.model.serving;

import java.util.Map;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;

/**
 * Sum of the requests that the nodes of a data centre have in flight at targets.
 *
 * @param aggregator node that computed the sum
 * @param dataCentre the data centre
 * @param liveNodes number of live nodes of the data centre that are known to the
 * aggregator
 * @param requests number of requests by target
 */
public record LoadSum(String aggregator, DataCentreName dataCentre, int liveNodes, Map<TargetName, Integer> requests) {

	/**
	 * Copies the numbers.
	 */
	public LoadSum {
		requests = Map.copyOf(requests);
	}

}
