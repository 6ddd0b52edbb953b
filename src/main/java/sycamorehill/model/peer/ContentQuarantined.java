package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.TargetName;

/**
 * To all nodes: content has crashed a second target.
 *
 * @param entry the content and for how long it is refused
 * @param explained the targets that it crashed; what else they ran is cleared
 */
public record ContentQuarantined(QuarantineEntry entry, List<TargetName> explained) implements PeerMessage {

	/**
	 * Takes a copy of the list.
	 */
	public ContentQuarantined {
		explained = List.copyOf(explained);
	}

}
