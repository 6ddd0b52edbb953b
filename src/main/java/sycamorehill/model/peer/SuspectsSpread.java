package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.request.Fingerprint;

/**
 * Tells all nodes which content has become suspected and which no longer is. The arbiter
 * of a service sends it.
 *
 * @param suspects the content that targets ran when the connection to them was lost
 * @param cleared the fingerprints of content that is no longer suspected
 */
public record SuspectsSpread(List<SuspectEntry> suspects, List<Fingerprint> cleared) implements PeerMessage {

	/**
	 * Copies the lists.
	 */
	public SuspectsSpread {
		suspects = List.copyOf(suspects);
		cleared = List.copyOf(cleared);
	}

}
