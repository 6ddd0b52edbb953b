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
 * A target that may be given work now.
 *
 * @param name its name
 * @param service what it answers
 * @param dataCentre where it is
 * @param address where it takes requests
 * @param group the group, for a model service
 * @param members the VMs that it needs, empty for a plain service
 * @param modelVersion the version of the model that it has loaded, empty for a plain
 * service
 */
public record ServingTarget(TargetName name, ServiceName service, DataCentreName dataCentre, Address address,
		Optional<GroupIdentity> group, List<VmName> members, String modelVersion) {

	/**
	 * Creates a target without a model version.
	 * @param name its name
	 * @param service what it answers
	 * @param dataCentre where it is
	 * @param address where it takes requests
	 * @param group the group, for a model service
	 * @param members the VMs that it needs, empty for a plain service
	 */
	public ServingTarget(TargetName name, ServiceName service, DataCentreName dataCentre, Address address,
			Optional<GroupIdentity> group, List<VmName> members) {
		this(name, service, dataCentre, address, group, members, "");
	}

}
