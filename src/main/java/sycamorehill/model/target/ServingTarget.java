package sycamorehill.model.target;

import java.util.List;
import java.util.Optional;

import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.VmName;

/**
 * A target that can currently receive requests.
 *
 * @param name the name of the target
 * @param service the service that it serves
 * @param dataCentre the data centre that it runs in
 * @param address the address at which it receives requests
 * @param group the group and generation, empty for a plain service
 * @param members the VMs that it runs on, empty for a plain service
 * @param modelVersion the version of the model that it has loaded, empty for a plain
 * service
 */
public record ServingTarget(TargetName name, ServiceName service, DataCentreName dataCentre, Address address,
		Optional<GroupIdentity> group, List<VmName> members, String modelVersion) {

	/**
	 * Creates a target without a model version.
	 * @param name the name of the target
	 * @param service the service that it serves
	 * @param dataCentre the data centre that it runs in
	 * @param address the address at which it receives requests
	 * @param group the group and generation, empty for a plain service
	 * @param members the VMs that it runs on, empty for a plain service
	 */
	public ServingTarget(TargetName name, ServiceName service, DataCentreName dataCentre, Address address,
			Optional<GroupIdentity> group, List<VmName> members) {
		this(name, service, dataCentre, address, group, members, "");
	}

}
