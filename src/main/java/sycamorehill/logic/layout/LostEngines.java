package sycamorehill.logic.layout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetEntry;

/**
 * Engines that could not be reached, each for the life in which that was seen. Their
 * entries stay in the directory for seconds.
 */
final class LostEngines {

	private final TargetDirectory directory;

	private final Map<TargetName, Long> lost = new HashMap<>();

	private LostEngines(TargetDirectory directory) {
		this.directory = directory;
	}

	static LostEngines of(TargetDirectory directory) {
		return new LostEngines(directory);
	}

	void add(TargetEntry engine) {
		this.lost.put(engine.name(), engine.bornMillis());
	}

	void reached(TargetName engine) {
		this.lost.remove(engine);
	}

	boolean contains(TargetEntry engine) {
		Long born = this.lost.get(engine.name());
		return born != null && born == engine.bornMillis();
	}

	/**
	 * Whether an engine can be no member of a group any more.
	 * @param member the engine as it was when the group was formed or seen
	 * @return true if it is gone, began anew, is leaving or can't be reached
	 */
	boolean unusable(TargetEntry member) {
		Optional<TargetEntry> present = this.directory.find(member.name());
		return present.isEmpty() || present.get().anotherLife(member) || present.get().leaving()
				|| contains(present.get());
	}

}
