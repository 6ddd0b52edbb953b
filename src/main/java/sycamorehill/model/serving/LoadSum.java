package sycamorehill.model.serving;

import java.util.Map;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;

/**
 * Requests that the nodes of a data centre have with targets, added up by one of them.
 *
 * @param aggregator the node that added them up
 * @param dataCentre the data centre
 * @param liveNodes number of nodes that live there, as far as that node hears
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
