package sycamorehill.logic.layout;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import sycamorehill.logic.directory.GroupKey;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * A group that the controller is forming.
 */
final class FormingGroup {

	private final String name;

	private final long epoch;

	private final ModelParameters model;

	private final List<TargetEntry> members;

	private final Set<TargetName> joinedMembers = new HashSet<>();

	private FormingGroup(String name, long epoch, ModelParameters model, List<TargetEntry> members) {
		this.name = name;
		this.epoch = epoch;
		this.model = model;
		this.members = List.copyOf(members);
	}

	static FormingGroup of(String name, long epoch, ModelParameters model, List<TargetEntry> members) {
		return new FormingGroup(name, epoch, model, members);
	}

	EngineCommandRequest.Join joinCommand() {
		return new EngineCommandRequest.Join(this.name, this.epoch, this.model.name(),
				this.members.stream().map(TargetEntry::name).toList());
	}

	void recordJoined(TargetName member) {
		this.joinedMembers.add(member);
	}

	boolean hasJoined(TargetName member) {
		return this.joinedMembers.contains(member);
	}

	boolean hasMember(TargetName member) {
		return this.members.stream().anyMatch((entry) -> entry.name().equals(member));
	}

	GroupKey key() {
		return new GroupKey(this.name, this.epoch);
	}

	String name() {
		return this.name;
	}

	long epoch() {
		return this.epoch;
	}

	ModelParameters model() {
		return this.model;
	}

	List<TargetEntry> members() {
		return this.members;
	}

}
