package sycamorehill.model.ticket;

import java.util.List;

import sycamorehill.model.platform.PlatformValue;

/**
 * The complete desired state after a ticket. It can be read without earlier tickets.
 *
 * @param number the number of the last applied ticket
 * @param items all items, in the order of their keys
 * @param formatVersion the version of the format
 * @param deletedUpTo the number up to which tickets may be missing on the platform. It is
 * written before the first of them is deleted
 * @param filings the latest accepted filings, in the order of their numbers
 */
public record DesiredStateSnapshot(long number, List<AppliedItem> items, int formatVersion, long deletedUpTo,
		List<AcceptedFiling> filings) implements PlatformValue {

	/**
	 * Replaces missing values by empty ones and copies the lists.
	 */
	public DesiredStateSnapshot {
		items = (items != null) ? List.copyOf(items) : List.of();
		filings = (filings != null) ? List.copyOf(filings) : List.of();
	}

}
