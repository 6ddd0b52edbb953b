package sycamorehill.model.group;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.VmName;

/**
 * An entry of the VM list, which may lag behind the actual state.
 *
 * @param name the name of the VM
 * @param dataCentre the data centre of the VM
 * @param domain the fabric domain of the VM
 * @param address the address at which the engine listens
 * @param status whether the VM is live or leaving
 * @param instance the identifier of the instance, which changes when the VM is replaced
 * under the same name
 */
public record VmEntry(VmName name, DataCentreName dataCentre, FabricDomain domain, Address address, VmStatus status,
		String instance) {

}
