package sycamorehill.logic.group;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.pcollections.TreePMap;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.VmName;

/**
 * Collects the changes that one decision makes to an allocation.
 */
final class AllocationDraft {

	private final Allocation original;

	private final TreeMap<GroupName, GroupRecord> groups;

	private final TreeMap<VmName, GroupSetName> standbys;

	private final Set<VmName> claimed = new TreeSet<>();

	private long nextGeneration;

	private AllocationDraft(Allocation allocation) {
		this.original = allocation;
		this.groups = new TreeMap<>(allocation.groups());
		this.standbys = new TreeMap<>(allocation.standbys());
		this.nextGeneration = allocation.nextGeneration();
		allocation.groups().values().forEach((record) -> this.claimed.addAll(record.members()));
		this.claimed.addAll(allocation.standbys().keySet());
	}

	static AllocationDraft of(Allocation allocation) {
		return new AllocationDraft(allocation);
	}

	List<GroupRecord> groups() {
		return List.copyOf(this.groups.values());
	}

	List<GroupRecord> groups(GroupSetName set) {
		return this.groups.values().stream().filter((record) -> record.identity().name().set().equals(set)).toList();
	}

	List<VmName> standbys(GroupSetName set) {
		return this.standbys.keySet().stream().filter((vm) -> this.standbys.get(vm).equals(set)).toList();
	}

	List<VmName> standbys() {
		return List.copyOf(this.standbys.keySet());
	}

	GroupSetName standbySet(VmName vm) {
		return this.standbys.get(vm);
	}

	boolean isClaimed(VmName vm) {
		return this.claimed.contains(vm);
	}

	void replace(GroupRecord record) {
		GroupRecord old = this.groups.put(record.identity().name(), record);
		if (old != null) {
			this.claimed.removeAll(old.members());
		}
		for (VmName vm : record.members()) {
			this.standbys.remove(vm);
			this.claimed.add(vm);
		}
	}

	/**
	 * Puts a group into its next generation, in which it has to load its model.
	 * @param name the group
	 * @param members the members, the head first
	 * @param specification the specification of what the group loads
	 * @param reason the reason for operators
	 * @param failures the number of failed loads since the group last served
	 */
	void form(GroupName name, List<VmName> members, GroupSpecification specification, String reason, int failures) {
		GroupIdentity identity = GroupIdentity.of(name, this.nextGeneration++);
		replace(new GroupRecord(identity, specification.service(), specification.model(), specification.modelVersion(),
				members, GroupPhase.FORMING, specification.ticket(), reason, failures));
	}

	void remove(GroupName name) {
		GroupRecord old = this.groups.remove(name);
		this.claimed.removeAll(old.members());
	}

	void claimStandby(VmName vm, GroupSetName set) {
		this.standbys.put(vm, set);
		this.claimed.add(vm);
	}

	void releaseStandby(VmName vm) {
		this.standbys.remove(vm);
		this.claimed.remove(vm);
	}

	/**
	 * Returns the changed allocation.
	 * @param fencingNumber the controller's fencing number
	 * @param writer the mark that identifies the write
	 * @return the new allocation, or the original one if nothing has changed
	 */
	Allocation build(long fencingNumber, String writer) {
		boolean same = this.groups.equals(this.original.groups()) && this.standbys.equals(this.original.standbys())
				&& fencingNumber == this.original.fencingNumber();
		if (same) {
			return this.original;
		}
		requireUniqueVms();
		return new Allocation(this.original.dataCentre(), fencingNumber, writer, this.nextGeneration,
				TreePMap.from(this.groups), TreePMap.from(this.standbys));
	}

	// Two groups that share a VM would replace each other's load without end.
	private void requireUniqueVms() {
		Set<VmName> seen = new TreeSet<>(this.standbys.keySet());
		for (GroupRecord record : this.groups.values()) {
			for (VmName vm : record.members()) {
				if (!seen.add(Objects.requireNonNull(vm))) {
					throw new IllegalStateException("VM " + vm + " is claimed more than once in the new allocation");
				}
			}
		}
	}

}
