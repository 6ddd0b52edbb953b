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

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;

/**
 * The targets that this node believes in. Entries of live targets may lapse while the
 * store is away: they are kept until the targets have had time to enter themselves again,
 * so that an outage never empties the directory. An entry that is missing after that is
 * gone.
 */
public final class TargetDirectory {

	/**
	 * How long entries may be missing after the store came back. Live targets enter
	 * themselves again within about 2 s; the rest is the time that a change needs to
	 * arrive here.
	 */
	static final Duration REREGISTRATION_TIME = Duration.ofMillis(2300);

	private final Map<TargetName, TargetEntry> entries = new HashMap<>();

	private final Set<TargetName> missing = new HashSet<>();

	private final VanishedTargets vanished = new VanishedTargets();

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
	 * Notes whether the store answered.
	 * @param reachable whether it did
	 * @param now the present time
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
	 * Takes a whole list.
	 * @param listed all entries that the store shows
	 * @param now the present time
	 * @return entries of lives that ended
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
	 * Takes changes.
	 * @param changes the changes in their order
	 * @param now the present time
	 * @return entries of lives that ended
	 */
	public List<TargetEntry> apply(List<TargetChange> changes, Instant now) {
		List<TargetEntry> ended = new ArrayList<>();
		for (TargetChange change : changes) {
			change.entry().map(this::put).orElseGet(() -> remove(change.name(), now)).ifPresent(ended::add);
		}
		return ended;
	}

	/**
	 * Drops the entries that had time to come back and did not, and the last word of
	 * targets that vanished long ago.
	 * @param now the present time
	 * @return the entries dropped
	 */
	public List<TargetEntry> dropMissing(Instant now) {
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
	 * Takes what an engine has told of itself while the store is away. What the store
	 * shows goes before it at all other times.
	 * @param name the engine
	 * @param report what it told
	 * @return the change; empty if the store answers or nothing is new
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

	private Optional<TargetEntry> put(TargetEntry entry) {
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
	 * Finds a target.
	 * @param name the target
	 * @return what it says of itself
	 */
	public Optional<TargetEntry> find(TargetName name) {
		return Optional.ofNullable(this.entries.get(name));
	}

	/**
	 * Whether an entry is kept though the store doesn't show it.
	 * @param name the target
	 * @return true for an entry that may have lapsed
	 */
	public boolean isMissing(TargetName name) {
		return this.missing.contains(name);
	}

	/**
	 * All entries.
	 * @return the entries
	 */
	public Collection<TargetEntry> all() {
		return this.entries.values();
	}

	/**
	 * The last word of targets whose entries went lately, without notice of their
	 * leaving. They are no targets to use; groups that they are members of may go on.
	 * @return the entries as they were
	 */
	public Collection<TargetEntry> vanished() {
		return this.vanished.all();
	}

	/**
	 * Finds the last word of a target whose entry went lately.
	 * @param name the target
	 * @return what it said of itself
	 */
	public Optional<TargetEntry> findVanished(TargetName name) {
		return this.vanished.find(name);
	}

	/**
	 * Forgets the last word of a target that is known to be gone.
	 * @param name the target
	 */
	public void forgetVanished(TargetName name) {
		if (this.vanished.remove(name)) {
			this.changeCount++;
		}
	}

	/**
	 * Counts the changes, so that others know when to derive their views again.
	 * @return the number of changes
	 */
	public long changeCount() {
		return this.changeCount;
	}

	/**
	 * Whether the store answers at present.
	 * @return false while it is away
	 */
	public boolean isStoreReachable() {
		return !this.storeUnreachable;
	}

}
