package sycamorehill.model.effect;

import java.time.Duration;

import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.platform.PlatformRequest;

/**
 * Effects on the object API.
 */
public sealed interface PlatformEffect extends Effect {

	/**
	 * Makes a call; its answer comes as an event.
	 *
	 * @param call the call
	 * @param request what is asked
	 * @param timeout after it the answer is not known
	 */
	record Call(CallIdentifier call, PlatformRequest request, Duration timeout) implements PlatformEffect {
	}

}
