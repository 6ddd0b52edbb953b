package sycamorehill.model.serving;

import java.util.Optional;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;

/**
 * Record that an entry node publishes to other nodes.
 *
 * @param name the node's name
 * @param address where it receives messages of other nodes
 * @param dataCentre data centre in which it runs
 * @param processorCores its share of a processor, in cores of normal speed
 * @param proxyAddress where it accepts requests that other nodes send through it; empty
 * if it accepts none
 */
public record NodeRecord(String name, Address address, DataCentreName dataCentre, double processorCores,
		Optional<Address> proxyAddress) {
}
