package sycamorehill.model.platform;

import java.time.Duration;
import java.util.List;

/**
 * How a call to the object API ended.
 */
public sealed interface PlatformAnswer {

	/**
	 * The object of a read.
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
	 * The condition of a write did not hold; nothing was written by this very call. After
	 * a {@link NotKnown} answer to an earlier try of the same write, the writer's own
	 * mark in the object tells whether that one took effect.
	 */
	record Conflict() implements PlatformAnswer {
	}

	/**
	 * The answer of a list or a watch.
	 *
	 * @param objects the objects, by name for a list, by version for a watch
	 * @param version the platform's highest version when it answered
	 */
	record Listed(List<StoredObject> objects, long version) implements PlatformAnswer {
	}

	/**
	 * The call certainly had no effect: it was throttled or never reached the platform.
	 *
	 * @param retryAfter the platform's own word on when to come back, zero if it gave
	 * none
	 * @param detail what happened
	 */
	record NotTaken(Duration retryAfter, String detail) implements PlatformAnswer {
	}

	/**
	 * No answer came: a write may have taken effect or may still do so.
	 *
	 * @param detail what happened
	 */
	record NotKnown(String detail) implements PlatformAnswer {
	}

}
