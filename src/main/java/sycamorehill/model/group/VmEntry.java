package sycamorehill.model.group;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.VmName;

/**
 * One line of the lagging VM list.
 *
 * @param name the VM
 * @param dataCentre where it is
 * @param domain its fabric domain
 * @param address where its engine listens
 * @param status live or leaving
 * @param instance changes when the VM is replaced under the same name
 */
public record VmEntry(VmName name, DataCentreName dataCentre, FabricDomain domain, Address address, VmStatus status,
		String instance) {

}
