package sycamorehill.model.serving;

import java.time.Duration;
import java.util.Set;

/**
 * A request that a target was running when it was lost.
 *
 * @param identifier the caller's identifier of the request, for logs
 * @param age time since the target was lost with it
 * @param traits the request's properties that may have crashed the target
 */
public record LostRequest(String identifier, Duration age, Set<RequestTrait> traits) {

	/**
	 * Copies the properties.
	 */
	public LostRequest {
		traits = Set.copyOf(traits);
	}

}
