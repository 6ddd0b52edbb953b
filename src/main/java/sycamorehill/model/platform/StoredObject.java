package sycamorehill.model.platform;

/**
 * An object as the platform gave it.
 *
 * @param key its key
 * @param version grows with each write of any object
 * @param value its value
 */
public record StoredObject(ObjectKey key, long version, PlatformValue value) {

}
