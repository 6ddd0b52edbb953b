package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.logic.dispatch.RequestDispatcher;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.EvacuatedDataCentres;
import sycamorehill.model.serving.EvacuationChange;

/**
 * Holds the evacuated data centres with the revision of the store up to which they are
 * known. An older state, from the store or another node, never replaces a newer one. The
 * last state stays in force while neither the store nor updates can be received.
 */
final class Evacuations {

	/**
	 * Ratio of the time for an evacuation to the wait of a call in the store: the rest is
	 * for a reader that fails, and for the next one.
	 */
	private static final int CALLS_PER_EVACUATION_TIME = 4;

	/** Time for the answer to a call beyond its wait in the store. */
	static final Duration ANSWER_TIME = Duration.ofMillis(400);

	private final String self;

	private final Optional<Duration> evacuationTime;

	private final Set<DataCentreName> dataCentres;

	private final TargetDirectory directory;

	private final RequestDispatcher requests;

	private EvacuatedDataCentres state = EvacuatedDataCentres.UNKNOWN;

	/** Names of objects that are no data centres and have been logged. */
	private final Set<DataCentreName> unknownNames = new HashSet<>();

	private Instant answeredAt = Instant.MIN;

	/** When the store last answered with a state that is not older than the known one. */
	private Instant readAt = Instant.MIN;

	private Instant receivedAt = Instant.MIN;

	private Evacuations(EntrySettings settings, TargetDirectory directory, RequestDispatcher requests) {
		this.self = settings.nodeName();
		this.evacuationTime = settings.evacuationTime();
		this.dataCentres = Set.copyOf(settings.dataCentres());
		this.directory = directory;
		this.requests = requests;
	}

	static Evacuations of(EntrySettings settings, TargetDirectory directory, RequestDispatcher requests) {
		return new Evacuations(settings, directory, requests);
	}

	/**
	 * Returns whether data centres of this deployment may be evacuated.
	 * @return false if the settings name no time for it
	 */
	boolean isEnabled() {
		return this.evacuationTime.isPresent();
	}

	/**
	 * Returns whether the evacuated data centres are known.
	 * @return true once the store or another node has reported them
	 */
	boolean isKnown() {
		return this.state.revision() >= 0;
	}

	/**
	 * Returns the state for other nodes.
	 * @return the state; empty if it is unknown
	 */
	Optional<EvacuatedDataCentres> state() {
		return isKnown() ? Optional.of(this.state) : Optional.empty();
	}

	/**
	 * Handles a list of all evacuations that this node has read.
	 * @param listed the names of the objects
	 * @param revision the store's revision of the list
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return true if the evacuated data centres have changed
	 */
	boolean handleList(List<DataCentreName> listed, long revision, Instant now, Effects effects) {
		this.unknownNames.retainAll(listed);
		Set<DataCentreName> names = new HashSet<>();
		listed.stream().filter((name) -> isDataCentre(name, revision, effects)).forEach(names::add);
		Map<DataCentreName, Long> returned = new HashMap<>(this.state.returned());
		this.state.names()
			.stream()
			.filter((name) -> !names.contains(name))
			.forEach((name) -> returned.put(name, revision));
		return recordRead(new EvacuatedDataCentres(names, returned, revision), now, effects);
	}

	/**
	 * Handles changes that this node has read. They may repeat what is known already:
	 * each states whether its data centre is evacuated, whatever it was before.
	 * @param changes the changes in their order
	 * @param revision the store's revision after the changes
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return true if the evacuated data centres have changed
	 */
	boolean handleChanges(List<EvacuationChange> changes, long revision, Instant now, Effects effects) {
		Set<DataCentreName> names = new HashSet<>(this.state.names());
		Map<DataCentreName, Long> returned = new HashMap<>(this.state.returned());
		for (EvacuationChange change : changes) {
			if (!change.evacuated()) {
				this.unknownNames.remove(change.dataCentre());
				names.remove(change.dataCentre());
				recordReturn(change.dataCentre(), revision, returned);
			}
			else if (isDataCentre(change.dataCentre(), revision, effects)) {
				names.add(change.dataCentre());
			}
		}
		return recordRead(new EvacuatedDataCentres(names, returned, revision), now, effects);
	}

	// The change may repeat an end that another node has reported already.
	private void recordReturn(DataCentreName name, long revision, Map<DataCentreName, Long> returned) {
		if (this.dataCentres.contains(name)) {
			returned.put(name, revision);
		}
	}

	private boolean isDataCentre(DataCentreName name, long revision, Effects effects) {
		boolean known = this.dataCentres.contains(name);
		if (!known && this.unknownNames.add(name)) {
			effects.log(LogEvent.EVACUATION_UNKNOWN, "data-centre=" + name + " revision=" + revision
					+ " cause='the settings name no such data centre' known=" + new TreeSet<>(this.dataCentres));
		}
		return known;
	}

	// A state older than the known one doesn't count as a current answer of the store.
	private boolean recordRead(EvacuatedDataCentres read, Instant now, Effects effects) {
		this.answeredAt = now;
		if (read.revision() < this.state.revision()) {
			return false;
		}
		this.readAt = now;
		return adopt(read, this.self, now, effects);
	}

	/** Records that the store did not answer this node. */
	void recordReadFailure() {
		this.readAt = Instant.MIN;
		this.answeredAt = Instant.MIN;
	}

	/**
	 * Handles the state that another node reports with a store update.
	 * @param received the state; empty if the other node knows none
	 * @param sender the other node
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return true if the evacuated data centres have changed
	 */
	boolean handleUpdate(Optional<EvacuatedDataCentres> received, String sender, Instant now, Effects effects) {
		if (received.isEmpty() || !isEnabled()) {
			return false;
		}
		this.receivedAt = now;
		return received.get().revision() > this.state.revision() && adopt(received.get(), sender, now, effects);
	}

	private boolean adopt(EvacuatedDataCentres next, String source, Instant now, Effects effects) {
		EvacuatedDataCentres previous = this.state;
		this.state = next;
		Set<DataCentreName> begun = sorted(next.names(), (name) -> !previous.names().contains(name));
		Set<DataCentreName> ended = sorted(previous.names(), (name) -> !next.names().contains(name));
		if (previous.revision() >= 0) {
			ended.addAll(sorted(next.returned().keySet(),
					(name) -> next.returned().get(name) > previous.revision() && !next.names().contains(name)));
		}
		String details = " revision=" + next.revision() + " told-by=" + source;
		begun.forEach((name) -> effects.log(LogEvent.EVACUATION_BEGUN, "data-centre=" + name + details));
		ended.forEach((name) -> effects.log(LogEvent.EVACUATION_ENDED, "data-centre=" + name + details));
		this.directory.updateEvacuated(next.names());
		if (!ended.isEmpty()) {
			this.requests.handleEvacuationsEnded(ended, now);
		}
		return !begun.isEmpty() || !ended.isEmpty();
	}

	private static Set<DataCentreName> sorted(Set<DataCentreName> names, Predicate<DataCentreName> condition) {
		Set<DataCentreName> sorted = new TreeSet<>();
		names.stream().filter(condition).forEach(sorted::add);
		return sorted;
	}

	/**
	 * Returns whether the store has answered this node's last call in time. Only then may
	 * it read for others, which make no calls of their own.
	 * @param now the current time
	 * @return true if this node's state is current; always true if there are no
	 * evacuations in this deployment
	 */
	boolean isRecentlyRead(Instant now) {
		return !isEnabled() || isRecent(this.readAt, now);
	}

	private boolean isRecent(Instant time, Instant now) {
		return time != Instant.MIN && now.isBefore(time.plus(longPollWait()).plus(ANSWER_TIME));
	}

	private Duration longPollWait() {
		return this.evacuationTime.orElse(Duration.ZERO).dividedBy(CALLS_PER_EVACUATION_TIME);
	}

	/**
	 * Returns how long the next call may wait in the store. A node that begins to read
	 * does not wait, so that a call that hangs ends soon.
	 * @param now the current time
	 * @return the time
	 */
	Duration longPollWait(Instant now) {
		return isRecent(this.answeredAt, now) ? longPollWait() : Duration.ZERO;
	}

	/**
	 * Returns whether store updates with evacuations are received. Those of a node of an
	 * earlier version contain none.
	 * @param now the current time
	 * @return true if an update has reported them within its validity
	 */
	boolean areReceived(Instant now) {
		return this.receivedAt != Instant.MIN && now.isBefore(this.receivedAt.plus(StoreRelay.LOCAL_UPDATE_VALIDITY));
	}

	/**
	 * Returns the number of evacuated data centres.
	 * @return the number
	 */
	int count() {
		return this.state.names().size();
	}

}
