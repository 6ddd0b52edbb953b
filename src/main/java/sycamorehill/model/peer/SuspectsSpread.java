package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.request.Fingerprint;

/**
 * From an arbiter to all nodes: what has become suspected and what no longer is.
 *
 * @param suspects content that targets ran when they broke off
 * @param cleared content that is no longer suspected
 */
public record SuspectsSpread(List<SuspectEntry> suspects, List<Fingerprint> cleared) implements PeerMessage {

	/**
	 * Takes copies of the lists.
	 */
	public SuspectsSpread {
		suspects = List.copyOf(suspects);
		cleared = List.copyOf(cleared);
	}

}
