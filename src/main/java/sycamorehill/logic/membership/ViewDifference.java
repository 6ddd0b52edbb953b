package sycamorehill.logic.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import sycamorehill.model.identity.NodeName;
import sycamorehill.model.peer.MemberEntry;

/**
 * Describes the difference between two views of a data centre for the log: {@code +}
 * marks an added node, {@code ~} a changed one and {@code -} a removed one.
 */
final class ViewDifference {

	private static final int MAXIMUM_NAMES = 8;

	private ViewDifference() {
	}

	static String describe(DataCentreView before, DataCentreView after) {
		List<String> parts = new ArrayList<>();
		for (Map.Entry<NodeName, MemberEntry> entry : after.members().entrySet()) {
			MemberEntry old = before.members().get(entry.getKey());
			if (old == null) {
				parts.add("+" + entry.getKey());
			}
			else if (!old.equals(entry.getValue())) {
				parts.add("~" + entry.getKey());
			}
		}
		for (NodeName name : before.members().keySet()) {
			if (!after.members().containsKey(name)) {
				parts.add("-" + name);
			}
		}
		String names = String.join(" ", parts.subList(0, Math.min(parts.size(), MAXIMUM_NAMES)));
		String more = (parts.size() > MAXIMUM_NAMES) ? " and " + (parts.size() - MAXIMUM_NAMES) + " more" : "";
		return names + more + ", " + after.members().size() + " alive";
	}

}
