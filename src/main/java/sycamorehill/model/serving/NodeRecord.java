package sycamorehill.model.serving;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;

/**
 * What an entry node tells the others of itself.
 *
 * @param name the node
 * @param address where it takes messages of other nodes
 * @param dataCentre where it runs
 * @param processorCores its share of a processor, in cores of usual speed
 */
public record NodeRecord(String name, Address address, DataCentreName dataCentre, double processorCores) {
}
