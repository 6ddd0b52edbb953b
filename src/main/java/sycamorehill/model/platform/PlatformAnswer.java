package sycamorehill.model.platform;

import java.time.Duration;
import java.util.List;

/**
 * Result of a call to the object API.
 */
public sealed interface PlatformAnswer {

	/**
	 * The object was read.
	 *
	 * @param object the object
	 */
	record Found(StoredObject object) implements PlatformAnswer {
	}

	/**
	 * The object does not exist.
	 */
	record Missing() implements PlatformAnswer {
	}

	/**
	 * The write took effect.
	 *
	 * @param version the object's new version
	 */
	record Written(long version) implements PlatformAnswer {
	}

	/**
	 * The condition of a write was not met, so this call wrote nothing. After a
	 * {@link NotKnown} result of an earlier attempt at the same write, the writer's own
	 * mark in the object shows whether that attempt took effect.
	 */
	record Conflict() implements PlatformAnswer {
	}

	/**
	 * Result of a list or a watch.
	 *
	 * @param objects the objects, ordered by name for a list and by version for a watch
	 * @param version the platform's highest version when it answered
	 */
	record Listed(List<StoredObject> objects, long version) implements PlatformAnswer {
	}

	/**
	 * The call certainly had no effect: it was throttled or never reached the platform.
	 *
	 * @param retryAfter retry delay that the platform asks for, zero if it named none
	 * @param detail description of the error
	 */
	record NotTaken(Duration retryAfter, String detail) implements PlatformAnswer {
	}

	/**
	 * No answer arrived: a write may have taken effect or may still do so.
	 *
	 * @param detail description of the error
	 */
	record NotKnown(String detail) implements PlatformAnswer {
	}

}
