package sycamorehill.model.serving;

import java.time.Duration;
import java.util.Set;

/**
 * A request that a target was running when it was lost.
 *
 * @param identifier the caller's identifier of the request, for logs
 * @param age time since the target was lost with it
 * @param traits the request's properties that may have crashed the target
 * @param soundTraits those of them with which requests had been run before
 */
public record LostRequest(String identifier, Duration age, Set<RequestTrait> traits, Set<RequestTrait> soundTraits) {

	/**
	 * Copies the properties.
	 */
	public LostRequest {
		traits = Set.copyOf(traits);
		soundTraits = Set.copyOf(soundTraits);
	}

	/**
	 * Creates a request that has just been lost.
	 * @param identifier the caller's identifier of the request
	 * @param traits the request's properties
	 * @return the request
	 */
	public static LostRequest now(String identifier, Set<RequestTrait> traits) {
		return new LostRequest(identifier, Duration.ZERO, traits, Set.of());
	}

}
