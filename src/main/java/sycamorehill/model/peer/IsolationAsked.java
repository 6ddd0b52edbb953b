package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Fingerprint;

/**
 * To the arbiter of a service: a suspected request looks for a target on which no other
 * suspect runs.
 *
 * @param request the request
 * @param service the service
 * @param fingerprint its content
 * @param excluded targets that have already failed it
 * @param died targets that died running its content, as the sender knows
 */
public record IsolationAsked(RequestIdentifier request, ServiceName service, Fingerprint fingerprint,
		List<TargetName> excluded, List<TargetName> died) implements PeerMessage {

	/**
	 * Takes copies of the lists.
	 */
	public IsolationAsked {
		excluded = List.copyOf(excluded);
		died = List.copyOf(died);
	}

}
