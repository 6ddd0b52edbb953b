package sycamorehill.logic.crash;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.identity.ServiceName;

/**
 * Tells whether losses of a service's targets may be the fault of this node's network
 * path.
 */
public interface PathState {

	/**
	 * Returns whether the service is unreachable, or may be.
	 * @param service the service
	 * @param now the current time
	 * @return true if the path has not proved to work
	 */
	boolean isInDoubt(ServiceName service, Instant now);

	/**
	 * Returns since when the service has been reachable.
	 * @param service the service
	 * @return the time, in the distant past if it always was; empty if it is unreachable
	 */
	Optional<Instant> reachableSince(ServiceName service);

	/**
	 * Returns when a target of the service was last connected.
	 * @param service the service
	 * @return the time, in the distant past if it is not known
	 */
	Instant connectedAt(ServiceName service);

}
