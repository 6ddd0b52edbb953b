package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.group.VmReport;

/**
 * What an observer has seen of its VMs.
 *
 * @param sentAt the sender's own monotonic time in milliseconds: differences between two
 * messages of one sender show how long one was under way
 * @param whole whether the reports are those of all VMs that the sender sees
 * @param reports reports that changed, or all
 * @param ages age of each of these reports in milliseconds when it was sent
 * @param hash over the standing of all VMs that the sender sees
 * @param oldest age in milliseconds of the oldest of these sights
 */
public record VmSightsSent(long sentAt, boolean whole, List<VmReport> reports, List<Integer> ages, long hash,
		int oldest) implements PeerMessage {

	/**
	 * Takes copies of the lists.
	 */
	public VmSightsSent {
		reports = List.copyOf(reports);
		ages = List.copyOf(ages);
	}

}
