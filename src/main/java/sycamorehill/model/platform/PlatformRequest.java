package sycamorehill.model.platform;

import java.time.Duration;

/**
 * Call to the object API.
 */
public sealed interface PlatformRequest {

	/**
	 * Reads the current state of an object.
	 *
	 * @param key the object
	 */
	record Read(ObjectKey key) implements PlatformRequest {
	}

	/**
	 * Creates an object if it does not exist.
	 *
	 * @param key the object
	 * @param value its value
	 */
	record Create(ObjectKey key, PlatformValue value) implements PlatformRequest {
	}

	/**
	 * Replaces an object if its version is unchanged.
	 *
	 * @param key the object
	 * @param value its new value
	 * @param expectedVersion the version that it must still have
	 */
	record Update(ObjectKey key, PlatformValue value, long expectedVersion) implements PlatformRequest {
	}

	/**
	 * Deletes an object if its version is unchanged.
	 *
	 * @param key the object
	 * @param expectedVersion the version that it must still have
	 */
	record Delete(ObjectKey key, long expectedVersion) implements PlatformRequest {
	}

	/**
	 * Lists the objects of a kind by name.
	 *
	 * @param kind the kind
	 * @param afterName lists only names after this one; empty to list all
	 * @param limit maximum number of objects
	 */
	record ListObjects(ObjectKind kind, String afterName, int limit) implements PlatformRequest {
	}

	/**
	 * Waits for a change of a kind. Counts as one call while it waits.
	 *
	 * @param kind the kind
	 * @param afterVersion the call returns as soon as an object has a higher version
	 * @param maximumWait maximum time for which the platform may hold the call
	 */
	record Watch(ObjectKind kind, long afterVersion, Duration maximumWait) implements PlatformRequest {
	}

}
