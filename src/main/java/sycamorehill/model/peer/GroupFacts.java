package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;

/**
 * The properties of a group that stay the same within a generation.
 *
 * @param identity the name and generation of the group
 * @param service the service that the group serves
 * @param address the address at which the head receives requests
 * @param members the VMs of the group, the head first
 * @param modelVersion the version of the model, empty if the sender did not report it
 */
public record GroupFacts(GroupIdentity identity, ServiceName service, Address address, List<VmName> members,
		String modelVersion) {

	/**
	 * Copies the members. A sender that runs an older version of the software leaves out
	 * the model version.
	 */
	public GroupFacts {
		members = List.copyOf(members);
		modelVersion = (modelVersion != null) ? modelVersion : "";
	}

}
