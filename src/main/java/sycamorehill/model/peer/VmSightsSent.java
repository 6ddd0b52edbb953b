package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.group.VmReport;

/**
 * Sends the observations of an observer to the stewards of its data centre.
 *
 * @param sentAt the monotonic time of the sender in milliseconds. From the differences
 * between messages of one sender, the receiver estimates how long a message was delayed
 * @param whole whether the message has the reports of all VMs that the sender observes
 * @param reports the reports of all VMs or, if not whole, of the VMs that have load
 * @param ages the age of each report when the message was sent, in milliseconds
 * @param hash the hash over the states, without load, of all VMs that the sender observes
 * @param oldest the age of the oldest observation when the message was sent, in
 * milliseconds
 */
public record VmSightsSent(long sentAt, boolean whole, List<VmReport> reports, List<Integer> ages, long hash,
		int oldest) implements PeerMessage {

	/**
	 * Copies the lists.
	 */
	public VmSightsSent {
		reports = List.copyOf(reports);
		ages = List.copyOf(ages);
	}

}
