package sycamorehill.logic.directory;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;

/**
 * Holds the targets that this node knows. While the store is unreachable, entries of live
 * targets may expire there: they are kept until the targets have had time to register
 * again, so that a store outage never empties the directory. An entry that is still
 * missing after that is removed. Entries are kept without the remaining time of a
 * warm-up, which differs in each update of an entry, so that it alone never counts as a
 * change.
 */
public final class TargetDirectory {

	/**
	 * How long entries may be missing after the store became reachable again. Live
	 * targets register again within about 2 s; the rest is the time that a change needs
	 * to arrive here.
	 */
	static final Duration REREGISTRATION_TIME = Duration.ofMillis(2300);

	private final Map<TargetName, TargetEntry> entries = new HashMap<>();

	private final Set<TargetName> missing = new HashSet<>();

	private final VanishedTargets vanished = new VanishedTargets();

	private final LeavingTargets leaving = new LeavingTargets();

	private Set<DataCentreName> evacuated = Set.of();

	private boolean storeUnreachable;

	private Instant storeReachableSince = Instant.MIN;

	private long changeCount;

	private TargetDirectory() {
	}

	/**
	 * Creates an empty directory.
	 * @return the directory
	 */
	public static TargetDirectory create() {
		return new TargetDirectory();
	}

	/**
	 * Replaces the evacuated data centres.
	 * @param dataCentres all data centres that are evacuated
	 */
	public void updateEvacuated(Set<DataCentreName> dataCentres) {
		this.evacuated = Set.copyOf(dataCentres);
	}

	/**
	 * Returns the evacuated data centres.
	 * @return their names
	 */
	public Set<DataCentreName> evacuated() {
		return this.evacuated;
	}

	/**
	 * Returns whether a target's data centre is evacuated.
	 * @param target the target
	 * @return true if nothing more may be sent to it
	 */
	public boolean isEvacuated(TargetEntry target) {
		return this.evacuated.contains(target.dataCentre());
	}

	/**
	 * Records whether the store answered.
	 * @param reachable whether it did
	 * @param now the current time
	 */
	public void recordStoreContact(boolean reachable, Instant now) {
		if (!reachable) {
			this.storeUnreachable = true;
			return;
		}
		if (this.storeUnreachable) {
			this.storeUnreachable = false;
			this.storeReachableSince = now;
		}
	}

	/**
	 * Replaces all entries by a complete list.
	 * @param listed all entries that the store lists
	 * @param now the current time
	 * @return the entries of targets or incarnations that ended
	 */
	public List<TargetEntry> replaceAll(List<TargetEntry> listed, Instant now) {
		Set<TargetName> present = new HashSet<>();
		List<TargetEntry> ended = new ArrayList<>();
		for (TargetEntry entry : listed) {
			present.add(entry.name());
			put(entry).ifPresent(ended::add);
		}
		for (TargetName name : List.copyOf(this.entries.keySet())) {
			if (!present.contains(name)) {
				remove(name, now).ifPresent(ended::add);
			}
		}
		return ended;
	}

	/**
	 * Applies changes.
	 * @param changes the changes in order
	 * @param now the current time
	 * @return the entries of targets or incarnations that ended
	 */
	public List<TargetEntry> apply(List<TargetChange> changes, Instant now) {
		List<TargetEntry> ended = new ArrayList<>();
		for (TargetChange change : changes) {
			change.entry().map(this::put).orElseGet(() -> remove(change.name(), now)).ifPresent(ended::add);
		}
		return ended;
	}

	/**
	 * Removes the entries that are still missing although their targets had time to
	 * register again, and the last known entries of targets that vanished longer ago than
	 * {@link VanishedTargets#RETENTION_TIME}.
	 * @param now the current time
	 * @return the missing entries that were removed
	 */
	public List<TargetEntry> dropMissing(Instant now) {
		this.leaving.expire(now);
		if (this.vanished.expire(now)) {
			this.changeCount++;
		}
		if (this.missing.isEmpty() || mayHaveExpired(now)) {
			return List.of();
		}
		List<TargetEntry> ended = new ArrayList<>();
		for (TargetName name : this.missing) {
			ended.add(this.entries.remove(name));
		}
		this.missing.clear();
		this.changeCount++;
		return ended;
	}

	/**
	 * Records that a target has announced with an answer that it leaves. It stays leaving
	 * until its process ends, whatever the store lists.
	 * @param name the target
	 * @param now the current time
	 * @return the target's entry; empty if the target is unknown or known to be leaving
	 */
	public Optional<TargetEntry> recordLeaving(TargetName name, Instant now) {
		Optional<TargetEntry> known = find(name).filter((entry) -> !entry.leaving());
		known.ifPresent((entry) -> {
			this.leaving.add(entry, now);
			this.entries.put(name, entry.asLeaving());
			this.changeCount++;
		});
		return known;
	}

	/**
	 * Applies an engine's own report while the store is unreachable. At all other times
	 * the store's entry takes precedence.
	 * @param name the engine
	 * @param report the engine's report
	 * @return the change; empty if the store is reachable, the engine is unknown, or
	 * nothing changed
	 */
	public Optional<TargetChange> applyReport(TargetName name, EngineReport report) {
		TargetEntry previous = this.entries.get(name);
		if (!this.storeUnreachable || previous == null) {
			return Optional.empty();
		}
		TargetEntry entry = previous.withReport(report.staged(), report.membership());
		if (entry.equals(previous)) {
			return Optional.empty();
		}
		this.entries.put(name, entry);
		this.changeCount++;
		return Optional.of(new TargetChange(name, Optional.of(entry)));
	}

	private Optional<TargetEntry> put(TargetEntry listed) {
		TargetEntry kept = listed.withWarmUpLeft(Duration.ZERO);
		TargetEntry entry = this.leaving.contains(kept) ? kept.asLeaving() : kept;
		this.missing.remove(entry.name());
		this.vanished.remove(entry.name());
		TargetEntry previous = this.entries.put(entry.name(), entry);
		if (!entry.equals(previous)) {
			this.changeCount++;
		}
		return Optional.ofNullable(previous).filter(entry::isOtherIncarnation);
	}

	private Optional<TargetEntry> remove(TargetName name, Instant now) {
		TargetEntry entry = this.entries.get(name);
		if (entry == null) {
			return Optional.empty();
		}
		if (mayHaveExpired(now) && !entry.leaving()) {
			this.missing.add(name);
			return Optional.empty();
		}
		this.missing.remove(name);
		this.entries.remove(name);
		if (!entry.leaving()) {
			this.vanished.add(entry, now);
		}
		this.changeCount++;
		return Optional.of(entry);
	}

	private boolean mayHaveExpired(Instant now) {
		return this.storeUnreachable || (this.storeReachableSince != Instant.MIN
				&& now.isBefore(this.storeReachableSince.plus(REREGISTRATION_TIME)));
	}

	/**
	 * Finds the entry of a target.
	 * @param name the target
	 * @return its entry, if the target is known
	 */
	public Optional<TargetEntry> find(TargetName name) {
		return Optional.ofNullable(this.entries.get(name));
	}

	/**
	 * Returns whether an entry is kept although the store doesn't list it.
	 * @param name the target
	 * @return true for an entry that may have expired
	 */
	public boolean isMissing(TargetName name) {
		return this.missing.contains(name);
	}

	/**
	 * Returns all entries.
	 * @return the entries, including missing ones
	 */
	public Collection<TargetEntry> all() {
		return this.entries.values();
	}

	/**
	 * Returns the last known entries of targets whose entries were recently removed from
	 * the store without a leaving notice. These targets receive no requests; groups that
	 * they are members of may keep serving.
	 * @return the last known entries
	 */
	public Collection<TargetEntry> vanished() {
		return this.vanished.all();
	}

	/**
	 * Finds the last known entry of a target that vanished.
	 * @param name the target
	 * @return its last known entry, if the target vanished recently
	 */
	public Optional<TargetEntry> findVanished(TargetName name) {
		return this.vanished.find(name);
	}

	/**
	 * Removes the last known entry of a target that is known to be gone.
	 * @param name the target
	 */
	public void forgetVanished(TargetName name) {
		if (this.vanished.remove(name)) {
			this.changeCount++;
		}
	}

	/**
	 * Returns the number of changes so far, which shows when derived views are out of
	 * date.
	 * @return the number of changes
	 */
	public long changeCount() {
		return this.changeCount;
	}

	/**
	 * Returns whether the store answered last time.
	 * @return false while the store is unreachable
	 */
	public boolean isStoreReachable() {
		return !this.storeUnreachable;
	}

}
