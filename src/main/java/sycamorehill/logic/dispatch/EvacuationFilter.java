package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.DataCentreName;

/**
 * Removes the targets in evacuated data centres. Attempts in flight there continue.
 */
final class EvacuationFilter implements CandidateFilter {

	private final TargetDirectory directory;

	private final Set<DataCentreName> dataCentres;

	private EvacuationFilter(TargetDirectory directory, List<DataCentreName> dataCentres) {
		this.directory = directory;
		this.dataCentres = Set.copyOf(dataCentres);
	}

	static EvacuationFilter of(TargetDirectory directory, List<DataCentreName> dataCentres) {
		return new EvacuationFilter(directory, dataCentres);
	}

	@Override
	public List<Candidate> filter(List<Candidate> candidates, DispatchedRequest request, Instant now) {
		if (!isActive()) {
			return candidates;
		}
		return candidates.stream().filter((candidate) -> !isEvacuated(candidate)).toList();
	}

	@Override
	public String reason() {
		return "its data centre is evacuated";
	}

	/**
	 * Returns whether any data centre is evacuated.
	 * @return true if targets may be removed
	 */
	boolean isActive() {
		return !this.directory.evacuated().isEmpty();
	}

	private boolean isEvacuated(Candidate candidate) {
		return this.directory.isEvacuated(candidate.entry());
	}

	/**
	 * Returns why evacuations leave no target for a request.
	 * @param serving the serving targets of the request
	 * @return the cause; empty if there are targets in other data centres, or if there
	 * are none at all
	 */
	Optional<String> findCause(List<Candidate> serving) {
		Set<DataCentreName> evacuated = this.directory.evacuated();
		if (isActive() && evacuated.containsAll(this.dataCentres)) {
			return Optional.of("all data centres are evacuated");
		}
		boolean noneLeft = isActive() && !serving.isEmpty() && serving.stream().allMatch(this::isEvacuated);
		return noneLeft ? Optional.of("all data centres with targets for it are evacuated: " + new TreeSet<>(evacuated))
				: Optional.empty();
	}

}
