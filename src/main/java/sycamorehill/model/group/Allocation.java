package sycamorehill.model.group;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.platform.PlatformValue;

/**
 * The assignment of the VMs of a data centre to groups. It is one object of the platform,
 * so that a single conditional update changes the members of several groups atomically.
 *
 * @param dataCentre the data centre
 * @param fencingNumber the fencing number of the controller that wrote the allocation
 * @param writer an identifier of the write. After an answer was lost, it tells whether
 * this write or that of another controller was stored
 * @param nextGeneration the generation to assign to the next group that changes
 * @param groups all groups by name
 * @param standbys VMs reserved to replace a failed member, each with the set that it is
 * reserved for
 */
public record Allocation(DataCentreName dataCentre, long fencingNumber, String writer, long nextGeneration,
		PMap<GroupName, GroupRecord> groups, PMap<VmName, GroupSetName> standbys) implements PlatformValue {

	/**
	 * Returns the allocation before the first write.
	 * @param dataCentre the data centre
	 * @return an allocation without groups and standbys
	 */
	public static Allocation empty(DataCentreName dataCentre) {
		return new Allocation(dataCentre, 0, "", 1, TreePMap.empty(), TreePMap.empty());
	}

}
