package sycamorehill.model.peer;

import java.util.List;

/**
 * Sends quarantined content to another node. Each node sends it to one other node at
 * intervals, so that a node that joined receives the quarantined content, too.
 *
 * @param entries the quarantined content that remains quarantined for longest
 */
public record QuarantineDigest(List<QuarantineEntry> entries) implements PeerMessage {

	/**
	 * Copies the list.
	 */
	public QuarantineDigest {
		entries = List.copyOf(entries);
	}

}
