package sycamorehill.model.peer;

import java.util.List;

/**
 * From time to time to one other node, so that a node that joined learns what is refused.
 *
 * @param entries what is quarantined, those that last longest
 */
public record QuarantineDigest(List<QuarantineEntry> entries) implements PeerMessage {

	/**
	 * Takes a copy of the list.
	 */
	public QuarantineDigest {
		entries = List.copyOf(entries);
	}

}
