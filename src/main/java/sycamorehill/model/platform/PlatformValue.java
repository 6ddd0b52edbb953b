package sycamorehill.model.platform;

/**
 * A value that can be kept in the platform. Each implementation belongs to one
 * {@link ObjectKind}.
 */
public interface PlatformValue {

}
