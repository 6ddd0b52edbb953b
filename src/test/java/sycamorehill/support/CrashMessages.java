package sycamorehill.support;

import java.time.Duration;
import java.util.Set;

import sycamorehill.model.serving.LostRequest;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.RequestTrait;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetIncarnation;

/**
 * What other nodes say of requests that crash targets.
 */
public final class CrashMessages {

	private CrashMessages() {
	}

	/**
	 * A target has just crashed while it ran one request.
	 * @param sender the sender
	 * @param target the target
	 * @param traits the request's properties
	 * @return the message
	 */
	public static NodeMessage.TargetLost crash(String sender, TargetEntry target, Set<RequestTrait> traits) {
		LostRequest request = LostRequest.now("request-at-" + target.name(), traits);
		return new NodeMessage.TargetLost(sender, TargetIncarnation.of(target), Duration.ZERO, true, Set.of(request));
	}

	/**
	 * A target ran a request without a crash just now.
	 * @param sender the sender
	 * @param traits the request's properties
	 * @return the message
	 */
	public static NodeMessage.TraitsSound sound(String sender, Set<RequestTrait> traits) {
		return new NodeMessage.TraitsSound(sender, traits, Duration.ZERO);
	}

}
