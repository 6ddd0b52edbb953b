package sycamorehill.logic.crash;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.Address;
import sycamorehill.model.serving.TargetIncarnation;

/**
 * Finds the lost targets whose address another process has. An address is used again only
 * after its process has ended, and the new process is known before the old entry has
 * expired.
 */
final class ReplacedTargets {

	private final TargetDirectory directory;

	private final CrashEvidence evidence;

	private ReplacedTargets(TargetDirectory directory, CrashEvidence evidence) {
		this.directory = directory;
		this.evidence = evidence;
	}

	static ReplacedTargets of(TargetDirectory directory, CrashEvidence evidence) {
		return new ReplacedTargets(directory, evidence);
	}

	/**
	 * Finds the undecided targets that were replaced.
	 * @return the targets
	 */
	List<TargetIncarnation> find() {
		List<TargetIncarnation> undecided = this.evidence.losses()
			.stream()
			.filter((loss) -> !loss.crashed())
			.map(TargetLoss::target)
			.toList();
		if (undecided.isEmpty()) {
			return List.of();
		}
		Map<Address, Long> lastStarts = lastStarts();
		return undecided.stream()
			.filter((target) -> lastStarts.getOrDefault(target.address(), Long.MIN_VALUE) > target.startMillis())
			.toList();
	}

	private Map<Address, Long> lastStarts() {
		Map<Address, Long> starts = new HashMap<>();
		this.directory.all().forEach((entry) -> starts.merge(entry.address(), entry.startMillis(), Math::max));
		return starts;
	}

}
