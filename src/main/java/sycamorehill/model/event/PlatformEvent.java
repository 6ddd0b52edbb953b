package sycamorehill.model.event;

import java.time.Instant;

import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.platform.PlatformAnswer;

/**
 * Events of the object API.
 */
public sealed interface PlatformEvent extends Event {

	/**
	 * A call ended.
	 *
	 * @param call the call
	 * @param answer how it ended
	 * @param sentAt own monotonic time from before it was sent
	 */
	record Answered(CallIdentifier call, PlatformAnswer answer, Instant sentAt) implements PlatformEvent {
	}

}
