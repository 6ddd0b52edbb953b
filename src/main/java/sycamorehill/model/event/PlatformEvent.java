package sycamorehill.model.event;

import java.time.Instant;

import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.platform.PlatformAnswer;

/**
 * Events from the object API.
 */
public sealed interface PlatformEvent extends Event {

	/**
	 * A call ended.
	 *
	 * @param call identifier of the call
	 * @param answer its result
	 * @param sentAt this node's monotonic time before the call was sent
	 */
	record Answered(CallIdentifier call, PlatformAnswer answer, Instant sentAt) implements PlatformEvent {
	}

}
