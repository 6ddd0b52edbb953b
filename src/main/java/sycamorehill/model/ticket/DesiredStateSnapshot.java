package sycamorehill.model.ticket;

import java.util.List;

import sycamorehill.model.platform.PlatformValue;

/**
 * The truth after a ticket, readable without history.
 *
 * @param number the last ticket folded in
 * @param items every item in force, by key
 * @param formatVersion version of the format
 * @param deletedUpTo tickets up to this number may be gone from the platform; it is
 * written before the first of them is deleted
 * @param filings the latest accepted filings, by number
 */
public record DesiredStateSnapshot(long number, List<AppliedItem> items, int formatVersion, long deletedUpTo,
		List<AcceptedFiling> filings) implements PlatformValue {

	/**
	 * Takes copies of the lists.
	 */
	public DesiredStateSnapshot {
		items = (items != null) ? List.copyOf(items) : List.of();
		filings = (filings != null) ? List.copyOf(filings) : List.of();
	}

}
