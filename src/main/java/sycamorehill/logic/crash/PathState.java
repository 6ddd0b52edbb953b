package sycamorehill.logic.crash;

import java.time.Instant;

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
	 * Returns whether the service has been unreachable at some time since a moment.
	 * @param service the service
	 * @param since the moment
	 * @return true if it is unreachable, or was restored later
	 */
	boolean wasUnreachableAfter(ServiceName service, Instant since);

}
