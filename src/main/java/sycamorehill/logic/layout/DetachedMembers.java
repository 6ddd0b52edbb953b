package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.TargetEntry;

/**
 * Tracks engines that left a group whose head may still be serving.
 *
 * A head that lost a member stalls, and breaks after the stall time. If the former member
 * joined another group before that, the two groups would share a VM. The engine itself no
 * longer reports a group, so a node that becomes controller in the meantime would
 * consider it free. Therefore every node watches for members that leave, and a process
 * that has just started blocks each engine that has loaded a model but is in no group.
 */
final class DetachedMembers {

	/**
	 * Added to the stall time, because the command to leave is answered before the head
	 * notices, and the timers of the head fire late.
	 */
	static final Duration BREAK_MARGIN = Duration.ofMillis(500);

	private final Duration blockTime;

	private final Map<TargetName, LastReport> lastReports = new HashMap<>();

	private final Map<TargetName, Detachment> detachments = new HashMap<>();

	private boolean historyKnown;

	private long lastChange = -1;

	private DetachedMembers(Duration stallTime, boolean historyKnown) {
		this.blockTime = stallTime.plus(BREAK_MARGIN);
		this.historyKnown = historyKnown;
	}

	/**
	 * Creates a tracker without detached members.
	 * @param stallTime the time after which a head that lost a member is broken
	 * @param historyKnown whether this process has seen all changes so far, as at the
	 * first start of the whole system
	 * @return the tracker
	 */
	static DetachedMembers of(Duration stallTime, boolean historyKnown) {
		return new DetachedMembers(stallTime, historyKnown);
	}

	/**
	 * Compares the reports of the engines with their previous reports.
	 * @param entries the entries of all targets
	 * @param directoryChange the number of the directory's last change
	 * @param now the current time
	 */
	void update(Collection<TargetEntry> entries, long directoryChange, Instant now) {
		if (directoryChange == this.lastChange) {
			return;
		}
		this.lastChange = directoryChange;
		for (TargetEntry entry : entries) {
			LastReport previous = this.lastReports.get(entry.name());
			int rank = entry.membership().map(Membership::rank).orElse(-1);
			if (previous == null || previous.startMillis() != entry.startMillis() || previous.rank() != rank) {
				if (leftHead(entry, previous)) {
					this.detachments.put(entry.name(), new Detachment(entry.startMillis(), now));
				}
				this.lastReports.put(entry.name(), new LastReport(entry.startMillis(), rank));
			}
		}
		if (this.lastReports.size() > entries.size()) {
			this.lastReports.keySet().retainAll(entries.stream().map(TargetEntry::name).collect(Collectors.toSet()));
		}
		this.detachments.values().removeIf((detachment) -> hasExpired(detachment, now));
		this.historyKnown |= !entries.isEmpty();
	}

	private boolean leftHead(TargetEntry entry, LastReport previous) {
		if (entry.membership().isPresent()) {
			return false;
		}
		if (previous == null) {
			return !this.historyKnown && entry.loaded().isPresent();
		}
		return previous.startMillis() == entry.startMillis() && previous.rank() > 0;
	}

	private boolean hasExpired(Detachment detachment, Instant now) {
		return now.isAfter(detachment.since().plus(this.blockTime));
	}

	/**
	 * Returns whether an engine may not join another group yet.
	 * @param engine the engine
	 * @param now the current time
	 * @return true while the head that it left may still be serving
	 */
	boolean isBlocked(TargetEntry engine, Instant now) {
		Detachment detachment = this.detachments.get(engine.name());
		return detachment != null && detachment.startMillis() == engine.startMillis() && !hasExpired(detachment, now);
	}

	/**
	 * The last report of an engine.
	 *
	 * @param startMillis the start time of the engine's process in milliseconds, which
	 * identifies its incarnation
	 * @param rank its rank; negative if it is in no group
	 */
	private record LastReport(long startMillis, int rank) {
	}

	/**
	 * The departure of an engine from a group whose head may still be serving.
	 *
	 * @param startMillis the start time of the engine's process in milliseconds, which
	 * identifies its incarnation
	 * @param since when the departure was seen
	 */
	private record Detachment(long startMillis, Instant since) {
	}

}
