package sycamorehill.logic.dispatch;

import java.util.Optional;

import sycamorehill.model.identity.TargetName;

/**
 * Where an attempt was made, for the log and for callers.
 *
 * @param target the target; empty if another node has reported none
 * @param node the node through which it was made; empty if it was made directly
 */
record AttemptPlace(Optional<TargetName> target, Optional<String> node) {

	static AttemptPlace at(TargetName target) {
		return new AttemptPlace(Optional.of(target), Optional.empty());
	}

	static AttemptPlace through(String node, Optional<TargetName> target) {
		return new AttemptPlace(target, Optional.of(node));
	}

	/**
	 * Formats the place as fields of a log line.
	 * @param targetField name of the field for the target
	 * @return the fields
	 */
	String fields(String targetField) {
		return targetField + '=' + this.target.map(TargetName::value).orElse("none")
				+ this.node.map((name) -> " node=" + name).orElse("");
	}

	@Override
	public String toString() {
		String targetName = this.target.map(TargetName::value).orElse("");
		return this.node.map((name) -> targetName.isEmpty() ? name : targetName + " through " + name)
			.orElse(targetName);
	}

}
