package sycamorehill.model.effect;

import java.time.Duration;

import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.platform.PlatformRequest;

/**
 * Effects on the object API.
 */
public sealed interface PlatformEffect extends Effect {

	/**
	 * Calls the object API. The result arrives as an event.
	 *
	 * @param call identifier of the call
	 * @param request the request
	 * @param timeout time after which the result is unknown
	 */
	record Call(CallIdentifier call, PlatformRequest request, Duration timeout) implements PlatformEffect {
	}

}
