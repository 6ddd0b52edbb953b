package sycamorehill.model.platform;

/**
 * Object as returned by the platform.
 *
 * @param key its key
 * @param version its version, which grows with each write of any object
 * @param value its value
 */
public record StoredObject(ObjectKey key, long version, PlatformValue value) {

}
