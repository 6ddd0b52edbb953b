package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.TargetName;

/**
 * Tells all nodes that content has crashed a second target.
 *
 * @param entry the content and how long it is refused
 * @param explained the targets that the content crashed. Other content that they ran is
 * no longer suspected
 */
public record ContentQuarantined(QuarantineEntry entry, List<TargetName> explained) implements PeerMessage {

	/**
	 * Copies the list.
	 */
	public ContentQuarantined {
		explained = List.copyOf(explained);
	}

}
