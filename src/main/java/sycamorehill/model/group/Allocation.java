package sycamorehill.model.group;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.platform.PlatformValue;

/**
 * Which VM of a data centre is in which group: one object, so that one write changes a
 * whole membership.
 *
 * @param dataCentre the data centre
 * @param fencingNumber fencing number of the controller that wrote it
 * @param writer mark of the write: tells a lost answer from a lost race
 * @param nextGeneration the generation that the next changed group gets
 * @param groups every group
 * @param standbys VMs claimed ahead of time
 */
public record Allocation(DataCentreName dataCentre, long fencingNumber, String writer, long nextGeneration,
		PMap<GroupName, GroupRecord> groups, PMap<VmName, GroupSetName> standbys) implements PlatformValue {

	/**
	 * The allocation before the first write.
	 * @param dataCentre the data centre
	 * @return no group and no standby
	 */
	public static Allocation empty(DataCentreName dataCentre) {
		return new Allocation(dataCentre, 0, "", 1, TreePMap.empty(), TreePMap.empty());
	}

}
