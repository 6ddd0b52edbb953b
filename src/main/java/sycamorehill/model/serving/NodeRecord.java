package sycamorehill.model.serving;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;

/**
 * Record that an entry node publishes to other nodes.
 *
 * @param name the node's name
 * @param address where it receives messages of other nodes
 * @param dataCentre data centre in which it runs
 * @param processorCores its share of a processor, in cores of normal speed
 */
public record NodeRecord(String name, Address address, DataCentreName dataCentre, double processorCores) {
}
